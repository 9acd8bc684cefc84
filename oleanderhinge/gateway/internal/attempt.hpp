// One attempt at a request: how it ended, and helpers that calls and streams
// share.
#pragma once

#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/gateway/forwarder.hpp"

#include <utility>

namespace oleanderhinge::gateway
{

enum class attempt_end : std::uint8_t { answered, failed, caller_left };

struct forwarder::attempt_result {
    attempt_end end = attempt_end::answered;
    base::verdict why;
    // The server that is known to be at fault; empty address: unknown.
    wire::endpoint at_fault;
};

template <class Result>
Result failed_with(base::verdict why, wire::endpoint at_fault = {})
{
    return {attempt_end::failed, std::move(why), std::move(at_fault)};
}

// Suspends the request until a time, or until `wake` or its caller leaves.
boost::asio::awaitable<void> pause_until(
    forwarding_request& r, boost::asio::io_context& io, steady_time until);
void wake(forwarding_request& r);

inline bool is_repeatable(const wire::forwarding_route& route)
{
    return route.repeat != wire::repeat_rule::at_most_once;
}

} // namespace oleanderhinge::gateway
