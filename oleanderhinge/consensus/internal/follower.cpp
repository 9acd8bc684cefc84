#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

// Where the leader should continue after a refusal: before the whole run of
// entries with the conflicting term.
log_index hint_for(const node_state& state, log_index previous)
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

// Stores the entries that are not in the log yet. False if they contradict a
// committed entry; the message is then ignored.
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

void heard_leader(
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
    state.leader_heard = c.now;
    state.leader_lease_age = std::chrono::milliseconds(lease_age_ms);
    state.vote_barred_until = c.now + state.times.election_min;
    state.last_sent_us = std::max(state.last_sent_us, sent_us);
    reset_election(c);
}

void on_append(
    context& c, const vm_id& from, incarnation disk, append_request&& r)
{
    auto& state = c.state;
    heard_leader(c, from, disk, r.sent_us, r.lease_age_ms);
    const auto end = log_index{r.previous.value() + r.entries.size()};
    const bool is_covered = r.previous < state.log.base;
    if (!is_covered && term_at(state.log, r.previous) != r.previous_term) {
        reply(c, {false, hint_for(state, r.previous), r.previous, r.sent_us});
        return;
    }
    const bool is_heartbeat = r.entries.empty();
    const auto ticket = state.last_ticket;
    if (!store(c, std::move(r.entries)))
        return;
    state.verified = std::max(state.verified, end);
    commit_up_to(
        c, std::min({r.committed, state.verified, last_index(state.log)}));
    // New entries are acknowledged when they are durable.
    if (is_heartbeat || state.last_ticket == ticket)
        reply(
            c, {true, std::min(state.durable, state.verified), {}, r.sent_us});
}

void report_durable(context& c)
{
    const auto& state = c.state;
    if (state.role != role::follower || !state.leader_heard)
        return;
    reply(
        c,
        {true,
         std::min(state.durable, state.verified),
         {},
         state.last_sent_us});
}

} // namespace oleanderhinge::consensus::internal
