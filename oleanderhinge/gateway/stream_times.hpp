// How long streams take, so that a node that stops does not accept one that it
// would have to cut off.
//
// Pattern: nodes are stopped in turn during an overload. Streams that take 4 s
// otherwise take 10 s, and a node has 7.5 s from the signal to its end, in the
// first of which callers still reach it.
//
// Example:
//   note_duration(times, started, ended);
//   if (!ends_before(times, now, drain_end)) refuse();
#pragma once

#include "oleanderhinge/base/time.hpp"

namespace oleanderhinge::gateway
{

// Half-life of the longest duration.
inline constexpr base::duration duration_half_life = std::chrono::seconds(15);

struct stream_times {
    // The longest recent duration, as of `updated`.
    base::duration longest{0};
    base::time_point updated;
};

// Notes a stream that was delivered completely.
void note_duration(
    stream_times& times, base::time_point started, base::time_point ended);

// Whether a stream that starts now ends before `limit`, if it takes as long as
// the longest recent one. True if none is known.
bool ends_before(
    const stream_times& times, base::time_point now, base::time_point limit);

} // namespace oleanderhinge::gateway
