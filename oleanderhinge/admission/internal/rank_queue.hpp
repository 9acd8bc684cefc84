// Queue of one rank: deficit round robin over customers, in tokens.
//
// A customer is served while its deficit is positive and may overdraw it by
// one request; the debt is carried over (surplus round robin), so a request
// that turns out to be cheaper or dearer than estimated is corrected later. A
// customer that was idle and has no debt is served from the list of newcomers,
// which takes turns with the others.
//
// Example:
//   push(rank, account, weight, waiting{item, cost, now}, quantum);
//   std::optional<waiting> next = pop(rank, quantum);
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

struct waiting {
    work item;
    // Estimated tokens.
    double cost = 0;
    base::time_point since;
    // Uncorrected wait that was predicted on entry, in microseconds.
    double predicted_us = 0;
};

struct customer_state {
    std::uint32_t weight = 1;
    // Tokens that the customer may still use in this round; negative after a
    // request that cost more.
    double deficit = 0;
    std::deque<waiting> queued;
    double queued_cost = 0;
    std::uint32_t in_progress = 0;
    // Round from which on the customer had nothing queued.
    std::uint64_t idle_since = 0;
};

struct rank_state {
    std::unordered_map<base::customer_id, customer_state> customers;
    // Customers with queued work: newcomers, and the others in round-robin
    // order.
    std::list<base::customer_id> newcomers;
    std::list<base::customer_id> order;
    // Turns that newcomers are owed, in [0, 1).
    double newcomer_turns = 0.5;
    // Customers without work that still have a debt, oldest first.
    std::list<base::customer_id> debtors;
    std::uint32_t queued = 0;
    double queued_cost = 0;
    // Rounds completed, and turns in the present one.
    std::uint64_t round = 0;
    std::size_t turns = 0;
    // Tokens that the rank is owed from its share; negative after an advance.
    double credit = 0;
    // Smoothed waits of granted requests, measured and predicted, in
    // microseconds; their ratio corrects the next predictions.
    double measured_wait_us = 0;
    double predicted_wait_us = 0;
    // Smoothed time from the grant to the first token, in microseconds.
    double first_token_us = 0;
    // Smoothed ratio of generated tokens to `max_tokens`.
    double generated_ratio = 0.5;
};

// Debtors that are remembered in each rank; beyond this the oldest is
// forgotten, which bounds the state at any number of customers.
inline constexpr std::size_t max_debtors = 1024;

// Customers keep debts of at most this many quanta, so that one wrong estimate
// does not shut a customer out for long.
inline constexpr double max_debt_quanta = 64;

void push(
    rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    waiting entry,
    double quantum);

// Next request in order; its cost is charged to the customer, which counts it
// as in progress.
std::optional<waiting> pop(rank_state& rank, double quantum);

// Removes one queued request of the customer.
std::optional<waiting> erase(
    rank_state& rank,
    const base::customer_id& account,
    const base::request_id& request,
    double quantum);

// A request in progress ended; `refund` tokens are given back (or charged, if
// negative).
void release(
    rank_state& rank,
    const base::customer_id& account,
    double refund,
    double quantum);

// Tokens that are served before a new request of `cost` tokens of the
// customer, if all present customers share the rank fairly.
double cost_ahead(
    const rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    double cost);

// Newest request of the customer with the most queued tokens for its weight.
const waiting* least_worth(const rank_state& rank);

// Weighted queued tokens of a customer.
double
weighted_backlog(const rank_state& rank, const base::customer_id& account);

// Queued requests for which `predicate(const waiting&)` holds, by customer in
// a reproducible order.
template <class Predicate>
std::vector<std::pair<base::customer_id, base::request_id>>
find_queued(const rank_state& rank, Predicate predicate)
{
    std::vector<std::pair<base::customer_id, base::request_id>> found;
    for (const auto* list : {&rank.newcomers, &rank.order})
        for (const auto& account : *list)
            for (const auto& entry : rank.customers.at(account).queued)
                if (predicate(entry))
                    found.emplace_back(account, entry.item.request);
    return found;
}

} // namespace oleanderhinge::admission::internal
