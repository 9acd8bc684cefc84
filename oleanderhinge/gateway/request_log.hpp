// Log lines about requests, bounded in number.
//
// Each line states a decision with its inputs. Above the limit, lines are
// dropped and counted; the next line that is written says how many.
//
// Example:
//   if (log.allows(now)) spdlog::info("event=answer id={} ...", id);
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <cstdint>

namespace oleanderhinge::gateway
{

// A gateway of today serves some 10 requests a second with about 2 lines each;
// a flood of ten times that is still logged in full.
inline constexpr double lines_per_second = 200;
inline constexpr double most_saved_lines = 400;

class request_log
{
public:
    // True if a line may be written now.
    bool allows(base::time_point now);
    // Lines dropped since the last call.
    std::uint64_t take_dropped();

private:
    double saved = most_saved_lines;
    base::time_point refilled;
    std::uint64_t dropped = 0;
};

} // namespace oleanderhinge::gateway
