#include "oleanderhinge/gateway/congestion.hpp"

#include "oleanderhinge/base/decay.hpp"

#include <algorithm>
#include <array>

namespace oleanderhinge::gateway
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

double decayed_ms(const wait_average& average, base::time_point now)
{
    return average.ms *
           base::decay_factor(now - average.updated, wait_half_life);
}

} // namespace

void note_first_event(
    congestion& seen,
    const base::data_centre_id& data_centre,
    base::duration wait,
    base::time_point now)
{
    auto& average = seen.waits[data_centre];
    const double before = decayed_ms(average, now);
    average.ms = before + wait_weight * (milliseconds(wait).count() - before);
    average.updated = now;
}

base::duration expected_wait(
    const congestion& seen,
    const base::data_centre_id& data_centre,
    base::time_point now)
{
    const auto found = seen.waits.find(data_centre);
    if (found == seen.waits.end())
        return base::duration(0);
    return std::chrono::duration_cast<base::duration>(
        milliseconds(decayed_ms(found->second, now)));
}

base::duration wait_limit(std::uint32_t priority, base::duration target)
{
    constexpr std::array without_target{
        std::chrono::milliseconds(1200),
        std::chrono::milliseconds(900),
        std::chrono::milliseconds(600)};
    constexpr std::array shares_of_target{1.0, 0.8, 0.6};
    const auto rank =
        std::min<std::size_t>(priority, without_target.size() - 1);
    if (target == base::duration(0))
        return without_target[rank];
    return std::min<base::duration>(
        without_target[rank],
        std::chrono::duration_cast<base::duration>(
            target * shares_of_target[rank]));
}

} // namespace oleanderhinge::gateway
