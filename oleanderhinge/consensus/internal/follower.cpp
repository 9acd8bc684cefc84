#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

// Index after which the leader should continue once this member has rejected
// `previous`. Skips all entries of the conflicting term at once.
log_index conflict_hint(const node_state& state, log_index previous)
{
    const auto& log = state.log;
    if (previous > last_index(log))
        return last_index(log);
    const auto conflicting = term_at(log, previous);
    auto hint = previous;
    while (hint > state.committed && term_at(log, hint) == conflicting)
        hint = log_index{hint.value() - 1};
    return hint;
}

void reply(context& c, const append_reply& r)
{
    send_to(c, c.state.leader, c.state.leader_disk, r);
}

// Stores the entries that are not in the log yet. Returns false if one
// conflicts with a committed entry; the caller then ignores the message.
bool store(context& c, std::vector<entry>&& entries)
{
    auto& log = c.state.log;
    std::optional<log_index> truncate_from;
    std::vector<entry> added;
    for (auto& e : entries) {
        if (e.index <= log.base)
            continue;
        const auto present = term_at(log, e.index);
        if (present == e.entry_term)
            continue;
        if (present) {
            if (e.index <= c.state.committed)
                return false;
            truncate_from = e.index;
            truncate(log, e.index);
        }
        append(log, e);
        added.push_back(std::move(e));
    }
    if (!added.empty())
        write_entries(c, truncate_from, std::move(added));
    return true;
}

} // namespace

void record_leader_contact(
    context& c,
    const vm_id& from,
    incarnation disk,
    std::int64_t sent_us,
    std::uint32_t lease_age_ms)
{
    auto& state = c.state;
    if (state.role != role::follower || state.leader != from ||
        state.leader_disk != disk)
        become_follower(c, from, disk);
    state.last_leader_contact = c.now;
    state.leader_lease_age = std::chrono::milliseconds(lease_age_ms);
    state.refuse_votes_until = c.now + state.times.election_timeout_min;
    state.leader_sent_us = std::max(state.leader_sent_us, sent_us);
    reset_election_timer(c);
}

void on_append(
    context& c, const vm_id& from, incarnation disk, append_request&& r)
{
    auto& state = c.state;
    record_leader_contact(c, from, disk, r.sent_us, r.lease_age_ms);
    state.leader_committed = r.committed;
    const auto end = log_index{r.previous.value() + r.entries.size()};
    const bool is_in_snapshot = r.previous < state.log.base;
    if (!is_in_snapshot && term_at(state.log, r.previous) != r.previous_term) {
        reply(
            c,
            {false, conflict_hint(state, r.previous), r.previous, r.sent_us});
        return;
    }
    const bool is_heartbeat = r.entries.empty();
    const auto previous_write = state.last_write_sequence;
    if (!store(c, std::move(r.entries)))
        return;
    state.leader_match_index = std::max(state.leader_match_index, end);
    commit_up_to(
        c,
        std::min(
            {r.committed, state.leader_match_index, last_index(state.log)}));
    // New entries are acknowledged by `report_durable` once they are durable.
    if (is_heartbeat || state.last_write_sequence == previous_write)
        reply(
            c,
            {true,
             std::min(state.durable, state.leader_match_index),
             {},
             r.sent_us});
}

void report_durable(context& c)
{
    const auto& state = c.state;
    if (state.role != role::follower || !state.last_leader_contact)
        return;
    reply(
        c,
        {true,
         std::min(state.durable, state.leader_match_index),
         {},
         state.leader_sent_us});
}

} // namespace oleanderhinge::consensus::internal
