// Decides membership changes of the control group when machines are replaced.
//
// A node that is not a member, or that has had no leader for
// `admission_wait`, asks to be admitted. The leader adds it as a learner, which
// becomes a voter once it has caught up. The leader then removes the voter
// that has been unreachable for longest, as long as the group has more members
// than it should have. A learner that is lost before it votes is removed in any
// case. One membership change is in progress at a time.
//
// Example:
//   if (asks_for_admission(watch, status, now)) send(join_request);
//   if (auto vm = member_to_remove(reach, status, now)) log.remove_member(*vm);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace oleanderhinge::control
{

// Members that the group needs to keep a majority when `tolerated_losses`
// members fail at once; at least 3.
std::size_t wanted_members(std::uint32_t tolerated_losses);

// A member without a link for this long may be removed. Longer than a restart,
// and shorter than the 4 s in which a replacement should become a voter.
inline constexpr base::duration unreachable_timeout =
    std::chrono::milliseconds(2500);
// Time without a leader after which a member asks again to be admitted. Longer
// than two election timeouts of 2 s.
inline constexpr base::duration admission_wait = std::chrono::seconds(5);
// Time between two requests of a node to be admitted.
inline constexpr base::duration admission_interval = std::chrono::seconds(1);

// Reachability of the other members, as this node sees it.
struct member_reach {
    // Time since which there is no link to a member; no entry while there is
    // one.
    std::map<base::vm_id, base::time_point> unreachable_since;
};

// Updates `reach` with the members that have a link at `now`, and drops the
// nodes that are not members any more.
void observe_links(
    member_reach& reach,
    const replica::log_status& status,
    const base::vm_id& self,
    const std::function<bool(const base::vm_id&)>& has_link,
    base::time_point now);

// Returns true if this node is not a member, or has had no quorum since
// `without_leader_since` and for at least `admission_wait`.
bool asks_for_admission(
    const replica::log_status& status,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now);

// Returns the nodes to have links to: the members, or the seeds while the log
// contains none. If this node is a member and has had no quorum since
// `without_leader_since` and for at least `admission_wait`, both: all members
// that it knows may have been replaced.
std::vector<replica::member> nodes_to_link(
    const replica::log_status& status,
    const std::vector<replica::member>& seeds,
    base::time_point without_leader_since,
    base::time_point now);

// Returns true if nobody would learn what is reported to this node: it has had
// neither a link nor a quorum for `unreachable_timeout`.
bool is_isolated(
    const replica::log_status& status,
    base::time_point without_links_since,
    base::time_point now);

// Returns true if this node leads with a quorum and `asking` is not a member.
bool should_add(const replica::log_status& status, const base::vm_id& asking);

// Returns the member to remove, if this node leads with a quorum: the learner
// that has been unreachable for longest or, if there is none, the voter, but
// only if all others are voters and the group has more than `wanted` members.
// Members count as unreachable after `unreachable_timeout`.
std::optional<base::vm_id> member_to_remove(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t wanted,
    base::time_point now);

} // namespace oleanderhinge::control
