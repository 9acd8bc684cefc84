// Queue of one rank: deficit round robin over customers, in generated tokens.
//
// A customer is served while its deficit counter is positive, and one request
// may make it negative; the debt is carried over (surplus round robin), so a
// request that costs more or less than estimated is corrected later. A customer
// that was idle and has no debt is new, and is served from a list of its own
// that takes turns with the round-robin list.
//
// Costs and quanta are in generated tokens, predictions and waits in
// microseconds.
//
// Example:
//   push(rank, account, weight, queued_request{item, cost, now}, quantum);
//   std::optional<queued_request> next = pop(rank, quantum);
#pragma once

#include "oleanderhinge/admission/work.hpp"

#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::admission::internal
{

struct queued_request {
    work item;
    // Estimated cost.
    double cost = 0;
    // When the request was queued.
    base::time_point since;
    // Wait that was predicted at that time, without correction.
    double predicted_us = 0;
};

struct customer_state {
    std::uint32_t weight = 1;
    // Tokens that the customer may still use in this round; negative if its
    // requests cost more.
    double deficit = 0;
    std::deque<queued_request> queued;
    double queued_cost = 0;
    std::uint32_t in_progress = 0;
    // Round in which the customer last had a queued request, or was last
    // credited while it had none.
    std::uint64_t idle_since_round = 0;
};

struct rank_state {
    std::unordered_map<base::customer_id, customer_state> customers;
    // Customers with queued requests: new ones in order of arrival, and the
    // others in round-robin order.
    std::list<base::customer_id> new_customers;
    std::list<base::customer_id> round_robin;
    // Accumulated turns of new customers, in [0, 1).
    double new_customer_turns = 0.5;
    // Customers that still have a debt after their last request, oldest first.
    std::list<base::customer_id> customers_in_debt;
    std::uint32_t queued = 0;
    double queued_cost = 0;
    // Completed rounds, and turns in the present one.
    std::uint64_t round = 0;
    std::size_t turns = 0;
    // Tokens that the rank has used less than its share; negative if it has
    // used more.
    double credit = 0;
    // Smoothed waits of granted requests, measured and predicted; their ratio
    // corrects later predictions.
    double measured_wait_us = 0;
    double predicted_wait_us = 0;
    // Smoothed time from the grant to the first token; 0 until the first
    // measurement.
    double first_token_us = 0;
    // Smoothed ratio of generated tokens to `max_tokens`.
    double generated_ratio = 0.5;
};

// Largest number of idle customers whose debt is kept in each rank. Beyond it
// the oldest is removed, which bounds the state for any number of customers.
inline constexpr std::size_t max_customers_in_debt = 1024;

// Largest debt of a customer, in its quanta, so that one wrong estimate does
// not exclude it for long.
inline constexpr double max_debt_quanta = 64;

// Queues a request. `weight` multiplies the customer's quantum; 0 counts as 1.
void push(
    rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    queued_request entry,
    double quantum);

// Removes the next request in order and charges its cost to the customer, which
// counts it as in progress until `release`. Empty if none is queued.
std::optional<queued_request> pop(rank_state& rank, double quantum);

// Removes one queued request of the customer; empty if it is not queued.
std::optional<queued_request> erase(
    rank_state& rank,
    const base::customer_id& account,
    const base::request_id& request,
    double quantum);

// Ends a request in progress and refunds `refund` tokens to the customer, or
// charges them if negative.
void release(
    rank_state& rank,
    const base::customer_id& account,
    double refund,
    double quantum);

// Cost of the queued requests that are served before a new one of the customer,
// if all customers with queued requests share the rank by weight.
double cost_ahead(
    const rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    double cost);

// Request to refuse first when the queue is full: the newest one of the
// customer with the largest `weighted_backlog`. Null if none is queued; valid
// until the rank changes.
const queued_request* shedding_candidate(const rank_state& rank);

// Cost of a customer's queued requests, divided by its weight.
double
weighted_backlog(const rank_state& rank, const base::customer_id& account);

// Queued requests for which `predicate(const queued_request&)` holds, by
// customer in a deterministic order.
template <class Predicate>
std::vector<std::pair<base::customer_id, base::request_id>>
find_queued(const rank_state& rank, Predicate predicate)
{
    std::vector<std::pair<base::customer_id, base::request_id>> found;
    for (const auto* list : {&rank.new_customers, &rank.round_robin})
        for (const auto& account : *list)
            for (const auto& entry : rank.customers.at(account).queued)
                if (predicate(entry))
                    found.emplace_back(account, entry.item.request);
    return found;
}

} // namespace oleanderhinge::admission::internal
