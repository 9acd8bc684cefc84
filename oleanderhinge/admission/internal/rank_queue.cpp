#include "oleanderhinge/admission/internal/rank_queue.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::admission::internal
{

namespace
{

double quantum_of(const customer_state& customer, double quantum)
{
    return quantum * double(customer.weight);
}

// Reduces the debt of a customer by a quantum for each round in which it had
// nothing queued.
void credit_idle_rounds(
    const rank_state& rank, customer_state& customer, double quantum)
{
    const double rounds = double(rank.round - customer.idle_since_round);
    if (customer.deficit < 0)
        customer.deficit = std::min(
            0.0, customer.deficit + rounds * quantum_of(customer, quantum));
    customer.idle_since_round = rank.round;
}

// Removes a customer without requests, or keeps it while it has a debt.
void drop_if_idle(
    rank_state& rank, const base::customer_id& account, double quantum)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end() || !it->second.queued.empty() ||
        it->second.in_progress > 0)
        return;
    credit_idle_rounds(rank, it->second, quantum);
    if (it->second.deficit >= 0) {
        rank.customers.erase(it);
        return;
    }
    rank.customers_in_debt.push_back(account);
}

// Removes the oldest customers from the list of those in debt while they have
// requests again, have no debt any more, or the list is too long.
void prune_customers_in_debt(rank_state& rank, double quantum)
{
    const auto idle = [](const customer_state& c) {
        return c.queued.empty() && c.in_progress == 0;
    };
    while (!rank.customers_in_debt.empty()) {
        const auto it = rank.customers.find(rank.customers_in_debt.front());
        if (it != rank.customers.end() && idle(it->second)) {
            credit_idle_rounds(rank, it->second, quantum);
            if (it->second.deficit < 0 &&
                rank.customers_in_debt.size() <= max_customers_in_debt)
                return;
            rank.customers.erase(it);
        }
        rank.customers_in_debt.pop_front();
    }
}

void count_turn(rank_state& rank)
{
    if (++rank.turns >= rank.round_robin.size()) {
        rank.turns = 0;
        ++rank.round;
    }
}

// Advances by as many whole rounds as the customer that is closest to a
// positive deficit needs, instead of one by one.
void skip_rounds(rank_state& rank, double quantum)
{
    double rounds = -1;
    for (const auto& account : rank.round_robin) {
        const auto& customer = rank.customers.at(account);
        const double needed =
            std::floor(-customer.deficit / quantum_of(customer, quantum));
        rounds = rounds < 0 ? needed : std::min(rounds, needed);
    }
    if (rounds < 1)
        return;
    for (const auto& account : rank.round_robin) {
        auto& customer = rank.customers.at(account);
        customer.deficit += rounds * quantum_of(customer, quantum);
    }
    rank.round += std::uint64_t(rounds);
}

// Rotates the round-robin list until a customer with a positive deficit is at
// the front, and adds a quantum to each that it passes.
void advance_to_eligible(rank_state& rank, double quantum)
{
    std::size_t passed = 0;
    for (;;) {
        const auto account = rank.round_robin.front();
        auto& customer = rank.customers.at(account);
        if (customer.deficit > 0)
            return;
        customer.deficit += quantum_of(customer, quantum);
        rank.round_robin.splice(
            rank.round_robin.end(), rank.round_robin, rank.round_robin.begin());
        count_turn(rank);
        if (++passed % rank.round_robin.size() == 0)
            skip_rounds(rank, quantum);
    }
}

// Takes a turn and returns whether it belongs to a new customer. New customers
// get turns in proportion to their number, and at least every second one, so
// that a customer with few requests is served soon beside a few large ones.
bool take_new_customer_turn(rank_state& rank)
{
    if (rank.new_customers.empty() || rank.round_robin.empty())
        return rank.round_robin.empty();
    const auto new_customers = double(rank.new_customers.size());
    rank.new_customer_turns += std::max(
        0.5, new_customers / (new_customers + double(rank.round_robin.size())));
    if (rank.new_customer_turns < 1)
        return false;
    rank.new_customer_turns -= 1;
    return true;
}

void subtract_queued(
    rank_state& rank, customer_state& customer, const queued_request& entry)
{
    customer.queued_cost -= entry.cost;
    rank.queued_cost -= entry.cost;
    --rank.queued;
    // Removes rounding errors, which could leave a negative sum.
    if (customer.queued.empty())
        customer.queued_cost = 0;
    if (rank.queued == 0)
        rank.queued_cost = 0;
}

// Updates the state for a customer that has no queued request any more and was
// removed from its list.
void note_emptied(rank_state& rank, customer_state& customer)
{
    customer.idle_since_round = rank.round;
    rank.turns = std::min(rank.turns, rank.round_robin.size());
    if (rank.queued == 0)
        ++rank.round;
}

} // namespace

void push(
    rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    queued_request entry,
    double quantum)
{
    prune_customers_in_debt(rank, quantum);
    const auto [it, added] = rank.customers.try_emplace(account);
    auto& customer = it->second;
    customer.weight = std::max(1U, weight);
    if (customer.queued.empty()) {
        if (!added)
            credit_idle_rounds(rank, customer, quantum);
        const bool is_new = customer.deficit >= 0;
        if (is_new)
            customer.deficit =
                std::max(customer.deficit, quantum_of(customer, quantum));
        (is_new ? rank.new_customers : rank.round_robin).push_back(account);
    }
    customer.queued_cost += entry.cost;
    rank.queued_cost += entry.cost;
    ++rank.queued;
    customer.queued.push_back(std::move(entry));
}

std::optional<queued_request> pop(rank_state& rank, double quantum)
{
    if (rank.queued == 0)
        return std::nullopt;
    const bool from_new_customers = take_new_customer_turn(rank);
    if (!from_new_customers)
        advance_to_eligible(rank, quantum);
    auto& list = from_new_customers ? rank.new_customers : rank.round_robin;
    const auto account = list.front();
    auto& customer = rank.customers.at(account);
    queued_request entry = std::move(customer.queued.front());
    customer.queued.pop_front();
    customer.deficit -= entry.cost;
    customer.deficit = std::max(
        customer.deficit, -max_debt_quanta * quantum_of(customer, quantum));
    ++customer.in_progress;
    subtract_queued(rank, customer, entry);
    if (customer.queued.empty()) {
        list.pop_front();
        note_emptied(rank, customer);
    } else if (from_new_customers) {
        rank.round_robin.splice(
            rank.round_robin.end(),
            rank.new_customers,
            rank.new_customers.begin());
    }
    return entry;
}

std::optional<queued_request> erase(
    rank_state& rank,
    const base::customer_id& account,
    const base::request_id& request,
    double quantum)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end())
        return std::nullopt;
    auto& queued = it->second.queued;
    const auto at = std::find_if(
        queued.begin(), queued.end(), [&](const queued_request& w) {
            return w.item.request == request;
        });
    if (at == queued.end())
        return std::nullopt;
    queued_request entry = std::move(*at);
    queued.erase(at);
    subtract_queued(rank, it->second, entry);
    if (it->second.queued.empty()) {
        rank.round_robin.remove(account);
        rank.new_customers.remove(account);
        note_emptied(rank, it->second);
    }
    drop_if_idle(rank, account, quantum);
    return entry;
}

void release(
    rank_state& rank,
    const base::customer_id& account,
    double refund,
    double quantum)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end())
        return;
    auto& customer = it->second;
    if (customer.in_progress > 0)
        --customer.in_progress;
    const double bound = max_debt_quanta * quantum_of(customer, quantum);
    customer.deficit = std::clamp(customer.deficit + refund, -bound, bound);
    drop_if_idle(rank, account, quantum);
}

double cost_ahead(
    const rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    double cost)
{
    const auto own = rank.customers.find(account);
    const double own_queued =
        own == rank.customers.end() ? 0 : own->second.queued_cost;
    const double share = (own_queued + cost) / std::max(1U, weight);
    double ahead = own_queued;
    for (const auto* list : {&rank.new_customers, &rank.round_robin})
        for (const auto& other : *list) {
            if (other == account)
                continue;
            const auto& customer = rank.customers.at(other);
            ahead +=
                std::min(customer.queued_cost, share * double(customer.weight));
        }
    return ahead;
}

const queued_request* shedding_candidate(const rank_state& rank)
{
    const queued_request* worst = nullptr;
    double most = -1;
    for (const auto* list : {&rank.new_customers, &rank.round_robin})
        for (const auto& account : *list) {
            const auto& customer = rank.customers.at(account);
            const double backlog =
                customer.queued_cost / double(customer.weight);
            if (backlog > most) {
                most = backlog;
                worst = &customer.queued.back();
            }
        }
    return worst;
}

double
weighted_backlog(const rank_state& rank, const base::customer_id& account)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end())
        return 0;
    return it->second.queued_cost / double(it->second.weight);
}

} // namespace oleanderhinge::admission::internal
