// Which orders to the backend server an agent carries out.
//
// An order runs only if its number is higher than any number seen and the
// configuration that it comes from was confirmed less than the configuration
// lease ago. One order runs at a time. For an engine that ignores fencing
// numbers this is the only guard (docs/design.md, section 3.11).
//
// Example:
//   if (consider(guard, order, age, lease) == order_decision::carry_out)
//       post(order), finish(guard, order.number, order_outcome::applied);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <optional>

namespace oleanderhinge::agent
{

struct order_guard {
    // Highest number seen, from orders and from the engine.
    base::fencing_number seen;
    // Number of the last order that this process carried out; announced.
    base::fencing_number applied;
    std::optional<base::fencing_number> running;
    // The order numbered `seen` got no answer, or was carried out for a former
    // incarnation of this agent, which also knew whether it drains. An order is
    // a full statement of the wanted state, so this one may be sent again.
    bool unanswered = false;
};

enum class order_decision : std::uint8_t {
    carry_out,
    // Not newer than what was seen; normal while an announcement is on its way.
    old_number,
    // The configuration of the sender is older than the lease.
    old_configuration,
    // Another order runs; the sender repeats this one.
    busy,
};

enum class order_outcome : std::uint8_t {
    applied,
    // The engine answered that it does not take the order.
    refused,
    // Unknown whether the engine took it.
    unanswered,
};

// With `carry_out`, the order counts as seen and running.
order_decision consider(
    order_guard& guard,
    base::fencing_number number,
    base::duration age,
    base::duration lease);

void finish(
    order_guard& guard, base::fencing_number number, order_outcome outcome);

// The engine reports the number of the last order that it took.
void learn(order_guard& guard, base::fencing_number reported);

} // namespace oleanderhinge::agent
