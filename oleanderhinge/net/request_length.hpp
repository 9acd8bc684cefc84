// The length of a request that is passed on.
//
// Example:
//   request.body() = std::move(body);
//   set_length(request);
#pragma once

#include <boost/beast/http/message.hpp>

namespace oleanderhinge::net
{

// Sets the field of the length, for any method. Boost.Beast's `prepare_payload`
// throws if TRACE has a body.
template <class Body>
void set_length(boost::beast::http::request<Body>& request)
{
    if (const auto size = Body::size(request.body()); size > 0)
        request.content_length(size);
    else
        request.prepare_payload();
}

} // namespace oleanderhinge::net
