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
    internal::introduction_tick(c);
    if (state.role == role::leader) {
        internal::lead_tick(c);
        return;
    }
    // The only voter need not wait for another leader.
    const bool is_alone = is_voter(state) && state.role == role::follower &&
                          voter_count(members_of(state)) == 1;
    if (c.now < state.election_deadline && !is_alone)
        return;
    if (is_voter(state)) {
        internal::start_campaign(c, true, false);
        return;
    }
    internal::become_follower(c, {}, {});
}

// Replies count only from the disk that the membership names.
bool is_from_member(const node_state& state, const vm_id& from, incarnation d)
{
    const auto* m = find_member(members_of(state), from);
    return m != nullptr && m->disk == d;
}

// A message of a leader with a lower term gets a refusal, which tells it the
// present term.
void refuse_old_leader(context& c, const vm_id& from, const message& m)
{
    internal::send_to(c, from, m.sender, append_reply{});
}

// True if the message belongs to the present term after the call.
bool is_of_present_term(context& c, term seen)
{
    internal::observe_term(c, seen);
    return seen == c.state.vote.current;
}

void on_leader_message(context& c, const vm_id& from, message& m)
{
    if (!is_of_present_term(c, m.sender_term)) {
        refuse_old_leader(c, from, m);
        return;
    }
    // Another leader of the same term cannot exist.
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
    const bool is_present = is_of_present_term(c, m.sender_term);
    const auto* v = std::get_if<vote_reply>(&m.content);
    // A pre-vote does not raise the term of the voter, which may be lower.
    if (!is_present && (v == nullptr || !v->pre_vote))
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
    if (const auto* i = std::get_if<introduction>(&m.content)) {
        internal::on_introduction(c, e.from, m.sender, *i);
        return;
    }
    const auto* append = std::get_if<append_request>(&m.content);
    const auto* chunk = std::get_if<snapshot_chunk>(&m.content);
    if (m.receiver != state.disk) {
        if (append != nullptr)
            internal::introduce_to(c, e.from, m.sender_term, append->sent_us);
        if (chunk != nullptr)
            internal::introduce_to(c, e.from, m.sender_term, chunk->sent_us);
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
    state.persisted_ticket = std::max(state.persisted_ticket, p.ticket);
    const auto before = state.durable;
    while (!state.tickets.empty() && state.tickets.front().first <= p.ticket) {
        state.durable = std::max(state.durable, state.tickets.front().second);
        state.tickets.pop_front();
    }
    std::vector<held_message> waiting;
    for (auto& h : state.held) {
        if (h.ticket > p.ticket)
            waiting.push_back(std::move(h));
        else if (h.current == state.vote.current)
            c.actions.emplace_back(std::move(h.content));
    }
    state.held = std::move(waiting);
    internal::count_own_vote(c);
    internal::advance_commit(c);
    if (state.durable != before)
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

} // namespace

node_state make_state(setup from, base::time_point now)
{
    node_state state;
    state.self = std::move(from.self);
    state.disk = from.disk;
    state.times = from.times;
    state.bounds = from.bounds;
    state.random = base::random_source(from.seed);
    state.initial = std::move(from.initial);
    state.vote = std::move(from.vote);
    state.log.memberships.push_back({});
    if (from.snapshot) {
        const auto& s = *from.snapshot;
        reset(state.log, s.last, s.last_term, s.members);
        state.committed = s.last;
        state.applied = s.last;
        state.snapshot = std::move(from.snapshot);
    }
    for (auto& e : from.entries)
        append(state.log, std::move(e));
    // A stop between the writes of log and vote leaves the vote behind.
    if (last_term(state.log) > state.vote.current)
        state.vote = {last_term(state.log), {}};
    state.durable = last_index(state.log);
    state.verified = state.committed;
    state.known[state.self] = state.disk;
    state.vote_barred_until = now + state.times.election_min;
    std::vector<action> none;
    context c{state, now, none};
    internal::reset_election(c);
    return state;
}

std::vector<action> step(node_state& state, event what, base::time_point now)
{
    std::vector<action> actions;
    context c{state, now, actions};
    const auto before =
        std::make_tuple(state.role, state.vote.current, state.leader);
    const auto leader_before = state.leader;
    std::visit([&](auto& e) { on_event(c, e); }, what);
    internal::answer_reads(c);
    if (state.leader != leader_before && state.leader != vm_id{})
        ++state.counts.leader_changes;
    if (before != std::make_tuple(state.role, state.vote.current, state.leader))
        actions.emplace_back(
            role_changed{state.role, state.vote.current, state.leader});
    return actions;
}

} // namespace oleanderhinge::consensus
