// Checks of the head of an answer beyond those of Boost.Beast's parser.
//
// Example:
//   if (kind_of(parser.get().base()) == head_kind::undefined) ...
//   if (!has_plain_framing(parser.get().base())) ...
#pragma once

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

head_kind kind_of(const answer_head& head);

// Whether the body comes with no transfer coding, or with chunked alone. The
// parser removes no other coding and passes over its name.
bool has_plain_framing(const answer_head& head);

} // namespace oleanderhinge::net
