// Share of one gateway in the link between data centres, for paths that change
// the data centre.
//
// All transfers between data centres wait for one another on one link, and the
// passes of a first server wait for those of each of its requests. Beyond what
// the link carries, requests that cross it and those that share a first server
// with them all come to a stop. Each gateway therefore sends over the link only
// what its part of the capacity carries, so that no message is needed.
//
// Example:
//   if (take_crossing(budget, crossing_bits(engine, parts), engine, gateways,
//                     now))
//       send_along(parts);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/fleet/paths.hpp"
#include "oleanderhinge/wire/forwarding.hpp"

#include <cstdint>

namespace oleanderhinge::gateway
{

// What a gateway does not use is saved for this time.
inline constexpr base::duration crossing_saving_time = std::chrono::seconds(1);

struct crossing_budget {
    // Negative after a request that is larger than what was saved.
    double saved_bits = 0;
    base::time_point refilled;
};

// What a usual request on the path sends over the link; 0 if the path stays in
// one data centre or the engine states no size.
double
crossing_bits(const wire::engine_profile& engine, const fleet::path& parts);

// Takes the bits from the budget. False if it is used up. An engine that states
// no capacity of the link has no limit.
bool take_crossing(
    crossing_budget& budget,
    double bits,
    const wire::engine_profile& engine,
    std::uint32_t gateways,
    base::time_point now);

} // namespace oleanderhinge::gateway
