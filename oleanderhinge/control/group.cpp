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

bool is_current(const group_news& news, base::time_point now)
{
    return !news.links.empty() && now < news.heard + news_lifetime;
}

void append_missing(
    std::vector<replica::member>& nodes,
    const std::vector<replica::member>& added)
{
    for (const auto& item : added)
        if (std::none_of(nodes.begin(), nodes.end(), [&](const auto& node) {
                return node.vm == item.vm;
            }))
            nodes.push_back(item);
}

std::size_t voters_of(const replica::log_status& status)
{
    return std::size_t(std::count_if(
        status.members.begin(), status.members.end(), [](const auto& item) {
            return item.voter;
        }));
}

// The learner that was added last or, if there is none, the voter, but not the
// leader.
std::optional<base::vm_id> last_added(const replica::log_status& status)
{
    const base::vm_id* found = nullptr;
    bool found_voter = true;
    for (const auto& item : status.members) {
        if (item.vm == status.leader || (item.voter && !found_voter))
            continue;
        found = &item.vm;
        found_voter = item.voter;
    }
    return found == nullptr ? std::nullopt : std::optional(*found);
}

} // namespace

bool contains(const std::vector<wire::endpoint>& links, const base::vm_id& vm)
{
    return std::any_of(links.begin(), links.end(), [&](const auto& item) {
        return item.address == vm.value();
    });
}

std::size_t needed_members(std::uint32_t tolerated_losses)
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
    if (!reach.unreachable_since.empty())
        reach.complete_since.reset();
    else if (!reach.complete_since)
        reach.complete_since = now;
}

void note_group(
    group_news& news,
    const std::vector<wire::endpoint>& links,
    const base::vm_id& sender,
    base::time_point now)
{
    const bool from_member = contains(links, sender);
    if (links.empty() ||
        (!from_member && news.from_member && is_current(news, now)))
        return;
    news = {links, now, from_member};
}

bool is_excluded(
    const group_news& news, const base::vm_id& self, base::time_point now)
{
    return news.from_member && is_current(news, now) &&
           !contains(news.links, self);
}

std::vector<wire::endpoint>
list_to_relay(const group_news& news, base::time_point now)
{
    if (!news.from_member || !is_current(news, now))
        return {};
    return news.links;
}

bool asks_for_admission(
    const replica::log_status& status,
    const group_news& news,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now)
{
    if (find(status, self) == nullptr)
        return true;
    return !status.has_quorum &&
           (now >= without_leader_since + admission_wait ||
            is_excluded(news, self, now));
}

std::vector<replica::member> nodes_to_link(
    const replica::log_status& status,
    const group_news& news,
    const std::vector<replica::member>& seeds,
    const base::vm_id& self,
    base::time_point without_leader_since,
    base::time_point now)
{
    auto nodes = status.members;
    bool with_seeds =
        status.role == replica::member_role::leader ||
        (!status.has_quorum && now >= without_leader_since + admission_wait);
    if (!status.has_quorum &&
        (find(status, self) == nullptr || is_excluded(news, self, now))) {
        if (!news.links.empty())
            nodes.clear();
        for (const auto& link : news.links)
            nodes.push_back({base::vm_id{link.address}, link, {}, true});
        with_seeds = nodes.empty() || (with_seeds && !is_current(news, now));
    }
    if (with_seeds)
        append_missing(nodes, seeds);
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

bool should_add(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t needed,
    const base::vm_id& asking)
{
    if (status.role != replica::member_role::leader || !status.has_quorum ||
        find(status, asking) != nullptr)
        return false;
    const auto reachable = std::count_if(
        status.members.begin(), status.members.end(), [&](const auto& item) {
            return !reach.unreachable_since.contains(item.vm);
        });
    return std::size_t(reachable) < needed + spare_members;
}

std::optional<base::vm_id> member_to_remove(
    const member_reach& reach,
    const replica::log_status& status,
    std::size_t needed,
    base::time_point now)
{
    if (status.role != replica::member_role::leader || !status.has_quorum)
        return std::nullopt;
    // A learner has no vote that the group could miss. If it is only
    // restarting, it asks to be admitted again.
    if (auto learner = longest_lost(reach, status, false, now))
        return learner;
    if (status.members.size() > needed + spare_members &&
        reach.complete_since && now >= *reach.complete_since + surplus_wait)
        return last_added(status);
    // While there is a learner, the group would lose a voter before it gains
    // one.
    const bool all_vote = std::all_of(
        status.members.begin(), status.members.end(), [](const auto& item) {
            return item.voter;
        });
    if (!all_vote || status.members.size() <= needed)
        return std::nullopt;
    return longest_lost(reach, status, true, now);
}

std::size_t losses_borne(const replica::log_status& status)
{
    const auto voters = voters_of(status);
    return voters == 0 ? 0 : (voters - 1) / 2;
}

std::size_t
voters_missing(const replica::log_status& status, std::size_t needed)
{
    const auto voters = voters_of(status);
    return voters < needed ? needed - voters : 0;
}

} // namespace oleanderhinge::control
