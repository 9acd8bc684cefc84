// Reads the head of an answer, with checks beyond those of Boost.Beast's
// parser.
//
// Example:
//   if (auto failed = co_await read_head(stream, buffer, parser)) ...
//   if (kind_of(parser.get().base()) == head_kind::undefined) ...
//   if (!has_plain_framing(parser.get().base())) ...
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>

namespace oleanderhinge::net
{

using answer_head =
    boost::beast::http::response_header<boost::beast::http::fields>;

enum class head_kind : std::uint8_t {
    // Another head follows it.
    informational,
    final_answer,
    // Not an answer: HTTP does not define the status (RFC 9110, section 15), so
    // nothing is known about what follows. Also 101 (switching protocols),
    // which answers only a request to do so, and this system sends none.
    undefined,
};

// Reads until the head is parsed, and leaves the bytes behind it in the buffer.
// Errors are those of `http::async_read_header`, and `bad_field` for obsolete
// line folding (RFC 9112, section 5.2): the parser would join the folded line
// to the field before it, so that a broken line would change a mark, an id or a
// limit.
boost::asio::awaitable<boost::system::error_code> read_head(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    boost::beast::http::basic_parser<false>& parser);

head_kind kind_of(const answer_head& head);

// Whether the body comes with no transfer coding, or with chunked alone. The
// parser removes no other coding and passes over its name.
bool has_plain_framing(const answer_head& head);

} // namespace oleanderhinge::net
