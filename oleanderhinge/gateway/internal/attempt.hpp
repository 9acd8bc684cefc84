// Result of one attempt at a request, and helpers that plain calls and streams
// share. Internal to the forwarder.
//
// Example:
//   co_return failed_with<attempt_result>(base::not_run(code, detail), server);
#pragma once

#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/gateway/forwarder.hpp"

#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <utility>

namespace oleanderhinge::gateway
{

enum class attempt_end : std::uint8_t {
    answered,
    failed,
    caller_left,
    // A server of the attempt stopped accepting requests before it was sent.
    withheld,
    // Another attempt continues the stream: `forwarding_request::takeover`.
    replaced,
};

struct forwarder::attempt_result {
    attempt_end end = attempt_end::answered;
    base::verdict why;
    // The server at fault; empty address: unknown.
    wire::endpoint at_fault;
    // Bytes of an event in which the answer broke off, for the log.
    std::size_t partial_bytes = 0;
    // The time for the answer ended; the connection had not broken.
    bool timed_out = false;
};

// An answer that has arrived in full.
struct forwarder::whole_answer {
    explicit whole_answer(answer_memory& memory)
        : share(memory)
    {
    }

    std::string body;
    // Held until the caller has the answer.
    answer_share share;
};

// One attempt at a plain call. A second one may run beside it; see
// `call_with_hedge`.
struct forwarder::call_attempt {
    explicit call_attempt(answer_memory& memory)
        : answer(memory)
    {
    }

    chosen_server to;
    base::data_centre_id data_centre;
    upstream_pointer connection;
    // The process that the attempt was sent to.
    server_incarnation sent_to;
    // Number among the attempts at the request, from 1.
    std::uint32_t number = 0;
    steady_time started;
    base::time_point noted_start;
    // Set when the answer is complete or the attempt has failed. If it failed,
    // `call_once` goes on until the failure is noted.
    std::optional<attempt_result> result;
    whole_answer answer;
    // A second attempt beside the first.
    bool hedge = false;
    // Another attempt was answered.
    bool cancelled = false;
    bool ended = false;
    std::exception_ptr failure;
};

template <class Result>
Result failed_with(base::verdict why, wire::endpoint at_fault = {})
{
    return {attempt_end::failed, std::move(why), std::move(at_fault)};
}

// Suspends the request until a time, or until `cancel_wait`. Returns at once if
// the caller has left.
boost::asio::awaitable<void> wait_until(
    forwarding_request& request,
    boost::asio::io_context& io,
    steady_time until);
void cancel_wait(forwarding_request& request);

// Time without an event after which the caller of a stream leaves, also before
// the first event.
std::chrono::milliseconds
caller_silence_limit(const wire::forwarding_route& route);

// Whether another attempt is allowed after one that may have run.
inline bool is_repeatable(const wire::forwarding_route& route)
{
    return route.repeat != wire::repeat_rule::at_most_once;
}

// Whether the request may follow another one on a connection. The server may
// have closed a kept connection, and only an id tells an answer to the request
// from a late one to an earlier request.
inline net::reuse allowed_reuse(const forwarding_request& request)
{
    return is_repeatable(*request.route) && !request.metadata.id.empty()
               ? net::reuse::allowed
               : net::reuse::never;
}

} // namespace oleanderhinge::gateway
