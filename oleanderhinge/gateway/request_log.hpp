// Rate limit for log lines about requests: a token bucket.
//
// Lines above the limit are dropped and counted; the count is logged with a
// later line.
//
// Example:
//   if (log.try_take(now)) spdlog::info("event=answer id={} ...", id);
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <cstdint>

namespace oleanderhinge::gateway
{

// A gateway normally serves about 10 requests a second with about 2 lines each.
// Ten times that load is still logged in full.
inline constexpr double max_lines_per_second = 200;
inline constexpr double max_burst_lines = 400;

class request_log
{
public:
    // True if a line may be written now, which takes a token; false counts the
    // line as dropped.
    bool try_take(base::time_point now);
    // Number of lines dropped since the last call; resets it.
    std::uint64_t take_dropped();

private:
    double tokens = max_burst_lines;
    base::time_point refilled;
    std::uint64_t dropped = 0;
};

} // namespace oleanderhinge::gateway
