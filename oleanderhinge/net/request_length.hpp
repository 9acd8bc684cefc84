// The length of a request that is passed on.
//
// Example:
//   request.body() = std::move(body);
//   set_length(request);
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace oleanderhinge::net
{

// Sets the field of the length, for any method. Boost.Beast's `prepare_payload`
// throws if TRACE has a body.
void set_length(
    boost::beast::http::request<boost::beast::http::string_body>& request);

} // namespace oleanderhinge::net
