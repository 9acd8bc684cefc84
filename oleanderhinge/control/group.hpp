// Which control nodes belong to the group when machines are replaced.
//
// A node that is no member, or that hears no leader, asks to be admitted. The
// leader adds it as a learner, which votes once it has caught up, and then
// removes a member that has been unreachable, while more members are left than
// the group should have. One change is under way at a time.
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

namespace oleanderhinge::control
{

// Members that a group should have to bear the loss of so many of them at once.
std::size_t wanted_members(std::uint32_t tolerated_losses);

// A member is taken for lost after this time without a link. Longer than a
// restart, shorter than the 4 s in which a replacement should count.
inline constexpr base::duration lost_after = std::chrono::milliseconds(2500);
// Time without a leader after which a node asks again to be admitted. Above
// two election timeouts of 2 s.
inline constexpr base::duration admission_wait = std::chrono::seconds(5);
inline constexpr base::duration admission_interval = std::chrono::seconds(1);

struct member_reach {
    // When the link to a member was lost; absent while it is open.
    std::map<base::vm_id, base::time_point> unreachable_since;
};

// Notes which members have a link now.
void observe_links(
    member_reach& reach,
    const replica::log_status& status,
    const base::vm_id& self,
    const std::function<bool(const base::vm_id&)>& has_link,
    base::time_point now);

// True if this node should ask to be admitted.
bool asks_for_admission(
    const replica::log_status& status,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now);

// True if the leader should add `asking`: it is no member.
bool should_add(const replica::log_status& status, const base::vm_id& asking);

// The member that was lost first, if the others are voters and more than
// `wanted` members are there.
std::optional<base::vm_id> member_to_remove(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t wanted,
    base::time_point now);

} // namespace oleanderhinge::control
