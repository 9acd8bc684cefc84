// Checks of the head of a request beyond those of Boost.Beast's parser.
//
// Example:
//   if (check_framing(request.base()) != request_framing::valid) ...
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>

namespace oleanderhinge::net
{

using request_head =
    boost::beast::http::request_header<boost::beast::http::fields>;

enum class request_framing : std::uint8_t {
    valid,
    // Another transfer coding comes before chunked; the parser does not remove
    // it.
    unsupported_coding,
    // The end of the body is not certain, so that another server on the way may
    // see it elsewhere.
    ambiguous,
};

// Expects a head that the parser has accepted: a length is stated once, and not
// with the coding chunked. See RFC 9112, sections 6.1 and 6.3.
request_framing check_framing(const request_head& head);

} // namespace oleanderhinge::net
