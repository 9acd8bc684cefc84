// Adaptive limit on the requests in progress at one backend server.
//
// The limit follows the measured step latency against the unloaded one. At the
// end of each window of samples:
//
// - mean latency above target = `tolerance` x unloaded: the limit becomes
//   (mean requests in progress) x target / latency, at least `max_decrease`
//   of it. Where latency grows in proportion to the batch, this reaches the
//   target in ceil(log(latency / target) / log(1 / max_decrease)) windows;
// - latency at or below the target and the limit in use: the limit grows by
//   half until the first decrease, then by `increase`, at least by one.
//
// It therefore settles in a band of one `increase` step around the largest
// number of requests whose latency meets the target, and always stays within
// [min, max].
//
// The unloaded latency is the lowest mean of a window. Only a window with few
// requests in progress raises it, so that a long time of load is not taken for
// the unloaded state. A server that becomes slower for good first falls to
// `min`; windows at `min` count as unloaded, so the limit recovers from there.
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
    // Small, so that the first windows show the unloaded latency.
    std::uint32_t initial = 2;
    // Accepted ratio of measured to unloaded latency.
    double tolerance = 1.8;
    // Samples a decision is based on.
    std::uint32_t window = 20;
    // Growth of the limit in one window, as a share of it.
    double increase = 0.1;
    // Smallest factor of one decrease.
    double max_decrease = 0.7;
    // False keeps `initial` for good.
    bool adaptive = true;
};

struct adaptive_limit {
    limit_options options;
    // Present limit, in [options.min, options.max].
    std::uint32_t current = 1;
    // Smoothed and unloaded step latency in microseconds; 0 before a sample.
    double smoothed_us = 0;
    double unloaded_us = 0;
    // Samples of the present window.
    std::uint32_t samples = 0;
    double sum_us = 0;
    double sum_in_progress = 0;
    std::uint32_t most_in_progress = 0;
    // Whether the limit was ever lowered.
    bool decreased = false;
};

adaptive_limit make_limit(const limit_options& options);

// One measured step or call while `in_progress` requests held a slot.
void observe(
    adaptive_limit& limit, base::duration latency, std::uint32_t in_progress);

} // namespace oleanderhinge::admission
