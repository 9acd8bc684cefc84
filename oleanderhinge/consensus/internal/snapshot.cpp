#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

// Appends a chunk to the incoming snapshot if it is the next one. Returns the
// contiguous bytes received so far.
std::uint64_t append_chunk(context& c, snapshot_chunk& m)
{
    auto& incoming = c.state.incoming;
    if (!incoming || incoming->leader_term != c.state.vote.current_term ||
        incoming->last != m.last)
        incoming = incoming_snapshot{c.state.vote.current_term, m.last, {}};
    const auto received = incoming->data.size();
    if (m.offset == received && m.data.size() <= m.size - received)
        incoming->data += m.data;
    return incoming->data.size();
}

void install(context& c, const snapshot_chunk& m, std::string data)
{
    auto& state = c.state;
    snapshot_content content{
        m.last,
        m.last_term,
        m.members,
        std::make_shared<const std::string>(std::move(data))};
    reset(state.log, m.last, m.last_term, m.members);
    state.committed = m.last;
    state.applied = m.last;
    state.leader_match_index = m.last;
    state.snapshot = content;
    ++state.counts.snapshots_installed;
    // Writes in progress belong to the log that the snapshot replaces.
    for (auto& [write_sequence, last] : state.pending_writes)
        last = {};
    state.durable = {};
    const auto write_sequence = ++state.last_write_sequence;
    state.pending_writes.emplace_back(write_sequence, m.last);
    c.actions.emplace_back(
        install_snapshot{write_sequence, std::move(content)});
    send_after_persist(
        c,
        write_sequence,
        state.leader,
        state.leader_disk,
        snapshot_reply{m.last, m.size, m.sent_us});
}

} // namespace

void send_chunk(context& c, const vm_id& to, progress& p, bool heartbeat)
{
    const auto& snapshot = *c.state.snapshot;
    if (snapshot.last != *p.snapshot) {
        p.snapshot = snapshot.last;
        p.snapshot_offset = 0;
        p.chunk_sent_at = {};
    }
    // A chunk is repeated if no reply came within two heartbeat intervals.
    // Until then, chunks without data serve as heartbeats.
    const bool due =
        c.now >= p.chunk_sent_at + c.state.times.heartbeat_interval * 2 ||
        p.chunk_sent_at == base::time_point{};
    if (!due && !heartbeat)
        return;
    snapshot_chunk m;
    m.last = snapshot.last;
    m.last_term = snapshot.last_term;
    m.members = snapshot.members;
    m.size = snapshot.data->size();
    m.offset = p.snapshot_offset;
    if (due) {
        m.data =
            snapshot.data->substr(m.offset, c.state.bounds.max_chunk_bytes);
        p.chunk_sent_at = c.now;
    }
    m.sent_us = next_send_time(c);
    m.lease_age_ms = lease_age_ms(c);
    send_to(c, to, p.disk, std::move(m));
}

void on_chunk(
    context& c, const vm_id& from, incarnation disk, snapshot_chunk&& m)
{
    auto& state = c.state;
    record_leader_contact(c, from, disk, m.sent_us, m.lease_age_ms);
    state.leader_committed.reset();
    const auto reply = [&](std::uint64_t received) {
        send_to(c, from, disk, snapshot_reply{m.last, received, m.sent_us});
    };
    if (term_at(state.log, m.last) == m.last_term) {
        // The log holds everything up to the snapshot already.
        state.leader_match_index = std::max(state.leader_match_index, m.last);
        commit_up_to(c, m.last);
        reply(m.size);
        return;
    }
    if (m.last <= state.committed) {
        reply(m.size);
        return;
    }
    if (m.size > state.bounds.max_snapshot_bytes)
        return;
    const auto received = append_chunk(c, m);
    if (received < m.size) {
        reply(received);
        return;
    }
    auto data = std::move(state.incoming->data);
    state.incoming.reset();
    install(c, m, std::move(data));
}

void on_snapshot_reply(context& c, const vm_id& from, const snapshot_reply& r)
{
    auto& state = c.state;
    const auto found = state.leading.peers.find(from);
    if (state.role != role::leader || found == state.leading.peers.end())
        return;
    auto& p = found->second;
    acknowledge(c, p, r.sent_us);
    if (!p.snapshot || r.last != *p.snapshot)
        return;
    if (r.received >= state.snapshot->data->size() &&
        r.last == state.snapshot->last) {
        p.next = std::max(p.match, r.last).next();
        p.snapshot.reset();
        p.probing = true;
        p.in_flight.clear();
        p.in_flight_bytes = 0;
    } else if (r.received != p.snapshot_offset) {
        p.snapshot_offset = r.received;
        p.chunk_sent_at = {};
    }
    replicate(c, from, p, false);
}

// The last entry up to the snapshot that does not stay in memory.
log_index last_to_compact(const node_state& state, log_index covered)
{
    std::uint64_t entries = 0;
    std::size_t bytes = 0;
    auto index = covered;
    while (index > state.log.base && entries < state.bounds.trailing_entries) {
        bytes += entry_at(state.log, index).payload.size();
        if (bytes > state.bounds.trailing_bytes)
            break;
        ++entries;
        index = log_index{index.value() - 1};
    }
    return index;
}

void on_snapshot_taken(context& c, snapshot_taken&& s)
{
    auto& state = c.state;
    const bool is_old = s.last <= state.log.base ||
                        (state.snapshot && s.last <= state.snapshot->last);
    if (is_old || s.last > state.applied)
        return;
    state.snapshot = snapshot_content{
        s.last,
        *term_at(state.log, s.last),
        membership_at(state.log, s.last),
        std::move(s.data)};
    compact(state.log, last_to_compact(state, s.last));
    state.durable = std::max(state.durable, state.log.base);
}

} // namespace oleanderhinge::consensus::internal
