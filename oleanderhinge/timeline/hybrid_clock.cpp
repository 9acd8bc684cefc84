#include "oleanderhinge/timeline/hybrid_clock.hpp"

#include <algorithm>

namespace oleanderhinge::timeline
{

stamp hybrid_clock::tick(std::uint64_t wall_now_us)
{
    const std::uint64_t wall = wall_now_us << counter_bits;
    std::uint64_t before = this->last.load(std::memory_order_relaxed);
    std::uint64_t after = 0;
    do {
        after = std::max(before + 1, wall);
    } while (!this->last.compare_exchange_weak(before, after));
    return stamp{after};
}

void hybrid_clock::observe(stamp received, std::uint64_t wall_now_us)
{
    if (wall_us(received) > wall_now_us + max_lead_us)
        return;
    std::uint64_t before = this->last.load(std::memory_order_relaxed);
    while (before < received.value() &&
           !this->last.compare_exchange_weak(before, received.value())) {
    }
}

} // namespace oleanderhinge::timeline
