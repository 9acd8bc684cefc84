#include "oleanderhinge/gateway/crossing_budget.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

double
crossing_bits(const wire::engine_profile& engine, const fleet::path& parts)
{
    constexpr double bits_per_byte = 8;
    double crossings = 0;
    for (std::size_t i = 1; i < parts.size(); ++i)
        if (parts[i].data_centre != parts[i - 1].data_centre)
            ++crossings;
    return crossings *
           double(engine.usual_prompt_tokens + engine.usual_answer_tokens) *
           engine.activation_bytes * bits_per_byte;
}

bool take_crossing(
    crossing_budget& budget,
    double bits,
    const wire::engine_profile& engine,
    std::uint32_t gateways,
    base::time_point now)
{
    if (bits <= 0 || engine.data_centre_link_mbps <= 0)
        return true;
    constexpr double bits_per_us_and_mbps = 1;
    const double rate = engine.data_centre_link_mbps * bits_per_us_and_mbps /
                        std::max(gateways, 1U);
    const auto since = std::min(now - budget.refilled, crossing_saving_time);
    budget.saved_bits = std::min(
        budget.saved_bits + rate * double(since.count()),
        rate * double(crossing_saving_time.count()));
    budget.refilled = now;
    if (budget.saved_bits <= 0)
        return false;
    budget.saved_bits -= bits;
    return true;
}

} // namespace oleanderhinge::gateway
