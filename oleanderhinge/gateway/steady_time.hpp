// Shorthands for times of requests on the clock of Asio's timers.
//
// Example:
//   const auto started = steady_now();
//   log(ms_since(started), left_until(deadline));
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <algorithm>
#include <chrono>

namespace oleanderhinge::gateway
{

using steady_time = std::chrono::steady_clock::time_point;

inline steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

// Time until the limit; 0 if it has passed.
inline std::chrono::milliseconds left_until(steady_time limit)
{
    using std::chrono::milliseconds;
    return std::max(
        std::chrono::duration_cast<milliseconds>(limit - steady_now()),
        milliseconds(0));
}

// Time since the start, in milliseconds.
inline double ms_since(steady_time start)
{
    return std::chrono::duration<double, std::milli>(steady_now() - start)
        .count();
}

// The same moment on the clock of `base::monotonic_now`, which runs ahead of
// this one by the time for which the VM has been suspended.
inline base::time_point to_base_time(steady_time time)
{
    return base::monotonic_now() +
           std::chrono::duration_cast<base::duration>(time - steady_now());
}

inline steady_time to_steady_time(base::time_point time)
{
    return steady_now() + (time - base::monotonic_now());
}

} // namespace oleanderhinge::gateway
