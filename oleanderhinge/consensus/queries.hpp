// Queries on the state of a member.
#pragma once

#include "oleanderhinge/consensus/node_state.hpp"

namespace oleanderhinge::consensus
{

// The members in force: the newest membership in the log, committed or not.
const membership& members_of(const node_state& state);
// Null if `vm` is not a member.
const member* find_member(const membership& members, const vm_id& vm);

// True if the membership names this member with the disk that it has.
bool is_admitted(const node_state& state);
bool is_voter(const node_state& state);

std::size_t voter_count(const membership& members);
// Voters that a majority needs.
std::size_t quorum_size(const membership& members);

// Latest time at which a quorum had proved to follow this leader in its term;
// empty without such proof.
std::optional<base::time_point>
lease_start(const node_state& state, base::time_point now);

// True on a leader whose lease is in force: no other leader can have been
// elected.
bool holds_lease(const node_state& state, base::time_point now);

// True on a leader with its lease, and on a follower that heard from such a
// leader within the lease.
bool has_quorum(const node_state& state, base::time_point now);

// Time since the leader last proved its quorum, as known here; empty if
// unknown.
std::optional<base::duration>
lease_age(const node_state& state, base::time_point now);

} // namespace oleanderhinge::consensus
