#include "oleanderhinge/net/request_head.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace oleanderhinge::net
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

bool is_chunked(std::string_view coding)
{
    return beast::iequals(coding, "chunked");
}

} // namespace

request_framing check_framing(const request_head& head)
{
    const auto [first, end] = head.equal_range(http::field::transfer_encoding);
    if (first == end)
        return request_framing::valid;
    if (head.version() < 11 || head.count(http::field::content_length) > 0)
        return request_framing::ambiguous;
    std::vector<std::string> codings;
    for (auto field = first; field != end; ++field) {
        const http::token_list tokens(field->value());
        if (!http::validate_list(http::opt_token_list(field->value())))
            return request_framing::ambiguous;
        codings.insert(codings.end(), tokens.begin(), tokens.end());
    }
    if (codings.empty() || !is_chunked(codings.back()) ||
        std::ranges::count_if(codings, is_chunked) > 1)
        return request_framing::ambiguous;
    return codings.size() == 1 ? request_framing::valid
                               : request_framing::unsupported_coding;
}

} // namespace oleanderhinge::net
