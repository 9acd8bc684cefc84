#include "oleanderhinge/control/group.hpp"

#include <algorithm>

namespace oleanderhinge::control
{

namespace
{

const replica::member*
find(const replica::log_status& status, const base::vm_id& vm)
{
    const auto found = std::find_if(
        status.members.begin(), status.members.end(), [&](const auto& item) {
            return item.vm == vm;
        });
    return found == status.members.end() ? nullptr : &*found;
}

// The voter, or else the learner, that has been unreachable for longest.
std::optional<base::vm_id> longest_lost(
    const member_reach& reach,
    const replica::log_status& status,
    bool voter,
    base::time_point now)
{
    const base::vm_id* found = nullptr;
    auto since = now - unreachable_timeout;
    for (const auto& item : status.members) {
        const auto lost = reach.unreachable_since.find(item.vm);
        if (item.voter != voter || lost == reach.unreachable_since.end() ||
            lost->second > since)
            continue;
        found = &item.vm;
        since = lost->second;
    }
    return found == nullptr ? std::nullopt : std::optional(*found);
}

} // namespace

std::size_t wanted_members(std::uint32_t tolerated_losses)
{
    // A group of fewer than three has no majority after the loss of a member.
    constexpr std::size_t min_members = 3;
    return std::max(min_members, 2 * std::size_t(tolerated_losses) + 1);
}

void observe_links(
    member_reach& reach,
    const replica::log_status& status,
    const base::vm_id& self,
    const std::function<bool(const base::vm_id&)>& has_link,
    base::time_point now)
{
    std::erase_if(reach.unreachable_since, [&](const auto& item) {
        return find(status, item.first) == nullptr;
    });
    for (const auto& item : status.members) {
        if (item.vm == self || has_link(item.vm))
            reach.unreachable_since.erase(item.vm);
        else
            reach.unreachable_since.try_emplace(item.vm, now);
    }
}

bool asks_for_admission(
    const replica::log_status& status,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now)
{
    if (find(status, self) == nullptr)
        return true;
    return !status.has_quorum && now >= without_leader_since + admission_wait;
}

std::vector<replica::member> nodes_to_link(
    const replica::log_status& status,
    const std::vector<replica::member>& seeds,
    base::time_point without_leader_since,
    base::time_point now)
{
    if (status.members.empty())
        return seeds;
    auto nodes = status.members;
    if (!status.has_quorum && now >= without_leader_since + admission_wait)
        for (const auto& seed : seeds)
            if (find(status, seed.vm) == nullptr)
                nodes.push_back(seed);
    return nodes;
}

bool is_isolated(
    const replica::log_status& status,
    base::time_point without_links_since,
    base::time_point now)
{
    return !status.has_quorum &&
           now >= without_links_since + unreachable_timeout;
}

bool should_add(const replica::log_status& status, const base::vm_id& asking)
{
    return status.role == replica::member_role::leader && status.has_quorum &&
           find(status, asking) == nullptr;
}

std::optional<base::vm_id> member_to_remove(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t wanted,
    base::time_point now)
{
    if (status.role != replica::member_role::leader || !status.has_quorum)
        return std::nullopt;
    // A learner has no vote that the group could miss. If it is only
    // restarting, it asks to be admitted again.
    if (auto learner = longest_lost(reach, status, false, now))
        return learner;
    // While there is a learner, the group would lose a voter before it gains
    // one.
    const bool all_vote = std::all_of(
        status.members.begin(), status.members.end(), [](const auto& item) {
            return item.voter;
        });
    if (!all_vote || status.members.size() <= wanted)
        return std::nullopt;
    return longest_lost(reach, status, true, now);
}

} // namespace oleanderhinge::control
