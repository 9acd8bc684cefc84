#include "oleanderhinge/base/time.hpp"

#include <ctime>

namespace oleanderhinge::base
{

namespace
{

duration time_of(clockid_t clock)
{
    timespec now{};
    ::clock_gettime(clock, &now);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

duration suspended_time()
{
    const auto steady = time_of(CLOCK_MONOTONIC);
    return time_of(CLOCK_BOOTTIME) - steady;
}

time_point monotonic_now()
{
    return time_point{time_of(CLOCK_BOOTTIME)};
}

std::uint64_t wall_clock_us()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::uint64_t(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

} // namespace oleanderhinge::base
