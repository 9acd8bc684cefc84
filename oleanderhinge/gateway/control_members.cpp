#include "oleanderhinge/gateway/control_members.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace
{

bool contains(
    const std::vector<wire::endpoint>& all, const wire::endpoint& address)
{
    return std::find(all.begin(), all.end(), address) != all.end();
}

void add_seeds(control_members& members)
{
    for (const auto& seed : members.seeds)
        members.known.try_emplace(seed);
}

template <class Predicate>
std::vector<forgotten_node>
forget(control_members& members, Predicate&& is_obsolete)
{
    std::vector<forgotten_node> forgotten;
    std::erase_if(members.known, [&](const auto& item) {
        const auto& [address, node] = item;
        if (!is_obsolete(address, node))
            return false;
        forgotten.push_back({address, node.link});
        return true;
    });
    return forgotten;
}

// For a constant map or not; null if no node has the link.
template <class Nodes>
auto* find_link(Nodes& known, net::link_id link)
{
    const auto found =
        std::find_if(known.begin(), known.end(), [link](const auto& item) {
            return item.second.link == link;
        });
    return found == known.end() ? nullptr : &*found;
}

} // namespace

std::vector<forgotten_node>
set_seeds(control_members& members, std::vector<wire::endpoint> seeds)
{
    const auto before = std::exchange(members.seeds, std::move(seeds));
    add_seeds(members);
    return forget(members, [&](const auto& address, const auto& node) {
        return !node.listed && contains(before, address) &&
               !contains(members.seeds, address);
    });
}

std::vector<forgotten_node> note_group(
    control_members& members,
    const std::vector<wire::endpoint>& list,
    base::time_point now)
{
    if (list.empty())
        return {};
    members.last_list = now;
    for (const auto& address : list)
        members.known[address].listed = true;
    for (auto& [address, node] : members.known) {
        if (contains(list, address))
            node.unlisted_since.reset();
        else if (!node.unlisted_since)
            node.unlisted_since = now;
    }
    return forget(members, [&](const auto&, const auto& node) {
        return !node.open && node.unlisted_since &&
               now >= *node.unlisted_since + forget_after;
    });
}

std::vector<wire::endpoint> due(control_members& members, base::time_point now)
{
    if (is_silent(members, group_silence_limit, now))
        add_seeds(members);
    std::vector<wire::endpoint> found;
    for (const auto& [address, node] : members.known)
        if (!node.link && now >= node.next_connect)
            found.push_back(address);
    return found;
}

void connecting(
    control_members& members, const wire::endpoint& address, net::link_id link)
{
    auto& node = members.known[address];
    node.link = link;
    node.open = false;
}

void opened(control_members& members, net::link_id link)
{
    if (auto* found = find_link(members.known, link))
        found->second.open = true;
}

void closed(
    control_members& members, net::link_id link, base::time_point next_connect)
{
    auto* found = find_link(members.known, link);
    if (found == nullptr)
        return;
    auto& node = found->second;
    node.link.reset();
    node.open = false;
    node.next_connect = next_connect;
}

const std::pair<const wire::endpoint, control_member>*
find(const control_members& members, net::link_id link)
{
    return find_link(members.known, link);
}

bool is_silent(
    const control_members& members, base::duration limit, base::time_point now)
{
    return !members.last_list || now >= *members.last_list + limit;
}

} // namespace oleanderhinge::gateway
