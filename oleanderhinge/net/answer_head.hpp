// Checks of the head of an answer beyond those of Boost.Beast's parser.
//
// Example:
//   if (!has_plain_framing(parser.get().base())) ...
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace oleanderhinge::net
{

using answer_head =
    boost::beast::http::response_header<boost::beast::http::fields>;

// Whether the body comes with no transfer coding, or with chunked alone. The
// parser removes no other coding and passes over its name.
bool has_plain_framing(const answer_head& head);

} // namespace oleanderhinge::net
