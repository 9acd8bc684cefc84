// Adaptive concurrency limit of one backend server.
//
// The limit follows the ratio of the measured step latency to the unloaded one.
// At the end of each window of samples:
//
// - mean latency above target = `tolerance` x unloaded: the limit becomes
//   (mean requests in progress) x max(target / latency, `min_decrease_factor`),
//   but does not rise. Where latency is proportional to the batch size, this
//   reaches the target in
//   ceil(log(latency / target) / log(1 / min_decrease_factor)) windows;
// - latency at or below the target and the limit in use: the limit grows by
//   half until the first decrease, then by `increase`, at least by one.
//
// It therefore settles in a band of one `increase` step around the largest
// number of requests whose latency meets the target, and always stays within
// [min, max].
//
// The unloaded latency is the lowest mean of a window. Only a window with few
// requests in progress raises it, so that a long period of load is not taken
// for the unloaded state. If a server becomes permanently slower, its limit
// first falls to `min`; windows at `min` count as unloaded, so the limit
// recovers from there.
//
// Example:
//   adaptive_limit limit = make_limit(limit_options{});
//   observe(limit, 12ms, in_progress);
//   if (in_progress < limit.current) ...
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <chrono>
#include <cstdint>

namespace oleanderhinge::admission
{

struct limit_options {
    std::uint32_t min = 2;
    std::uint32_t max = 256;
    // Small, so that the first windows measure the unloaded latency.
    std::uint32_t initial = 2;
    // Accepted ratio of measured to unloaded latency.
    double tolerance = 1.8;
    // Samples in a window; the limit changes once per window.
    std::uint32_t window = 20;
    // Growth of the limit in one window, as a share of it.
    double increase = 0.1;
    // Smallest factor on the mean requests in progress in one decrease.
    double min_decrease_factor = 0.7;
    // If false, the limit stays at `initial`.
    bool adaptive = true;
};

struct adaptive_limit {
    limit_options options;
    // Requests that may be in progress, in [options.min, options.max].
    std::uint32_t current = 1;
    // Smoothed and unloaded step latency in microseconds; 0 until the first
    // sample or window.
    double smoothed_us = 0;
    double unloaded_us = 0;
    // Number of samples in the present window, their sums and maximum.
    std::uint32_t samples = 0;
    double sum_us = 0;
    double sum_in_progress = 0;
    std::uint32_t max_in_progress = 0;
    // Whether the limit has ever been lowered.
    bool decreased = false;
};

// Adjusts options so that 1 <= min <= max and window >= 1, and clamps `initial`
// to [min, max].
adaptive_limit make_limit(const limit_options& options);

// Adds the measured latency of one step or call during which `in_progress`
// requests held a slot, and adapts the limit at the end of a window.
void observe(
    adaptive_limit& limit, base::duration latency, std::uint32_t in_progress);

} // namespace oleanderhinge::admission
