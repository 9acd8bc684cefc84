#include "oleanderhinge/gateway/request_log.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

bool request_log::try_take(base::time_point now)
{
    if (this->refilled != base::time_point{}) {
        const std::chrono::duration<double> passed = now - this->refilled;
        this->tokens = std::min(
            max_burst_lines,
            this->tokens + passed.count() * max_lines_per_second);
    }
    this->refilled = now;
    if (this->tokens < 1) {
        ++this->dropped;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t request_log::take_dropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace oleanderhinge::gateway
