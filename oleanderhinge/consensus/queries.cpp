#include "oleanderhinge/consensus/queries.hpp"

#include <algorithm>

namespace oleanderhinge::consensus
{

const membership& members_of(const node_state& state)
{
    return current_membership(state.log);
}

const member* find_member(const membership& members, const vm_id& vm)
{
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const member& m) {
            return m.vm == vm;
        });
    return found == members.end() ? nullptr : &*found;
}

bool is_admitted(const node_state& state)
{
    const auto* self = find_member(members_of(state), state.self);
    return self != nullptr && self->disk == state.disk;
}

bool is_voter(const node_state& state)
{
    const auto* self = find_member(members_of(state), state.self);
    return self != nullptr && self->disk == state.disk && self->voter;
}

std::size_t voter_count(const membership& members)
{
    return std::size_t(
        std::count_if(members.begin(), members.end(), [](const member& m) {
            return m.voter;
        }));
}

std::size_t quorum_size(const membership& members)
{
    return voter_count(members) / 2 + 1;
}

std::optional<base::time_point>
acknowledged_by_quorum(const node_state& state, base::time_point own)
{
    std::vector<base::time_point> confirmed;
    for (const auto& m : members_of(state)) {
        if (!m.voter)
            continue;
        if (m.vm == state.self) {
            confirmed.push_back(own);
            continue;
        }
        const auto peer = state.leading.peers.find(m.vm);
        if (peer != state.leading.peers.end() &&
            peer->second.acknowledged_sent_at)
            confirmed.push_back(*peer->second.acknowledged_sent_at);
    }
    const auto needed = quorum_size(members_of(state));
    if (confirmed.size() < needed)
        return std::nullopt;
    std::sort(confirmed.rbegin(), confirmed.rend());
    return confirmed[needed - 1];
}

std::optional<base::time_point>
lease_start(const node_state& state, base::time_point now)
{
    if (state.role != role::leader)
        return std::nullopt;
    return acknowledged_by_quorum(state, now);
}

bool holds_lease(const node_state& state, base::time_point now)
{
    const auto start = lease_start(state, now);
    return start && now < *start + state.times.lease_duration;
}

std::optional<base::duration>
lease_age(const node_state& state, base::time_point now)
{
    if (state.role == role::leader) {
        const auto start = lease_start(state, now);
        if (!start)
            return std::nullopt;
        // A read may have moved the send times a little ahead of the clock.
        return std::max(base::duration(0), now - *start);
    }
    if (!state.last_leader_contact)
        return std::nullopt;
    return state.leader_lease_age + (now - *state.last_leader_contact);
}

bool has_caught_up(const node_state& state)
{
    return state.role == role::follower && state.leader_committed &&
           state.committed >= *state.leader_committed &&
           term_at(state.log, state.committed) == state.vote.current_term;
}

bool has_quorum(const node_state& state, base::time_point now)
{
    const auto age = lease_age(state, now);
    return age && *age < state.times.lease_duration;
}

} // namespace oleanderhinge::consensus
