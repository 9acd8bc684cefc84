#include "oleanderhinge/consensus/internal/context.hpp"

#include <algorithm>

namespace oleanderhinge::consensus::internal
{

namespace
{

bool has_membership(const node_state& state)
{
    return !members_of(state).empty();
}

// Memberships change one at a time, so the last change must be committed. An
// entry of the current term must be committed as well; otherwise two leaders
// could change the same membership.
bool may_change_membership(const node_state& state)
{
    return state.role == role::leader &&
           state.committed >= state.leading.term_start_index &&
           membership_index(state.log) <= state.committed &&
           !state.leading.transfer_deadline;
}

void append_membership(context& c, const membership& members)
{
    std::vector<std::pair<entry_kind, std::string>> payloads;
    payloads.emplace_back(entry_kind::membership, encode_membership(members));
    append_as_leader(c, std::move(payloads));
}

// True if the announcement answers a message that this leader sent within the
// last lease duration. A delayed copy of an older one must not re-admit a disk
// that is lost by now.
bool is_fresh_announcement(const context& c, const disk_announcement& m)
{
    const base::time_point sent{base::duration(m.echo_sent_us)};
    return m.echo_term == c.state.vote.current_term &&
           sent <= c.state.leading.last_sent &&
           c.now < sent + c.state.times.lease_duration;
}

// Replaces the disk of a member. The new disk starts as a learner and becomes a
// voter, if the old one was, once it has caught up.
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
        append_membership(c, members);
        return;
    }
}

disk_announcement make_disk_announcement(const context& c)
{
    const auto& state = c.state;
    disk_announcement m;
    // A report of all disks is what the others wait for, so a member that waits
    // for an invitation gives it only after it has got theirs.
    if (state.waits_for_invitation && !has_membership(state))
        m.known_disks[state.self] = state.disk;
    else
        m.known_disks = state.known_disks;
    m.has_logged_membership = membership_index(state.log) != log_index{};
    return m;
}

void announce_disk_to_all(context& c)
{
    for (const auto& m : c.state.initial) {
        if (m.vm != c.state.self)
            send_to(c, m.vm, {}, make_disk_announcement(c));
    }
}

} // namespace

void announce_disk_to(
    context& c, const vm_id& to, term echo_term, std::int64_t echo_sent_us)
{
    auto m = make_disk_announcement(c);
    m.echo_term = echo_term;
    m.echo_sent_us = echo_sent_us;
    send_to(c, to, {}, m);
}

void on_disk_announcement(
    context& c, const vm_id& from, incarnation disk, const disk_announcement& m)
{
    auto& state = c.state;
    if (may_change_membership(state) && is_fresh_announcement(c, m))
        readmit(c, from, disk);
    if (has_membership(state) || find_member(state.initial, from) == nullptr)
        return;
    state.known_disks[from] = disk;
    if (m.has_logged_membership)
        state.reported_disks.erase(from);
    else
        state.reported_disks[from] = m.known_disks;
    form_cluster(c);
}

void form_cluster(context& c)
{
    auto& state = c.state;
    if (has_membership(state) || state.log.base != log_index{} ||
        find_member(state.initial, state.self) == nullptr ||
        state.known_disks.size() != state.initial.size())
        return;
    for (const auto& m : state.initial) {
        const auto report = state.reported_disks.find(m.vm);
        if (m.vm != state.self && (report == state.reported_disks.end() ||
                                   report->second != state.known_disks))
            return;
    }
    auto members = state.initial;
    for (auto& m : members) {
        m.disk = state.known_disks[m.vm];
        m.voter = true;
        m.promote = false;
    }
    state.log.memberships.front().members = std::move(members);
    reset_election_timer(c);
    announce_disk_to_all(c);
}

void announce_disk_if_due(context& c)
{
    auto& state = c.state;
    if (membership_index(state.log) != log_index{} ||
        c.now < state.next_announcement)
        return;
    state.next_announcement = c.now + state.times.election_timeout_min / 4;
    form_cluster(c);
    announce_disk_to_all(c);
}

void on_member_added(context& c, const member_added& e)
{
    auto& state = c.state;
    if (state.role != role::leader || !may_change_membership(state)) {
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
        accepted{e.tag, last_index(state.log).next(), state.vote.current_term});
    append_membership(c, members);
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
    if (!may_change_membership(state))
        return refuse(reject_reason::busy);
    if (std::erase_if(
            members, [&](const member& m) { return m.vm == e.removed; }) == 0)
        return refuse(reject_reason::unknown_member);
    const bool has_voter =
        std::any_of(members.begin(), members.end(), [](const member& m) {
            return m.voter;
        });
    // Without a voter, nothing could be committed any more.
    if (!has_voter)
        return refuse(reject_reason::unknown_member);
    c.actions.emplace_back(
        accepted{e.tag, last_index(state.log).next(), state.vote.current_term});
    const auto peer = state.leading.peers.find(e.removed);
    auto farewell = peer == state.leading.peers.end()
                        ? std::nullopt
                        : std::optional(peer->second);
    append_membership(c, members);
    // With this entry in its log, the removed member does not campaign.
    if (farewell)
        replicate(c, e.removed, *farewell, false);
}

void promote_learners(context& c)
{
    auto& state = c.state;
    if (!may_change_membership(state))
        return;
    auto members = members_of(state);
    for (auto& m : members) {
        const auto peer = state.leading.peers.find(m.vm);
        if (m.voter || !m.promote || peer == state.leading.peers.end())
            continue;
        const auto& p = peer->second;
        const bool has_caught_up =
            p.match >= state.leading.term_start_index &&
            p.match.value() + state.bounds.promotion_distance >=
                last_index(state.log).value();
        const bool is_alive =
            p.acknowledged_sent_at &&
            c.now < *p.acknowledged_sent_at + state.times.lease_duration;
        if (!has_caught_up || !is_alive)
            continue;
        m.voter = true;
        m.promote = false;
        append_membership(c, members);
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
