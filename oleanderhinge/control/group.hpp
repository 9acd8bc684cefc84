// Decides membership changes of the control group when machines are replaced.
//
// A node that is not a member, or that has had no leader for
// `admission_wait`, asks to be admitted. The leader adds it as a learner, which
// becomes a voter once it has caught up, until the group has `spare_members`
// more than it needs. The leader then removes the voter that has been
// unreachable for longest, as long as the group has more members than it needs.
// A learner that is lost before it votes is removed in any case. One membership
// change is in progress at a time.
//
// A node that is not needed is a reserve: it learns the members from the lists
// that they send, relays what it is asked to them, and goes on asking.
//
// Example:
//   if (asks_for_admission(status, news, self, since, now)) send(join_request);
//   if (auto vm = member_to_remove(reach, status, needed, now))
//       log.remove_member(*vm);
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
std::size_t needed_members(std::uint32_t tolerated_losses);

// Members beyond those that the group needs. One more lets a replacement in
// before its predecessor is known to be lost, and leaves enough members after
// the removal of a lost one without a transfer to another node.
inline constexpr std::size_t spare_members = 1;

// A member without a link for this long may be removed. Longer than a restart,
// and shorter than the 4 s in which a replacement should become a voter.
inline constexpr base::duration unreachable_timeout =
    std::chrono::milliseconds(2500);
// Time without a leader after which a member asks again to be admitted. Longer
// than two election timeouts of 2 s.
inline constexpr base::duration admission_wait = std::chrono::seconds(5);
// Time between two requests of a node to be admitted.
inline constexpr base::duration admission_interval = std::chrono::seconds(1);
// All members must have been reachable for this long before one that is not
// needed is removed. Longer than the time between the restarts of a group in
// turn, so that these cause no changes.
inline constexpr base::duration surplus_wait = std::chrono::seconds(5);
// A list of the members counts as out of date after this time; members send one
// a second.
inline constexpr base::duration news_lifetime = std::chrono::seconds(3);

// Reachability of the other members, as this node sees it.
struct member_reach {
    // Time since which there is no link to a member; no entry while there is
    // one.
    std::map<base::vm_id, base::time_point> unreachable_since;
    // Time since which all members have been reachable; empty if one is not.
    std::optional<base::time_point> complete_since;
};

// The members as another node has last sent them. Nodes are named by their
// addresses.
struct group_news {
    std::vector<wire::endpoint> links;
    base::time_point heard;
    // A member has sent it, and not a reserve that relays it.
    bool from_member = false;
};

// Takes over the list that `sender` sends. An empty list comes from a node that
// does not know the group, and a relayed one does not replace a member's.
void note_group(
    group_news& news,
    const std::vector<wire::endpoint>& links,
    const base::vm_id& sender,
    base::time_point now);

// Returns true if a member has said lately that `self` is not a member.
bool is_excluded(
    const group_news& news, const base::vm_id& self, base::time_point now);

// Returns true if `links` has the node.
bool contains(const std::vector<wire::endpoint>& links, const base::vm_id& vm);

// Returns the list that a node without a quorum relays: the newest that a
// member has sent to it, or an empty one.
std::vector<wire::endpoint>
list_to_relay(const group_news& news, base::time_point now);

// Updates `reach` with the members that have a link at `now`, and drops the
// nodes that are not members any more.
void observe_links(
    member_reach& reach,
    const replica::log_status& status,
    const base::vm_id& self,
    const std::function<bool(const base::vm_id&)>& has_link,
    base::time_point now);

// Returns true if this node is not a member, also if only the members know
// that, or has had no quorum since `without_leader_since` and for at least
// `admission_wait`.
bool asks_for_admission(
    const replica::log_status& status,
    const group_news& news,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now);

// Returns the nodes to have links to: the members, or the seeds while the log
// contains none. If this node is a member and has had no quorum since
// `without_leader_since` and for at least `admission_wait`, both: all members
// that it knows may have been replaced. A leader always has links to both,
// since nodes may know only seeds that are not members and learn from them who
// is. A reserve links to the members that it has been sent, and to the seeds
// too once these are out of date.
std::vector<replica::member> nodes_to_link(
    const replica::log_status& status,
    const group_news& news,
    const std::vector<replica::member>& seeds,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now);

// Returns true if nobody would learn what is reported to this node: it has had
// neither a link nor a quorum for `unreachable_timeout`.
bool is_isolated(
    const replica::log_status& status,
    base::time_point without_links_since,
    base::time_point now);

// Returns true if this node leads with a quorum, `asking` is not a member, and
// fewer members are reachable than `needed` and the spare ones.
bool should_add(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t needed,
    const base::vm_id& asking);

// Returns the member to remove, if this node leads with a quorum: the learner
// that has been unreachable for longest or, if there is none, the voter, but
// only if all others are voters and the group has more than `needed` members.
// Members count as unreachable after `unreachable_timeout`. If all members have
// been reachable for `surplus_wait` and there are more than `needed` and the
// spare ones, returns the learner, else the voter that was added last, but not
// this node.
std::optional<base::vm_id> member_to_remove(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t needed,
    base::time_point now);

// Number of voters that may be lost at once while the others keep a majority.
std::size_t losses_borne(const replica::log_status& status);

// Number of voters that the group lacks to have `needed` ones.
std::size_t
voters_missing(const replica::log_status& status, std::size_t needed);

} // namespace oleanderhinge::control
