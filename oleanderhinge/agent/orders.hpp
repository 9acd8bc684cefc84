// Decides which orders the agent passes on to its backend server.
//
// An order is carried out only if its fencing number is higher than any number
// seen before, and the configuration that it comes from was confirmed less than
// the configuration lease ago. One order is carried out at a time. If an engine
// ignores fencing numbers, nothing else protects it from outdated orders
// (docs/design.md, section 3.11).
//
// Example:
//   const auto decision = admit_order(guard, order.number, age, lease);
//   if (decision == order_decision::carry_out)
//       finish_order(guard, order.number, post(order));
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <optional>

namespace oleanderhinge::agent
{

struct order_guard {
    // Highest number seen, in admitted orders or reported by the engine.
    base::fencing_number highest_seen;
    // Highest number that this process applied; goes into announcements.
    base::fencing_number highest_applied;
    // Number of the order that is being carried out.
    std::optional<base::fencing_number> running;
    // Whether the order numbered `highest_seen` is admitted once more. It was
    // given up, the engine did not answer it, or the engine took it from an
    // earlier incarnation of the agent, so that this one does not know whether
    // the order was to drain the server. An order states the whole desired
    // state, so repeating it does no harm.
    bool may_repeat = false;
};

enum class order_decision : std::uint8_t {
    carry_out,
    // The number is not higher than the highest seen. Expected: entry nodes
    // repeat an order until an announcement confirms it.
    old_number,
    // The sender's configuration was confirmed a lease ago or earlier.
    old_configuration,
    // Another order is being carried out. The sender repeats this one.
    busy,
};

enum class order_outcome : std::uint8_t {
    applied,
    // The engine rejected the order.
    refused,
    // It is unknown whether the engine applied the order, or the order was
    // given up before it was sent.
    unanswered,
};

// Decides on a received order. `age` is the time since the sender's
// configuration was confirmed. If the result is `carry_out`, the order is
// recorded as running until `finish_order`.
order_decision admit_order(
    order_guard& guard,
    base::fencing_number number,
    base::duration age,
    base::duration lease);

// Records the outcome of the running order. Another number is ignored.
void finish_order(
    order_guard& guard, base::fencing_number number, order_outcome outcome);

// Records the number of the last order that the engine reports as accepted. If
// it is higher than any seen, that order is admitted once more.
void note_reported_number(order_guard& guard, base::fencing_number reported);

} // namespace oleanderhinge::agent
