#include "oleanderhinge/consensus/internal/context.hpp"
#include "oleanderhinge/consensus/node_state.hpp"

#include <algorithm>
#include <type_traits>

namespace oleanderhinge::consensus
{

namespace
{

using internal::context;

void on_event(context& c, tick)
{
    auto& state = c.state;
    internal::announce_disk_if_due(c);
    if (state.role == role::leader) {
        internal::on_leader_tick(c);
        return;
    }
    // The only voter cannot hear from another leader, so it does not wait.
    const bool is_only_voter = is_voter(state) &&
                               state.role == role::follower &&
                               voter_count(members_of(state)) == 1;
    if (c.now < state.election_deadline && !is_only_voter)
        return;
    if (is_voter(state) && !state.disk_refuses_writes) {
        internal::start_campaign(c, true, false);
        return;
    }
    internal::become_follower(c, {}, {});
}

// Replies count only if they come from the disk that the membership holds.
bool is_from_member(
    const node_state& state, const vm_id& from, incarnation disk)
{
    const auto* m = find_member(members_of(state), from);
    return m != nullptr && m->disk == disk;
}

// Answers a leader with a lower term, so that it learns the current term.
void reject_stale_leader(context& c, const vm_id& from, const message& m)
{
    internal::send_to(c, from, m.sender, append_reply{});
}

// Adopts `seen` if it is higher than the current term; returns whether it is
// the current term then.
bool observe_and_match_term(context& c, term seen)
{
    internal::observe_term(c, seen);
    return seen == c.state.vote.current_term;
}

void on_leader_message(context& c, const vm_id& from, message& m)
{
    if (!observe_and_match_term(c, m.sender_term)) {
        reject_stale_leader(c, from, m);
        return;
    }
    // A term has one leader; a message that claims otherwise is ignored.
    if (c.state.role == role::leader)
        return;
    if (auto* r = std::get_if<append_request>(&m.content))
        internal::on_append(c, from, m.sender, std::move(*r));
    else if (auto* s = std::get_if<snapshot_chunk>(&m.content))
        internal::on_chunk(c, from, m.sender, std::move(*s));
    else if (c.state.leader == from)
        internal::on_timeout_now(c);
}

void on_reply(context& c, const vm_id& from, const message& m)
{
    if (!is_from_member(c.state, from, m.sender))
        return;
    const bool is_current_term = observe_and_match_term(c, m.sender_term);
    const auto* v = std::get_if<vote_reply>(&m.content);
    // A pre-vote does not raise the voter's term, so the reply may come with a
    // lower one.
    if (!is_current_term && (v == nullptr || !v->pre_vote))
        return;
    if (v != nullptr)
        internal::on_vote_reply(c, from, *v);
    else if (const auto* a = std::get_if<append_reply>(&m.content))
        internal::on_append_reply(c, from, *a);
    else if (const auto* s = std::get_if<snapshot_reply>(&m.content))
        internal::on_snapshot_reply(c, from, *s);
}

void on_event(context& c, message_received& e)
{
    auto& m = e.content;
    auto& state = c.state;
    if (e.from == state.self)
        return;
    if (const auto* i = std::get_if<disk_announcement>(&m.content)) {
        internal::on_disk_announcement(c, e.from, m.sender, *i);
        return;
    }
    const auto* append = std::get_if<append_request>(&m.content);
    const auto* chunk = std::get_if<snapshot_chunk>(&m.content);
    if (m.receiver != state.disk) {
        if (append != nullptr)
            internal::announce_disk_to(
                c, e.from, m.sender_term, append->sent_us);
        if (chunk != nullptr)
            internal::announce_disk_to(
                c, e.from, m.sender_term, chunk->sent_us);
        return;
    }
    if (const auto* r = std::get_if<vote_request>(&m.content)) {
        internal::on_vote_request(c, e.from, m, *r);
        return;
    }
    const bool from_leader = append != nullptr || chunk != nullptr ||
                             std::holds_alternative<timeout_now>(m.content);
    if (from_leader)
        on_leader_message(c, e.from, m);
    else
        on_reply(c, e.from, m);
}

void on_event(context& c, proposals& p)
{
    internal::on_proposals(c, std::move(p));
}

void on_event(context& c, const read_requested& r)
{
    internal::on_read(c, r);
}

void on_event(context& c, const member_added& e)
{
    internal::on_member_added(c, e);
}

void on_event(context& c, const member_removed& e)
{
    internal::on_member_removed(c, e);
}

void on_event(context& c, const persisted& p)
{
    auto& state = c.state;
    state.persisted_sequence =
        std::max(state.persisted_sequence, p.write_sequence);
    const auto durable_before = state.durable;
    while (!state.pending_writes.empty() &&
           state.pending_writes.front().first <= p.write_sequence) {
        state.durable =
            std::max(state.durable, state.pending_writes.front().second);
        state.pending_writes.pop_front();
    }
    std::vector<held_message> still_held;
    for (auto& h : state.held_messages) {
        if (h.write_sequence > p.write_sequence)
            still_held.push_back(std::move(h));
        else if (h.current_term == state.vote.current_term)
            c.actions.emplace_back(std::move(h.content));
    }
    state.held_messages = std::move(still_held);
    internal::count_own_vote(c);
    internal::advance_commit(c);
    if (state.durable != durable_before)
        internal::report_durable(c);
}

void on_event(context& c, snapshot_taken& s)
{
    internal::on_snapshot_taken(c, std::move(s));
}

void on_event(context& c, transfer_requested)
{
    internal::on_transfer(c);
}

void on_event(context& c, const disk_state& e)
{
    c.state.disk_refuses_writes = e.refuses_writes;
}

} // namespace

node_state make_state(setup options, base::time_point now)
{
    node_state state;
    state.self = std::move(options.self);
    state.disk = options.disk;
    state.times = options.times;
    state.bounds = options.bounds;
    state.random = base::random_source(options.seed);
    state.initial = std::move(options.initial);
    state.waits_for_invitation = options.waits_for_invitation;
    state.vote = std::move(options.vote);
    state.log.memberships.push_back({});
    if (options.snapshot) {
        const auto& s = *options.snapshot;
        reset(state.log, s.last, s.last_term, s.members);
        state.committed = s.last;
        state.applied = s.last;
        state.snapshot = std::move(options.snapshot);
    }
    for (auto& e : options.entries)
        append(state.log, std::move(e));
    // After a crash between the writes of log and vote, the log may hold a
    // higher term than the vote.
    if (last_term(state.log) > state.vote.current_term)
        state.vote = {last_term(state.log), {}};
    state.durable = last_index(state.log);
    state.leader_match_index = state.committed;
    state.known_disks[state.self] = state.disk;
    state.refuse_votes_until = now + state.times.election_timeout_min;
    std::vector<action> no_actions;
    context c{state, now, no_actions};
    internal::reset_election_timer(c);
    return state;
}

std::vector<action> step(node_state& state, event what, base::time_point now)
{
    std::vector<action> actions;
    context c{state, now, actions};
    const auto status_before =
        std::make_tuple(state.role, state.vote.current_term, state.leader);
    const auto leader_before = state.leader;
    std::visit([&](auto& e) { on_event(c, e); }, what);
    internal::answer_reads(c);
    if (state.leader != leader_before && state.leader != vm_id{})
        ++state.counts.leader_changes;
    if (status_before !=
        std::make_tuple(state.role, state.vote.current_term, state.leader))
        actions.emplace_back(
            role_changed{state.role, state.vote.current_term, state.leader});
    return actions;
}

} // namespace oleanderhinge::consensus
