#include "oleanderhinge/gateway/stream_times.hpp"

#include "oleanderhinge/base/decay.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

namespace
{

base::duration decayed(const stream_times& times, base::time_point now)
{
    const auto factor =
        base::decay_factor(now - times.updated, duration_half_life);
    return base::duration(std::int64_t(double(times.longest.count()) * factor));
}

} // namespace

void note_duration(
    stream_times& times, base::time_point started, base::time_point ended)
{
    times.longest = std::max(ended - started, decayed(times, ended));
    times.updated = ended;
}

bool ends_before(
    const stream_times& times, base::time_point now, base::time_point limit)
{
    return now + decayed(times, now) < limit;
}

} // namespace oleanderhinge::gateway
