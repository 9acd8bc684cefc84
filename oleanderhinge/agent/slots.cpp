#include "oleanderhinge/agent/slots.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::agent
{

namespace
{

// Tickets never leave the process, so that their incarnation does not matter.
constexpr base::incarnation ticket_origin{0};

void remove_entry(slot_pool& pool, const base::request_id& ticket)
{
    const auto found = pool.entries.find(ticket);
    if (found == pool.entries.end())
        return;
    pool.tickets.erase(found->second.key);
    pool.entries.erase(found);
}

// Applies the queue's actions to the entries and returns them as outcomes, with
// keys in place of tickets.
slot_outcomes
apply_actions(slot_pool& pool, admission::actions actions, base::time_point now)
{
    slot_outcomes out;
    for (auto& action : actions) {
        if (const auto* granted = std::get_if<admission::grant>(&action)) {
            auto& entry = pool.entries.at(granted->request);
            entry.granted_at = now;
            out.push_back({entry.key, {}});
        } else if (auto* refused = std::get_if<admission::refuse>(&action)) {
            out.push_back(
                {pool.entries.at(refused->request).key,
                 std::move(refused->reason)});
            remove_entry(pool, refused->request);
        }
    }
    return out;
}

} // namespace

slot_pool make_slot_pool(const slot_options& options, std::uint64_t seed)
{
    admission::queue_options queue_options;
    queue_options.max_queued = options.max_queued;
    if (options.limit > 0) {
        queue_options.limit.adaptive = false;
        queue_options.limit.min = options.limit;
        queue_options.limit.max = options.limit;
        queue_options.limit.initial = options.limit;
    }
    slot_pool pool;
    pool.options = options;
    pool.queue = admission::make_queue(queue_options, seed);
    return pool;
}

void set_batch_size(slot_pool& pool, std::uint32_t batch_size)
{
    auto& limit = pool.queue.limit;
    if (limit.options.adaptive && batch_size > 0)
        limit.current =
            std::clamp(batch_size, limit.options.min, limit.options.max);
}

slot_outcomes set_shares(
    slot_pool& pool, const wire::rank_shares& shares, base::time_point now)
{
    if (pool.queue.shares == shares)
        return {};
    return apply_actions(
        pool, admission::set_shares(pool.queue, shares, now), now);
}

slot_outcomes
submit(slot_pool& pool, const slot_request& request, base::time_point now)
{
    if (pool.tickets.contains(request.key))
        return {};
    const base::request_id ticket{ticket_origin, pool.next_ticket++};
    pool.tickets.emplace(request.key, ticket);
    pool.entries.emplace(ticket, slot_entry{request.key, {}});
    admission::work item;
    item.request = ticket;
    item.customer = request.customer;
    item.customer_weight = request.customer_weight;
    item.work_rank = request.work_rank;
    item.prompt_tokens = request.prompt_tokens;
    item.max_tokens = request.max_tokens;
    item.first_token_deadline = request.deadline;
    return apply_actions(
        pool,
        request.may_wait ? admission::submit(pool.queue, item, now)
                         : admission::submit_now(pool.queue, item, now),
        now);
}

slot_outcomes release(
    slot_pool& pool,
    const slot_key& key,
    base::token_count actual_tokens,
    base::time_point now)
{
    const auto found = pool.tickets.find(key);
    if (found == pool.tickets.end())
        return {};
    const auto ticket = found->second;
    // `finish` ignores queued requests; `cancel` removes them.
    const bool granted = pool.entries.at(ticket).granted_at.has_value();
    auto actions =
        granted && actual_tokens.value() > 0
            ? admission::finish(pool.queue, ticket, actual_tokens, now)
            : admission::cancel(pool.queue, ticket, now);
    remove_entry(pool, ticket);
    return apply_actions(pool, std::move(actions), now);
}

void observe_first_token(
    slot_pool& pool, const slot_key& key, base::time_point now)
{
    const auto found = pool.tickets.find(key);
    if (found == pool.tickets.end())
        return;
    if (const auto granted = pool.entries.at(found->second).granted_at)
        admission::observe_first_token(
            pool.queue, found->second, now - *granted);
}

slot_outcomes expire(slot_pool& pool, base::time_point now)
{
    return apply_actions(pool, admission::expire(pool.queue, now), now);
}

slot_outcomes add_latency_sample(
    slot_pool& pool, base::duration latency, base::time_point now)
{
    return apply_actions(
        pool, admission::observe_step(pool.queue, latency, now), now);
}

wire::load_report load(const slot_pool& pool)
{
    return admission::load(pool.queue);
}

} // namespace oleanderhinge::agent
