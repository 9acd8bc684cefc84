#include "oleanderhinge/net/answer_head.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace oleanderhinge::net
{

namespace beast = boost::beast;
namespace http = beast::http;

bool has_plain_framing(const answer_head& head)
{
    const auto [first, end] = head.equal_range(http::field::transfer_encoding);
    return std::all_of(first, end, [](const auto& field) {
        return beast::iequals(field.value(), "chunked");
    });
}

} // namespace oleanderhinge::net
