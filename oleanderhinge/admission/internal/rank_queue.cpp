#include "oleanderhinge/admission/internal/rank_queue.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::admission::internal
{

namespace
{

double share_of(const customer_state& customer, double quantum)
{
    return quantum * double(customer.weight);
}

// Pays the debt of a customer for the rounds in which it had nothing queued.
void pay_idle_rounds(
    const rank_state& rank, customer_state& customer, double quantum)
{
    const double rounds = double(rank.round - customer.idle_since);
    if (customer.deficit < 0)
        customer.deficit = std::min(
            0.0, customer.deficit + rounds * share_of(customer, quantum));
    customer.idle_since = rank.round;
}

// Drops a customer without work, or notes it as a debtor.
void retire(rank_state& rank, const base::customer_id& account, double quantum)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end() || !it->second.queued.empty() ||
        it->second.in_progress > 0)
        return;
    pay_idle_rounds(rank, it->second, quantum);
    if (it->second.deficit >= 0) {
        rank.customers.erase(it);
        return;
    }
    rank.debtors.push_back(account);
}

// Forgets debtors that came back, have paid by now, or are too many.
void prune_debtors(rank_state& rank, double quantum)
{
    const auto idle = [](const customer_state& c) {
        return c.queued.empty() && c.in_progress == 0;
    };
    while (!rank.debtors.empty()) {
        const auto it = rank.customers.find(rank.debtors.front());
        if (it != rank.customers.end() && idle(it->second)) {
            pay_idle_rounds(rank, it->second, quantum);
            if (it->second.deficit < 0 && rank.debtors.size() <= max_debtors)
                return;
            rank.customers.erase(it);
        }
        rank.debtors.pop_front();
    }
}

void count_turn(rank_state& rank)
{
    if (++rank.turns >= rank.order.size()) {
        rank.turns = 0;
        ++rank.round;
    }
}

// Advances by as many whole rounds as the customer that is closest to a
// positive deficit needs.
void skip_rounds(rank_state& rank, double quantum)
{
    double rounds = -1;
    for (const auto& account : rank.order) {
        const auto& customer = rank.customers.at(account);
        const double needed =
            std::floor(-customer.deficit / share_of(customer, quantum));
        rounds = rounds < 0 ? needed : std::min(rounds, needed);
    }
    if (rounds < 1)
        return;
    for (const auto& account : rank.order) {
        auto& customer = rank.customers.at(account);
        customer.deficit += rounds * share_of(customer, quantum);
    }
    rank.round += std::uint64_t(rounds);
}

// Moves the first customer in order with a positive deficit to the front.
void find_turn(rank_state& rank, double quantum)
{
    std::size_t passed = 0;
    for (;;) {
        const auto account = rank.order.front();
        auto& customer = rank.customers.at(account);
        if (customer.deficit > 0)
            return;
        customer.deficit += share_of(customer, quantum);
        rank.order.splice(rank.order.end(), rank.order, rank.order.begin());
        count_turn(rank);
        if (++passed % rank.order.size() == 0)
            skip_rounds(rank, quantum);
    }
}

// Newcomers get the turns of their number, and at least every other one, so
// that a customer with little work is served soon beside few large ones.
bool is_newcomers_turn(rank_state& rank)
{
    if (rank.newcomers.empty() || rank.order.empty())
        return rank.order.empty();
    const auto newcomers = double(rank.newcomers.size());
    rank.newcomer_turns +=
        std::max(0.5, newcomers / (newcomers + double(rank.order.size())));
    if (rank.newcomer_turns < 1)
        return false;
    rank.newcomer_turns -= 1;
    return true;
}

void subtract_queued(
    rank_state& rank, customer_state& customer, const waiting& entry)
{
    customer.queued_cost -= entry.cost;
    rank.queued_cost -= entry.cost;
    --rank.queued;
    // Rounding must not leave a small negative rest.
    if (customer.queued.empty())
        customer.queued_cost = 0;
    if (rank.queued == 0)
        rank.queued_cost = 0;
}

// The customer has nothing queued any more and was taken off its list.
void note_emptied(rank_state& rank, customer_state& customer)
{
    customer.idle_since = rank.round;
    rank.turns = std::min(rank.turns, rank.order.size());
    if (rank.queued == 0)
        ++rank.round;
}

} // namespace

void push(
    rank_state& rank,
    const base::customer_id& account,
    std::uint32_t weight,
    waiting entry,
    double quantum)
{
    prune_debtors(rank, quantum);
    const auto [it, added] = rank.customers.try_emplace(account);
    auto& customer = it->second;
    customer.weight = std::max(1U, weight);
    if (customer.queued.empty()) {
        if (!added)
            pay_idle_rounds(rank, customer, quantum);
        const bool newcomer = customer.deficit >= 0;
        if (newcomer)
            customer.deficit =
                std::max(customer.deficit, share_of(customer, quantum));
        (newcomer ? rank.newcomers : rank.order).push_back(account);
    }
    customer.queued_cost += entry.cost;
    rank.queued_cost += entry.cost;
    ++rank.queued;
    customer.queued.push_back(std::move(entry));
}

std::optional<waiting> pop(rank_state& rank, double quantum)
{
    if (rank.queued == 0)
        return std::nullopt;
    const bool from_newcomers = is_newcomers_turn(rank);
    if (!from_newcomers)
        find_turn(rank, quantum);
    auto& list = from_newcomers ? rank.newcomers : rank.order;
    const auto account = list.front();
    auto& customer = rank.customers.at(account);
    waiting entry = std::move(customer.queued.front());
    customer.queued.pop_front();
    customer.deficit -= entry.cost;
    customer.deficit = std::max(
        customer.deficit, -max_debt_quanta * share_of(customer, quantum));
    ++customer.in_progress;
    subtract_queued(rank, customer, entry);
    if (customer.queued.empty()) {
        list.pop_front();
        note_emptied(rank, customer);
    } else if (from_newcomers) {
        rank.order.splice(
            rank.order.end(), rank.newcomers, rank.newcomers.begin());
    }
    return entry;
}

std::optional<waiting> erase(
    rank_state& rank,
    const base::customer_id& account,
    const base::request_id& request,
    double quantum)
{
    const auto it = rank.customers.find(account);
    if (it == rank.customers.end())
        return std::nullopt;
    auto& queued = it->second.queued;
    const auto at =
        std::find_if(queued.begin(), queued.end(), [&](const waiting& w) {
            return w.item.request == request;
        });
    if (at == queued.end())
        return std::nullopt;
    waiting entry = std::move(*at);
    queued.erase(at);
    subtract_queued(rank, it->second, entry);
    if (it->second.queued.empty()) {
        rank.order.remove(account);
        rank.newcomers.remove(account);
        note_emptied(rank, it->second);
    }
    retire(rank, account, quantum);
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
    const double bound = max_debt_quanta * share_of(customer, quantum);
    customer.deficit = std::clamp(customer.deficit + refund, -bound, bound);
    retire(rank, account, quantum);
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
    for (const auto* list : {&rank.newcomers, &rank.order})
        for (const auto& other : *list) {
            if (other == account)
                continue;
            const auto& customer = rank.customers.at(other);
            ahead +=
                std::min(customer.queued_cost, share * double(customer.weight));
        }
    return ahead;
}

const waiting* least_worth(const rank_state& rank)
{
    const waiting* worst = nullptr;
    double most = -1;
    for (const auto* list : {&rank.newcomers, &rank.order})
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
