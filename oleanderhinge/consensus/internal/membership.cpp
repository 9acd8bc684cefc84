#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

bool has_formed(const node_state& state)
{
    return !members_of(state).empty();
}

// One change at a time: the one before is committed, and so is an entry of the
// own term, without which two leaders could change the same membership.
bool may_change(const node_state& state)
{
    return state.role == role::leader &&
           state.committed >= state.leading.opened &&
           membership_index(state.log) <= state.committed &&
           !state.leading.transfer_until;
}

void change(context& c, const membership& members)
{
    std::vector<std::pair<entry_kind, std::string>> payloads;
    payloads.emplace_back(entry_kind::membership, encode_membership(members));
    append_as_leader(c, std::move(payloads));
}

// The answer to a message of this leader, sent within one lease. A copy of an
// older introduction must not bring back a disk that is gone.
bool is_fresh_answer(const context& c, const introduction& m)
{
    const base::time_point sent{base::duration(m.echo_sent_us)};
    return m.echo_term == c.state.vote.current && sent <= c.now &&
           c.now < sent + c.state.times.lease;
}

// Another disk under a known name becomes a learner, and votes again once it
// has caught up.
void readmit(context& c, const vm_id& vm, incarnation disk)
{
    auto members = members_of(c.state);
    for (auto& m : members) {
        if (m.vm != vm || m.disk == disk)
            continue;
        if (m.disk != incarnation{})
            ++c.state.counts.readmissions;
        m.promote = m.promote || m.voter;
        m.voter = false;
        m.disk = disk;
        change(c, members);
        return;
    }
}

introduction describe(const context& c)
{
    introduction m;
    m.known = c.state.known;
    m.formed = membership_index(c.state.log) != log_index{};
    return m;
}

void introduce_to_all(context& c)
{
    for (const auto& m : c.state.initial) {
        if (m.vm != c.state.self)
            send_to(c, m.vm, {}, describe(c));
    }
}

} // namespace

void introduce_to(
    context& c, const vm_id& to, term echo_term, std::int64_t echo_sent_us)
{
    auto m = describe(c);
    m.echo_term = echo_term;
    m.echo_sent_us = echo_sent_us;
    send_to(c, to, {}, m);
}

void on_introduction(
    context& c, const vm_id& from, incarnation disk, const introduction& m)
{
    auto& state = c.state;
    if (may_change(state) && is_fresh_answer(c, m))
        readmit(c, from, disk);
    if (has_formed(state) || find_member(state.initial, from) == nullptr)
        return;
    state.known[from] = disk;
    if (m.formed)
        state.reported.erase(from);
    else
        state.reported[from] = m.known;
    form_cluster(c);
}

void form_cluster(context& c)
{
    auto& state = c.state;
    if (has_formed(state) || state.log.base != log_index{} ||
        find_member(state.initial, state.self) == nullptr ||
        state.known.size() != state.initial.size())
        return;
    for (const auto& m : state.initial) {
        const auto report = state.reported.find(m.vm);
        if (m.vm != state.self &&
            (report == state.reported.end() || report->second != state.known))
            return;
    }
    auto members = state.initial;
    for (auto& m : members) {
        m.disk = state.known[m.vm];
        m.voter = true;
        m.promote = false;
    }
    state.log.memberships.front().members = std::move(members);
    reset_election(c);
    introduce_to_all(c);
}

void introduction_tick(context& c)
{
    auto& state = c.state;
    if (membership_index(state.log) != log_index{} ||
        c.now < state.next_introduction)
        return;
    state.next_introduction = c.now + state.times.election_min / 4;
    form_cluster(c);
    introduce_to_all(c);
}

void on_member_added(context& c, const member_added& e)
{
    auto& state = c.state;
    if (state.role != role::leader || !may_change(state)) {
        const auto reason = state.role == role::leader
                                ? reject_reason::busy
                                : reject_reason::not_leader;
        c.actions.emplace_back(rejected{e.tag, reason});
        return;
    }
    auto members = members_of(state);
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const member& m) {
            return m.vm == e.added.vm;
        });
    if (found == members.end()) {
        auto added = e.added;
        added.disk = {};
        added.promote = added.voter;
        added.voter = false;
        members.push_back(std::move(added));
    } else {
        found->link = e.added.link;
        found->admin = e.added.admin;
        found->promote = !found->voter && e.added.voter;
    }
    c.actions.emplace_back(
        accepted{e.tag, last_index(state.log).next(), state.vote.current});
    change(c, members);
}

void on_member_removed(context& c, const member_removed& e)
{
    auto& state = c.state;
    auto members = members_of(state);
    const auto refuse = [&](reject_reason reason) {
        c.actions.emplace_back(rejected{e.tag, reason});
    };
    if (state.role != role::leader)
        return refuse(reject_reason::not_leader);
    if (!may_change(state))
        return refuse(reject_reason::busy);
    if (std::erase_if(
            members, [&](const member& m) { return m.vm == e.removed; }) == 0)
        return refuse(reject_reason::unknown_member);
    const bool has_voter =
        std::any_of(members.begin(), members.end(), [](const member& m) {
            return m.voter;
        });
    // Without a voter nothing could ever be committed again.
    if (!has_voter)
        return refuse(reject_reason::unknown_member);
    c.actions.emplace_back(
        accepted{e.tag, last_index(state.log).next(), state.vote.current});
    change(c, members);
}

void promote_learners(context& c)
{
    auto& state = c.state;
    if (!may_change(state))
        return;
    auto members = members_of(state);
    for (auto& m : members) {
        const auto peer = state.leading.peers.find(m.vm);
        if (m.voter || !m.promote || peer == state.leading.peers.end())
            continue;
        const auto& p = peer->second;
        const bool is_current =
            p.match >= state.leading.opened &&
            p.match.value() + state.bounds.promotion_distance >=
                last_index(state.log).value();
        const bool is_alive =
            p.acknowledged && c.now < *p.acknowledged + state.times.lease;
        if (!is_current || !is_alive)
            continue;
        m.voter = true;
        m.promote = false;
        change(c, members);
        return;
    }
}

void refresh_peers(context& c)
{
    auto& state = c.state;
    auto& peers = state.leading.peers;
    const auto& members = members_of(state);
    std::erase_if(peers, [&](const auto& item) {
        const auto* m = find_member(members, item.first);
        return m == nullptr || m->disk != item.second.disk;
    });
    for (const auto& m : members) {
        if (m.vm == state.self || peers.contains(m.vm))
            continue;
        progress p;
        p.disk = m.disk;
        p.next = last_index(state.log).next();
        peers.emplace(m.vm, std::move(p));
    }
}

} // namespace oleanderhinge::consensus::internal
