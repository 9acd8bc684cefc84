#include "oleanderhinge/gateway/request_log.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

bool request_log::allows(base::time_point now)
{
    if (this->refilled != base::time_point{}) {
        const std::chrono::duration<double> passed = now - this->refilled;
        this->saved = std::min(
            most_saved_lines, this->saved + passed.count() * lines_per_second);
    }
    this->refilled = now;
    if (this->saved < 1) {
        ++this->dropped;
        return false;
    }
    this->saved -= 1;
    return true;
}

std::uint64_t request_log::take_dropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace oleanderhinge::gateway
