#include "oleanderhinge/gateway/request_times.hpp"

#include "oleanderhinge/base/decay.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

namespace
{

// Longer than any request; keeps profiles with odd values in range.
constexpr double max_presumed_ms = 3'600'000;

base::duration decayed(const request_times& times, base::time_point now)
{
    const auto factor =
        base::decay_factor(now - times.updated, duration_half_life);
    return base::duration(std::int64_t(double(times.longest.count()) * factor));
}

// At most `max_presumed_ms`, also for a value that is no number.
base::duration from_ms(double ms)
{
    if (!(ms < max_presumed_ms))
        ms = max_presumed_ms;
    return std::chrono::milliseconds(std::int64_t(ms));
}

} // namespace

void note_request_started(request_times& times, base::time_point started)
{
    times.running.insert(started);
}

void note_request_ended(
    request_times& times,
    base::time_point started,
    base::time_point ended,
    bool answered)
{
    if (const auto found = times.running.find(started);
        found != times.running.end())
        times.running.erase(found);
    if (!answered && started < times.last_start)
        return;
    times.longest = std::max(ended - started, decayed(times, ended));
    times.updated = ended;
    if (!answered)
        return;
    times.last = ended - started;
    times.last_start = std::max(times.last_start, started);
}

base::duration expected_duration(
    const request_times& times, base::duration presumed, base::time_point now)
{
    auto result = std::max(decayed(times, now), times.last.value_or(presumed));
    if (const auto oldest = times.running.lower_bound(times.last_start);
        oldest != times.running.end())
        result = std::max(result, now - *oldest);
    return result;
}

base::duration presumed_duration(
    const wire::forwarding_route& route,
    const wire::forwarding_service& service)
{
    double ms = route.target_latency_ms;
    if (route.streaming && service.engine) {
        // The target covers only the first event.
        const auto& engine = *service.engine;
        ms += engine.usual_answer_tokens *
              (engine.step_ms + engine.step_ms_per_request);
    }
    return std::max(least_presumed_duration, from_ms(ms));
}

base::duration longest_answer(std::uint32_t tokens, double token_ms)
{
    return from_ms(tokens * token_ms);
}

} // namespace oleanderhinge::gateway
