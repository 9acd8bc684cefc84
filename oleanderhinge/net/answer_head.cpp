#include "oleanderhinge/net/answer_head.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace oleanderhinge::net
{

namespace beast = boost::beast;
namespace http = beast::http;

head_kind kind_of(const answer_head& head)
{
    if (head.result() == http::status::switching_protocols)
        return head_kind::undefined;
    switch (http::to_status_class(head.result_int())) {
    case http::status_class::informational:
        return head_kind::informational;
    case http::status_class::unknown:
        return head_kind::undefined;
    default:
        return head_kind::final_answer;
    }
}

bool has_plain_framing(const answer_head& head)
{
    const auto [first, end] = head.equal_range(http::field::transfer_encoding);
    return std::all_of(first, end, [](const auto& field) {
        return beast::iequals(field.value(), "chunked");
    });
}

} // namespace oleanderhinge::net
