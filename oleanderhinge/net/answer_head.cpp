#include "oleanderhinge/net/answer_head.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace
{

constexpr std::size_t max_read_size = 65536;

bool holds_folded_line(std::string_view head)
{
    return head.find("\n ") != head.npos || head.find("\n\t") != head.npos;
}

// Parses what has arrived. Returns `need_more` if the head is not whole.
error_code
parse_head(beast::flat_buffer& buffer, http::basic_parser<false>& parser)
{
    if (buffer.size() == 0)
        return http::error::need_more;
    const auto bytes = buffer.data();
    error_code failed;
    // Takes whole fields, each with all of its lines.
    const auto size = parser.put(bytes, failed);
    const std::string_view parsed(static_cast<const char*>(bytes.data()), size);
    if (holds_folded_line(parsed))
        return http::error::bad_field;
    buffer.consume(size);
    return failed;
}

} // namespace

asio::awaitable<error_code> read_head(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::basic_parser<false>& parser)
{
    parser.eager(false);
    auto failed = parse_head(buffer, parser);
    while (failed == http::error::need_more) {
        const auto size = beast::read_size(buffer, max_read_size);
        if (size == 0)
            co_return http::error::buffer_overflow;
        const auto [broken, count] = co_await stream.async_read_some(
            buffer.prepare(size), asio::as_tuple(asio::use_awaitable));
        if (broken == asio::error::eof)
            co_return parser.got_some() ? http::error::partial_message
                                        : http::error::end_of_stream;
        if (broken)
            co_return broken;
        buffer.commit(count);
        failed = parse_head(buffer, parser);
    }
    co_return failed;
}

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
