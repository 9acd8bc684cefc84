#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>
#include <functional>

namespace oleanderhinge::consensus::internal
{

namespace
{

bool window_is_open(const context& c, const progress& p)
{
    const auto& bounds = c.state.bounds;
    const auto unacknowledged = p.next.value() - 1 - p.match.value();
    return unacknowledged < bounds.max_in_flight_entries &&
           p.in_flight_bytes < bounds.max_in_flight_bytes;
}

void send_entries(
    context& c, const vm_id& to, progress& p, std::vector<entry> entries)
{
    append_request r;
    r.previous = log_index{p.next.value() - 1};
    r.previous_term = *term_at(c.state.log, r.previous);
    r.committed = c.state.committed;
    r.sent_us = next_send_time(c);
    r.lease_age_ms = lease_age_ms(c);
    p.last_sent_previous = r.previous;
    if (!entries.empty()) {
        std::size_t bytes = 0;
        for (const auto& e : entries)
            bytes += e.payload.size();
        p.next = entries.back().index.next();
        p.in_flight.emplace_back(entries.back().index, bytes);
        p.in_flight_bytes += bytes;
    }
    r.entries = std::move(entries);
    send_to(c, to, p.disk, std::move(r));
}

void clear_in_flight(progress& p)
{
    p.in_flight.clear();
    p.in_flight_bytes = 0;
}

void release_in_flight(progress& p)
{
    while (!p.in_flight.empty() && p.in_flight.front().first <= p.match) {
        p.in_flight_bytes -= p.in_flight.front().second;
        p.in_flight.pop_front();
    }
}

// Hands leadership to a voter that has the whole log, if there is one.
void hand_over_if_caught_up(context& c)
{
    auto& state = c.state;
    for (const auto& m : members_of(state)) {
        const auto peer = state.leading.peers.find(m.vm);
        if (!m.voter || peer == state.leading.peers.end() ||
            peer->second.match != last_index(state.log))
            continue;
        send_to(c, m.vm, m.disk, timeout_now{});
        // Gives up the lease for the rest of the term: voters grant the
        // receiver's request in spite of the lease, and it may arrive late.
        become_follower(c, {}, {});
        return;
    }
}

void transfer_if_caught_up(context& c)
{
    if (c.state.leading.transfer_deadline)
        hand_over_if_caught_up(c);
}

} // namespace

void acknowledge(context& c, progress& p, std::int64_t sent_us)
{
    const base::time_point sent{base::duration(sent_us)};
    if (sent > c.state.leading.last_sent)
        return;
    if (!p.acknowledged_sent_at || *p.acknowledged_sent_at < sent)
        p.acknowledged_sent_at = sent;
}

void become_leader(context& c)
{
    auto& state = c.state;
    state.role = role::leader;
    state.leader = state.self;
    state.leader_disk = state.disk;
    state.campaign = {};
    // Acknowledgments from an earlier term must not count for this lease.
    state.leading = {};
    state.leading.elected_at = c.now;
    state.leading.last_heartbeat = c.now;
    state.leading.term_start_index = last_index(state.log).next();
    refresh_peers(c);
    std::vector<std::pair<entry_kind, std::string>> payloads;
    payloads.emplace_back(entry_kind::no_op, std::string());
    // After the cluster was formed, its membership is not in any log yet.
    if (membership_index(state.log) == log_index{})
        payloads.emplace_back(
            entry_kind::membership, encode_membership(members_of(state)));
    append_as_leader(c, std::move(payloads));
}

void append_as_leader(
    context& c, std::vector<std::pair<entry_kind, std::string>>&& payloads)
{
    auto& state = c.state;
    std::vector<entry> added;
    added.reserve(payloads.size());
    bool has_membership = false;
    for (auto& [kind, payload] : payloads) {
        has_membership = has_membership || kind == entry_kind::membership;
        added.push_back(
            {state.vote.current_term,
             last_index(state.log).next(),
             kind,
             std::move(payload)});
        append(state.log, added.back());
    }
    // The own write runs in parallel with replication; the own copy counts
    // towards the majority once `persisted` reports it.
    write_entries(c, {}, std::move(added));
    if (has_membership)
        refresh_peers(c);
    for (auto& [vm, p] : state.leading.peers)
        replicate(c, vm, p, false);
}

void replicate(context& c, const vm_id& to, progress& p, bool heartbeat)
{
    auto& state = c.state;
    if (!p.snapshot && p.next <= state.log.base) {
        p.snapshot = state.snapshot->last;
        p.snapshot_offset = 0;
        p.chunk_sent_at = {};
    }
    if (p.snapshot) {
        send_chunk(c, to, p, heartbeat);
        return;
    }
    bool sent = false;
    while (p.next <= last_index(state.log) && window_is_open(c, p) &&
           (!p.probing || p.in_flight.empty())) {
        send_entries(
            c,
            to,
            p,
            copy(
                state.log,
                p.next,
                state.bounds.max_append_entries,
                state.bounds.max_append_bytes));
        sent = true;
    }
    if (heartbeat && !sent)
        send_entries(c, to, p, {});
}

void on_leader_tick(context& c)
{
    auto& state = c.state;
    const auto confirmed = lease_start(state, c.now);
    const auto lease_from = std::max(
        confirmed.value_or(state.leading.elected_at), state.leading.elected_at);
    if (c.now >= lease_from + state.times.lease_duration) {
        ++state.counts.lease_losses;
        become_follower(c, {}, {});
        return;
    }
    if (state.leading.transfer_deadline &&
        c.now >= *state.leading.transfer_deadline)
        state.leading.transfer_deadline.reset();
    if (c.now >=
        state.leading.last_heartbeat + state.times.heartbeat_interval) {
        state.leading.last_heartbeat = c.now;
        for (auto& [vm, p] : state.leading.peers)
            replicate(c, vm, p, true);
    }
    promote_learners(c);
    // A voter that has stored an entry that this disk refuses has a working
    // disk. Without such an entry none is known to have one.
    if (state.disk_refuses_writes && state.durable < last_index(state.log))
        hand_over_if_caught_up(c);
    else
        transfer_if_caught_up(c);
}

void on_proposals(context& c, proposals&& p)
{
    auto& state = c.state;
    std::vector<std::pair<entry_kind, std::string>> payloads;
    auto available = state.bounds.max_uncommitted_entries;
    const auto uncommitted =
        last_index(state.log).value() - state.committed.value();
    available -= std::min(available, std::size_t(uncommitted));
    auto index = last_index(state.log);
    for (auto& item : p.batch) {
        const auto refuse = [&](reject_reason reason) {
            c.actions.emplace_back(rejected{item.tag, reason});
        };
        if (state.role != role::leader) {
            refuse(reject_reason::not_leader);
        } else if (item.command.size() > state.bounds.max_command_bytes) {
            refuse(reject_reason::too_large);
        } else if (
            payloads.size() >= available || state.leading.transfer_deadline) {
            refuse(reject_reason::busy);
        } else {
            index = index.next();
            c.actions.emplace_back(
                accepted{item.tag, index, state.vote.current_term});
            payloads.emplace_back(entry_kind::command, std::move(item.command));
        }
    }
    if (!payloads.empty())
        append_as_leader(c, std::move(payloads));
}

void on_read(context& c, const read_requested& r)
{
    if (c.state.role != role::leader) {
        c.actions.emplace_back(rejected{r.tag, reject_reason::not_leader});
        return;
    }
    auto& leading = c.state.leading;
    leading.pending_reads.push_back({r.tag, leading.last_sent});
    leading.last_sent += base::duration(1);
}

std::int64_t next_send_time(context& c)
{
    auto& last = c.state.leading.last_sent;
    last = std::max(last, c.now);
    return last.time_since_epoch().count();
}

void answer_reads(context& c)
{
    auto& state = c.state;
    auto& leading = state.leading;
    // Until an entry of this term is committed, `committed` may not cover all
    // entries that an earlier leader committed and acknowledged.
    if (state.role != role::leader || leading.pending_reads.empty() ||
        state.committed < leading.term_start_index)
        return;
    const auto confirmed =
        acknowledged_by_quorum(state, base::time_point::max())
            .value_or(base::time_point::min());
    const auto unconfirmed = std::find_if(
        leading.pending_reads.begin(),
        leading.pending_reads.end(),
        [&](const pending_read& r) { return r.after >= confirmed; });
    for (auto r = leading.pending_reads.begin(); r != unconfirmed; ++r)
        c.actions.emplace_back(read_ready{r->tag, state.committed});
    leading.pending_reads.erase(leading.pending_reads.begin(), unconfirmed);
    // Reads that come while a round is on its way share the next one.
    if (leading.pending_reads.empty() || leading.read_round > confirmed)
        return;
    leading.read_round = base::time_point(base::duration(next_send_time(c)));
    for (auto& [vm, p] : leading.peers)
        replicate(c, vm, p, true);
}

void on_append_reply(context& c, const vm_id& from, const append_reply& r)
{
    auto& state = c.state;
    const auto found = state.leading.peers.find(from);
    if (state.role != role::leader || found == state.leading.peers.end())
        return;
    auto& p = found->second;
    acknowledge(c, p, r.sent_us);
    if (p.snapshot)
        return;
    if (r.accepted) {
        p.match = std::max(p.match, std::min(r.match, last_index(state.log)));
        p.next = std::max(p.next, p.match.next());
        p.probing = false;
        release_in_flight(p);
        advance_commit(c);
        if (state.role != role::leader)
            return;
    } else {
        const bool stale =
            r.rejected_previous <= p.match ||
            (p.probing && r.rejected_previous != p.last_sent_previous);
        if (stale)
            return;
        p.next = std::max(
            p.match.next(), std::min(r.match.next(), r.rejected_previous));
        p.probing = true;
        clear_in_flight(p);
    }
    replicate(c, from, p, false);
    transfer_if_caught_up(c);
}

void advance_commit(context& c)
{
    auto& state = c.state;
    if (state.role != role::leader)
        return;
    std::vector<log_index> matches;
    for (const auto& m : members_of(state)) {
        if (!m.voter)
            continue;
        const auto peer = state.leading.peers.find(m.vm);
        if (m.vm == state.self)
            matches.push_back(state.durable);
        else if (peer != state.leading.peers.end())
            matches.push_back(peer->second.match);
    }
    const auto needed = quorum_size(members_of(state));
    if (matches.size() < needed)
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const auto index = matches[needed - 1];
    // Only entries of the current term are committed by counting replicas;
    // earlier entries are committed with them (Raft paper, section 5.4.2).
    if (index <= state.committed ||
        term_at(state.log, index) != state.vote.current_term)
        return;
    commit_up_to(c, index);
    const bool removed =
        find_member(members_of(state), state.self) == nullptr &&
        membership_index(state.log) <= state.committed;
    if (removed)
        become_follower(c, {}, {});
}

void on_transfer(context& c)
{
    auto& state = c.state;
    if (state.role != role::leader)
        return;
    state.leading.transfer_deadline = c.now + state.times.election_timeout_min;
    transfer_if_caught_up(c);
}

} // namespace oleanderhinge::consensus::internal
