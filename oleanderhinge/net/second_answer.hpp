// Detects the head of another HTTP answer inside the body of one.
//
// A faulty server writes a second answer, or an error after its answer broke
// off, on the same connection. Where neither a length nor chunks mark the end
// of the first body, the bytes of the second one would count as part of it.
//
// Example:
//   if (holds_second_answer(body, parser.need_eof(), following)) fail();
#pragma once

#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <string_view>

namespace oleanderhinge::net
{

// A beginning of a status line that is shorter, at the end of a text, may well
// belong to the text.
inline constexpr std::size_t min_status_line_bytes = 5;

// Position of the first text of the form "HTTP/1.1 200", or of a beginning of
// one, at least `min_status_line_bytes` long, that ends the text. npos: none.
std::size_t find_status_line(std::string_view text);

// Whether the reason phrase or a field of the head holds a status line: a
// server broke off inside the head and wrote another one, so that the status of
// the first would come with the fields and the body of the second.
bool holds_second_answer(const boost::beast::http::response_header<>& head);

// Whether another answer begins inside this body. `following`: what was read
// behind it; bytes there show that a server has written more than one answer,
// so that a stated length may be that of a body which broke off.
bool holds_second_answer(
    std::string_view body,
    bool ends_with_connection,
    std::string_view following);

} // namespace oleanderhinge::net
