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

// True while a leader may hold a lease: the own one on a leader, else one that
// this member acknowledged.
bool must_refuse_vote(const context& c)
{
    if (c.state.role != role::leader)
        return c.now < c.state.refuse_votes_until;
    const auto confirmed = lease_start(c.state, c.now);
    const auto lease_from = std::max(
        confirmed.value_or(c.state.leading.elected_at),
        c.state.leading.elected_at);
    return c.now < lease_from + c.state.times.lease_duration;
}

void request_votes(context& c, bool transfer)
{
    const auto& state = c.state;
    const bool pre_vote = state.campaign.pre_vote;
    vote_request r;
    r.for_term =
        pre_vote ? state.vote.current_term.next() : state.vote.current_term;
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
            send_after_persist(c, state.vote_write_sequence, m.vm, m.disk, r);
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

// Sets the time of the next attempt in case this one finds no majority. A
// pre-vote is repeated after one to two heartbeat intervals: it is often
// refused only because a voter heard the old leader a little later, and
// repeating it changes no term. A vote is repeated after half of the election
// timeout.
void set_campaign_deadline(context& c)
{
    const auto& times = c.state.times;
    auto shortest = times.heartbeat_interval;
    auto spread = times.heartbeat_interval;
    if (!c.state.campaign.pre_vote) {
        shortest = times.election_timeout_min / 2;
        spread = (times.election_timeout_max - times.election_timeout_min) / 2;
    }
    c.state.election_deadline =
        c.now + shortest +
        base::duration(c.state.random.below(std::uint64_t(spread.count()) + 1));
}

} // namespace

void reset_election_timer(context& c)
{
    const auto& times = c.state.times;
    const auto spread =
        (times.election_timeout_max - times.election_timeout_min).count();
    c.state.election_deadline =
        c.now + times.election_timeout_min +
        base::duration(c.state.random.below(std::uint64_t(spread) + 1));
}

void become_follower(context& c, const vm_id& leader, incarnation disk)
{
    auto& state = c.state;
    if (state.role == role::leader) {
        for (const auto& read : state.leading.pending_reads)
            c.actions.emplace_back(
                rejected{read.tag, reject_reason::not_leader});
        state.leading = {};
    }
    state.role = role::follower;
    state.campaign = {};
    state.leader = leader;
    state.leader_disk = disk;
    state.last_leader_contact.reset();
    state.leader_committed.reset();
    // Entries that are not committed may differ from the new leader's log.
    state.leader_match_index = state.committed;
    state.leader_sent_us = 0;
    state.incoming.reset();
    reset_election_timer(c);
}

void observe_term(context& c, term seen)
{
    if (seen <= c.state.vote.current_term)
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
    state.last_leader_contact.reset();
    state.campaign = {pre_vote, {}};
    set_campaign_deadline(c);
    if (pre_vote) {
        state.campaign.granted.insert(state.self);
        request_votes(c, false);
        check_majority(c);
        return;
    }
    ++state.counts.elections;
    state.vote = {state.vote.current_term.next(), state.self};
    write_vote(c);
    request_votes(c, transfer);
}

void count_own_vote(context& c)
{
    auto& state = c.state;
    if (state.role != role::candidate || state.campaign.pre_vote ||
        state.vote_write_sequence > state.persisted_sequence)
        return;
    if (state.campaign.granted.insert(state.self).second)
        check_majority(c);
}

void on_vote_request(
    context& c, const vm_id& from, const message& m, const vote_request& r)
{
    auto& state = c.state;
    vote_reply reply{r.for_term, r.pre_vote, false};
    if (must_refuse_vote(c) && !r.transfer) {
        // The term stays, so that a member that lost its connection to the
        // leader cannot depose it.
        if (r.pre_vote)
            send_to(c, from, m.sender, reply);
        return;
    }
    if (r.pre_vote) {
        reply.granted =
            r.for_term > state.vote.current_term && is_up_to_date(state, r);
        send_to(c, from, m.sender, reply);
        return;
    }
    observe_term(c, r.for_term);
    const bool may_vote_for_sender =
        state.vote.voted_for == vm_id{} || state.vote.voted_for == from;
    reply.granted = r.for_term == state.vote.current_term &&
                    state.role != role::leader && may_vote_for_sender &&
                    is_up_to_date(state, r);
    if (!reply.granted) {
        send_to(c, from, m.sender, reply);
        return;
    }
    if (state.vote.voted_for != from) {
        state.vote.voted_for = from;
        write_vote(c);
    }
    reset_election_timer(c);
    send_after_persist(c, state.vote_write_sequence, from, m.sender, reply);
}

void on_vote_reply(context& c, const vm_id& from, const vote_reply& r)
{
    auto& state = c.state;
    if (state.role != role::candidate ||
        r.pre_vote != state.campaign.pre_vote || !r.granted)
        return;
    const auto expected_term =
        r.pre_vote ? state.vote.current_term.next() : state.vote.current_term;
    const auto* voter = find_member(members_of(state), from);
    if (r.for_term != expected_term || voter == nullptr || !voter->voter)
        return;
    state.campaign.granted.insert(from);
    check_majority(c);
}

void on_timeout_now(context& c)
{
    if (c.state.role == role::follower && is_voter(c.state) &&
        !c.state.disk_refuses_writes)
        start_campaign(c, false, true);
}

} // namespace oleanderhinge::consensus::internal
