#include "oleanderhinge/agent/slots.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::agent
{

namespace
{

// Origin of the tickets, which never leave the process.
constexpr base::incarnation ticket_origin{0};

void forget(slot_pool& pool, const base::request_id& ticket)
{
    const auto found = pool.holders.find(ticket);
    if (found == pool.holders.end())
        return;
    pool.tickets.erase(found->second.key);
    pool.holders.erase(found);
}

// Translates the queue's answers from tickets to keys.
slot_outcomes
translate(slot_pool& pool, admission::actions actions, base::time_point now)
{
    slot_outcomes out;
    for (auto& action : actions) {
        if (const auto* granted = std::get_if<admission::grant>(&action)) {
            auto& holder = pool.holders.at(granted->request);
            holder.granted_at = now;
            out.push_back({holder.key, {}});
        } else if (auto* refused = std::get_if<admission::refuse>(&action)) {
            out.push_back(
                {pool.holders.at(refused->request).key,
                 std::move(refused->reason)});
            forget(pool, refused->request);
        }
    }
    return out;
}

} // namespace

slot_pool make_slot_pool(const slot_options& options, std::uint64_t seed)
{
    admission::queue_options chosen;
    chosen.max_queued = options.max_queued;
    if (options.limit > 0) {
        chosen.limit.adaptive = false;
        chosen.limit.min = options.limit;
        chosen.limit.max = options.limit;
        chosen.limit.initial = options.limit;
    }
    slot_pool pool;
    pool.options = options;
    pool.queue = admission::make_queue(chosen, seed);
    return pool;
}

void set_batch(slot_pool& pool, std::uint32_t batch)
{
    auto& limit = pool.queue.limit;
    if (limit.options.adaptive && batch > 0)
        limit.current = std::clamp(batch, limit.options.min, limit.options.max);
}

slot_outcomes set_shares(
    slot_pool& pool, const wire::rank_shares& shares, base::time_point now)
{
    if (pool.queue.shares == shares)
        return {};
    return translate(pool, admission::set_shares(pool.queue, shares, now), now);
}

slot_outcomes
ask(slot_pool& pool, const slot_request& wanted, base::time_point now)
{
    if (pool.tickets.contains(wanted.key))
        return {};
    const base::request_id ticket{ticket_origin, pool.next_ticket++};
    pool.tickets.emplace(wanted.key, ticket);
    pool.holders.emplace(ticket, slot_holder{wanted.key, {}});
    admission::work item;
    item.request = ticket;
    item.customer = wanted.customer;
    item.customer_weight = wanted.customer_weight;
    item.work_rank = wanted.work_rank;
    item.prompt_tokens = wanted.prompt_tokens;
    item.max_tokens = wanted.max_tokens;
    item.first_token_deadline = wanted.deadline;
    return translate(
        pool,
        wanted.may_wait ? admission::submit(pool.queue, item, now)
                        : admission::submit_now(pool.queue, item, now),
        now);
}

slot_outcomes give_back(
    slot_pool& pool,
    const slot_key& key,
    base::token_count used,
    base::time_point now)
{
    const auto found = pool.tickets.find(key);
    if (found == pool.tickets.end())
        return {};
    const auto ticket = found->second;
    // `finish` knows only granted work; queued work leaves by `cancel`.
    const bool granted = pool.holders.at(ticket).granted_at.has_value();
    auto actions = granted && used.value() > 0
                       ? admission::finish(pool.queue, ticket, used, now)
                       : admission::cancel(pool.queue, ticket, now);
    forget(pool, ticket);
    return translate(pool, std::move(actions), now);
}

void observe_first_token(
    slot_pool& pool, const slot_key& key, base::time_point now)
{
    const auto found = pool.tickets.find(key);
    if (found == pool.tickets.end())
        return;
    if (const auto granted = pool.holders.at(found->second).granted_at)
        admission::observe_first_token(
            pool.queue, found->second, now - *granted);
}

slot_outcomes expire(slot_pool& pool, base::time_point now)
{
    return translate(pool, admission::expire(pool.queue, now), now);
}

slot_outcomes
observe(slot_pool& pool, base::duration latency, base::time_point now)
{
    return translate(
        pool, admission::observe_step(pool.queue, latency, now), now);
}

wire::load_report load(const slot_pool& pool)
{
    return admission::load(pool.queue);
}

} // namespace oleanderhinge::agent
