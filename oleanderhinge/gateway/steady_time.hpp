// Shorthands for times of requests on the steady clock.
//
// Example:
//   const auto started = steady_now();
//   log(ms_since(started), left_until(deadline));
#pragma once

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

} // namespace oleanderhinge::gateway
