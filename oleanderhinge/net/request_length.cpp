#include "oleanderhinge/net/request_length.hpp"

namespace oleanderhinge::net
{

namespace http = boost::beast::http;

void set_length(http::request<http::string_body>& request)
{
    if (request.body().empty())
        request.prepare_payload();
    else
        request.content_length(request.body().size());
}

} // namespace oleanderhinge::net
