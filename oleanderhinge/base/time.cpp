#include "oleanderhinge/base/time.hpp"

namespace oleanderhinge::base
{

time_point monotonic_now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since)};
}

std::uint64_t wall_clock_us()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::uint64_t(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

} // namespace oleanderhinge::base
