#include "oleanderhinge/net/request_length.hpp"

namespace oleanderhinge::net
{

namespace http = boost::beast::http;

void set_length(http::request<http::string_body>& request)
{
    if (request.method() == http::verb::trace && !request.body().empty())
        request.content_length(request.body().size());
    else
        request.prepare_payload();
}

} // namespace oleanderhinge::net
