#include "oleanderhinge/agent/orders.hpp"

#include <algorithm>

namespace oleanderhinge::agent
{

order_decision consider(
    order_guard& guard,
    base::fencing_number number,
    base::duration age,
    base::duration lease)
{
    const bool repeats = guard.unanswered && number == guard.seen;
    if (number <= guard.seen && !repeats)
        return order_decision::old_number;
    if (age >= lease)
        return order_decision::old_configuration;
    if (guard.running)
        return order_decision::busy;
    guard.seen = number;
    guard.running = number;
    guard.unanswered = false;
    return order_decision::carry_out;
}

void finish(
    order_guard& guard, base::fencing_number number, order_outcome outcome)
{
    if (guard.running != number)
        return;
    guard.running.reset();
    if (outcome == order_outcome::applied)
        guard.applied = std::max(guard.applied, number);
    guard.unanswered =
        outcome == order_outcome::unanswered && guard.seen == number;
}

void learn(order_guard& guard, base::fencing_number reported)
{
    if (reported <= guard.seen)
        return;
    guard.seen = reported;
    guard.unanswered = true;
}

} // namespace oleanderhinge::agent
