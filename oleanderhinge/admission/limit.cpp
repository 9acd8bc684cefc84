#include "oleanderhinge/admission/limit.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::admission
{

namespace
{

constexpr double smoothing = 0.1;
// Weight of a window at low load when it raises the unloaded latency.
constexpr double unloaded_smoothing = 0.2;
// Growth in one window until the first decrease, as a share of the limit.
constexpr double start_increase = 0.5;
// The limit counts as in use if a window reaches this share of it.
constexpr double in_use_share = 0.9;

void update_unloaded_latency(adaptive_limit& limit, double mean_us)
{
    const auto low = limit.current / 8;
    if (limit.unloaded_us == 0 || mean_us < limit.unloaded_us ||
        limit.max_in_progress <= limit.options.min)
        limit.unloaded_us = mean_us;
    else if (limit.max_in_progress <= low)
        limit.unloaded_us += unloaded_smoothing * (mean_us - limit.unloaded_us);
}

std::uint32_t next_limit(const adaptive_limit& limit, double mean_us)
{
    const auto& options = limit.options;
    const double target = options.tolerance * limit.unloaded_us;
    const double present = limit.current;
    double next = present;
    if (mean_us > target) {
        // Relative to the requests in progress, not to the limit: while
        // requests above a lowered limit finish, it is not lowered again for
        // the same latency.
        const double mean_in_progress =
            limit.sum_in_progress / double(limit.samples);
        next = std::floor(std::min(
            present,
            mean_in_progress *
                std::max(options.min_decrease_factor, target / mean_us)));
    } else if (limit.max_in_progress >= present * in_use_share) {
        const double rate = limit.decreased ? options.increase : start_increase;
        next = present + std::max(1.0, std::floor(present * rate));
    }
    return std::uint32_t(
        std::clamp(next, double(options.min), double(options.max)));
}

} // namespace

adaptive_limit make_limit(const limit_options& options)
{
    adaptive_limit limit;
    limit.options = options;
    limit.options.min = std::max(1U, options.min);
    limit.options.max = std::max(limit.options.min, options.max);
    limit.options.window = std::max(1U, options.window);
    limit.current =
        std::clamp(options.initial, limit.options.min, limit.options.max);
    return limit;
}

void observe(
    adaptive_limit& limit, base::duration latency, std::uint32_t in_progress)
{
    const double us = std::max(1.0, double(latency.count()));
    limit.smoothed_us =
        limit.smoothed_us == 0
            ? us
            : limit.smoothed_us + smoothing * (us - limit.smoothed_us);
    ++limit.samples;
    limit.sum_us += us;
    limit.sum_in_progress += in_progress;
    limit.max_in_progress = std::max(limit.max_in_progress, in_progress);
    if (limit.samples < limit.options.window)
        return;
    const double mean_us = limit.sum_us / double(limit.samples);
    update_unloaded_latency(limit, mean_us);
    if (limit.options.adaptive) {
        const auto next = next_limit(limit, mean_us);
        limit.decreased = limit.decreased || next < limit.current;
        limit.current = next;
    }
    limit.samples = 0;
    limit.sum_us = 0;
    limit.sum_in_progress = 0;
    limit.max_in_progress = 0;
}

} // namespace oleanderhinge::admission
