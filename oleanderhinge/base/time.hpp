// Time as an argument. Decision code takes `now` and never reads a clock; only
// the daemons call `monotonic_now`.
//
// Example:
//   auto deadline = now + std::chrono::milliseconds(1500);
#pragma once

#include <chrono>
#include <cstdint>

namespace oleanderhinge::base
{

// Clock type of `time_point`. It has no `now` member on purpose.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

// Reads the steady clock of this VM, which counts the time during which the VM
// is suspended: a lease or a promise to another VM runs on meanwhile. Values of
// two VMs are not comparable, nor are they with std::chrono::steady_clock.
time_point monotonic_now();

// Total time for which this VM has been suspended since it booted.
duration suspended_time();

// Microseconds since the Unix epoch by the wall clock, for the hybrid logical
// clock and for display only.
std::uint64_t wall_clock_us();

} // namespace oleanderhinge::base
