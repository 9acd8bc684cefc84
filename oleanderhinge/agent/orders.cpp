#include "oleanderhinge/agent/orders.hpp"

#include <algorithm>

namespace oleanderhinge::agent
{

order_decision admit_order(
    order_guard& guard,
    base::fencing_number number,
    base::duration age,
    base::duration lease)
{
    const bool is_repeat = guard.may_repeat && number == guard.highest_seen;
    if (number <= guard.highest_seen && !is_repeat)
        return order_decision::old_number;
    if (age >= lease)
        return order_decision::old_configuration;
    if (guard.running)
        return order_decision::busy;
    guard.highest_seen = number;
    guard.running = number;
    guard.may_repeat = false;
    return order_decision::carry_out;
}

void finish_order(
    order_guard& guard, base::fencing_number number, order_outcome outcome)
{
    if (guard.running != number)
        return;
    guard.running.reset();
    if (outcome == order_outcome::applied)
        guard.highest_applied = std::max(guard.highest_applied, number);
    guard.may_repeat =
        outcome == order_outcome::unanswered && guard.highest_seen == number;
}

void note_reported_number(order_guard& guard, base::fencing_number reported)
{
    if (reported <= guard.highest_seen)
        return;
    guard.highest_seen = reported;
    guard.may_repeat = true;
}

} // namespace oleanderhinge::agent
