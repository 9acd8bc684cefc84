// Read-only functions on the state of a member.
//
// Example:
//   if (holds_lease(state, now)) serve_read();
#pragma once

#include "oleanderhinge/consensus/node_state.hpp"

namespace oleanderhinge::consensus
{

// The members in force: the newest membership in the log, committed or not.
const membership& members_of(const node_state& state);
// Null if `vm` is not in `members`.
const member* find_member(const membership& members, const vm_id& vm);

// True if the membership holds this VM with its current disk.
bool is_admitted(const node_state& state);
// True if it holds them as a voter.
bool is_voter(const node_state& state);

std::size_t voter_count(const membership& members);
// Number of voters in a majority.
std::size_t quorum_size(const membership& members);

// The latest send time whose messages a quorum has acknowledged in the leader's
// term, if the leader's own copy counts as `own`. Empty if there is none.
std::optional<base::time_point>
acknowledged_by_quorum(const node_state& state, base::time_point own);

// Start of the leader's lease: the latest send time whose messages a quorum has
// acknowledged in the leader's term. Empty if there is none, and on a member
// that does not lead.
std::optional<base::time_point>
lease_start(const node_state& state, base::time_point now);

// True on a leader whose lease has not expired, which means that no other
// leader can have been elected.
bool holds_lease(const node_state& state, base::time_point now);

// True on a leader that holds its lease, and on a follower for as long as the
// lease that its leader last reported is in force.
bool has_quorum(const node_state& state, base::time_point now);

// True on a follower that has committed all that its leader had committed when
// it sent its last message, an entry of the leader's own term among it: until
// that one, a leader may not know of all that was committed before.
bool has_caught_up(const node_state& state);

// Time since the start of the leader's lease, as far as this member knows;
// empty if unknown.
std::optional<base::duration>
lease_age(const node_state& state, base::time_point now);

} // namespace oleanderhinge::consensus
