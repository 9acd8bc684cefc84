// How long the requests of a service take, so that a node that stops does not
// accept one that it would have to cut off.
//
// Pattern: nodes are stopped in turn during an overload. Streams that take 4 s
// otherwise take 10 s, and a node has 7.5 s from the signal to its end, in the
// first of which callers still reach it.
//
// Example:
//   note_request_started(times, started);
//   note_request_ended(times, started, now, true);
//   if (now + expected_duration(times, presumed, now) >= end) refuse();
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/forwarding.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace oleanderhinge::gateway
{

// Half-life of the longest duration.
inline constexpr base::duration duration_half_life = std::chrono::seconds(15);
// The least that is presumed of a service without an answered request.
inline constexpr base::duration least_presumed_duration =
    std::chrono::seconds(1);

struct request_times {
    // The longest recent duration, as of `updated`.
    base::duration longest{0};
    base::time_point updated;
    // The duration of the last answered request; empty: there was none.
    std::optional<base::duration> last;
    // The latest start of an answered request.
    base::time_point last_start;
    // The starts of the requests in progress.
    std::multiset<base::time_point> running;
};

void note_request_started(request_times& times, base::time_point started);

// `answered`: completely and with success. The time of any other request is a
// lower bound.
void note_request_ended(
    request_times& times,
    base::time_point started,
    base::time_point ended,
    bool answered);

// The longest time that a new request probably takes: that of the longest
// recent request, of the last one, or of the oldest one in progress. One that
// started before an answered request does not count while it is in progress,
// since its server may have stopped responding. At least `presumed` if no
// request was answered yet.
base::duration expected_duration(
    const request_times& times, base::duration presumed, base::time_point now);

// How long requests of the route take without load, as the operator states it.
base::duration presumed_duration(
    const wire::forwarding_route& route,
    const wire::forwarding_service& service);

// The time of an answer of this many tokens; an hour at most.
base::duration longest_answer(std::uint32_t tokens, double token_ms);

} // namespace oleanderhinge::gateway
