#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

bool is_up_to_date(const node_state& state, const vote_request& r)
{
    const auto own_term = last_term(state.log);
    if (r.last_term != own_term)
        return r.last_term > own_term;
    return r.last_index >= last_index(state.log);
}

// A leader may hold a lease that this member supported.
bool is_barred(const context& c)
{
    if (c.state.role != role::leader)
        return c.now < c.state.vote_barred_until;
    const auto proved = lease_start(c.state, c.now);
    const auto since =
        std::max(proved.value_or(c.state.leading.since), c.state.leading.since);
    return c.now < since + c.state.times.lease;
}

void request_votes(context& c, bool transfer)
{
    const auto& state = c.state;
    const bool pre_vote = state.campaign.pre_vote;
    vote_request r;
    r.for_term = pre_vote ? state.vote.current.next() : state.vote.current;
    r.last_index = last_index(state.log);
    r.last_term = last_term(state.log);
    r.pre_vote = pre_vote;
    r.transfer = transfer;
    for (const auto& m : members_of(state)) {
        if (!m.voter || m.vm == state.self)
            continue;
        if (pre_vote)
            send_to(c, m.vm, m.disk, r);
        else
            send_after(c, state.vote_ticket, m.vm, m.disk, r);
    }
}

void check_majority(context& c)
{
    auto& campaign = c.state.campaign;
    if (campaign.granted.size() < quorum_size(members_of(c.state)))
        return;
    if (campaign.pre_vote)
        start_campaign(c, false, false);
    else
        become_leader(c);
}

// Until the next attempt if this one finds no majority. A pre-vote is often
// refused because a voter heard the old leader a little later, and binds
// nobody, so it is repeated soon; a vote gets half of the usual timeout.
void set_retry(context& c)
{
    const auto& times = c.state.times;
    auto shortest = times.heartbeat;
    auto spread = times.heartbeat;
    if (!c.state.campaign.pre_vote) {
        shortest = times.election_min / 2;
        spread = (times.election_max - times.election_min) / 2;
    }
    c.state.election_deadline =
        c.now + shortest +
        base::duration(c.state.random.below(std::uint64_t(spread.count()) + 1));
}

} // namespace

void reset_election(context& c)
{
    const auto& times = c.state.times;
    const auto spread = (times.election_max - times.election_min).count();
    c.state.election_deadline =
        c.now + times.election_min +
        base::duration(c.state.random.below(std::uint64_t(spread) + 1));
}

void become_follower(context& c, const vm_id& leader, incarnation disk)
{
    auto& state = c.state;
    if (state.role == role::leader) {
        for (const auto tag : state.leading.reads)
            c.actions.emplace_back(rejected{tag, reject_reason::not_leader});
        state.leading = {};
    }
    state.role = role::follower;
    state.campaign = {};
    state.leader = leader;
    state.leader_disk = disk;
    state.leader_heard.reset();
    // The log may differ from that of the new leader.
    state.verified = state.committed;
    state.last_sent_us = 0;
    state.incoming.reset();
    reset_election(c);
}

void observe_term(context& c, term seen)
{
    if (seen <= c.state.vote.current)
        return;
    c.state.vote = {seen, {}};
    write_vote(c);
    become_follower(c, {}, {});
}

void start_campaign(context& c, bool pre_vote, bool transfer)
{
    auto& state = c.state;
    state.role = role::candidate;
    state.leader = {};
    state.leader_heard.reset();
    state.campaign = {pre_vote, {}};
    set_retry(c);
    if (pre_vote) {
        state.campaign.granted.insert(state.self);
        request_votes(c, false);
        check_majority(c);
        return;
    }
    ++state.counts.elections;
    state.vote = {state.vote.current.next(), state.self};
    write_vote(c);
    request_votes(c, transfer);
}

void count_own_vote(context& c)
{
    auto& state = c.state;
    if (state.role != role::candidate || state.campaign.pre_vote ||
        state.vote_ticket > state.persisted_ticket)
        return;
    if (state.campaign.granted.insert(state.self).second)
        check_majority(c);
}

void on_vote_request(
    context& c, const vm_id& from, const message& m, const vote_request& r)
{
    auto& state = c.state;
    vote_reply reply{r.for_term, r.pre_vote, false};
    if (is_barred(c) && !r.transfer) {
        // Without effect on the term, so that a member that lost contact to
        // the leader cannot depose it.
        if (r.pre_vote)
            send_to(c, from, m.sender, reply);
        return;
    }
    if (r.pre_vote) {
        reply.granted =
            r.for_term > state.vote.current && is_up_to_date(state, r);
        send_to(c, from, m.sender, reply);
        return;
    }
    observe_term(c, r.for_term);
    const bool is_free =
        state.vote.voted_for == vm_id{} || state.vote.voted_for == from;
    reply.granted = r.for_term == state.vote.current &&
                    state.role != role::leader && is_free &&
                    is_up_to_date(state, r);
    if (!reply.granted) {
        send_to(c, from, m.sender, reply);
        return;
    }
    if (state.vote.voted_for != from) {
        state.vote.voted_for = from;
        write_vote(c);
    }
    reset_election(c);
    send_after(c, state.vote_ticket, from, m.sender, reply);
}

void on_vote_reply(context& c, const vm_id& from, const vote_reply& r)
{
    auto& state = c.state;
    if (state.role != role::candidate ||
        r.pre_vote != state.campaign.pre_vote || !r.granted)
        return;
    const auto wanted =
        r.pre_vote ? state.vote.current.next() : state.vote.current;
    const auto* voter = find_member(members_of(state), from);
    if (r.for_term != wanted || voter == nullptr || !voter->voter)
        return;
    state.campaign.granted.insert(from);
    check_majority(c);
}

void on_timeout_now(context& c)
{
    if (c.state.role == role::follower && is_voter(c.state))
        start_campaign(c, false, true);
}

} // namespace oleanderhinge::consensus::internal
