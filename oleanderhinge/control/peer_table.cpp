#include "oleanderhinge/control/peer_table.hpp"

#include <algorithm>

namespace oleanderhinge::control
{

namespace
{

constexpr std::uint32_t max_doublings = 5;

auto find_link(peer_table& table, net::link_id link)
{
    return std::find_if(
        table.peers.begin(), table.peers.end(), [link](const auto& entry) {
            return entry.second.link == link;
        });
}

bool is_member(
    const std::vector<replica::member>& members, const base::vm_id& vm)
{
    return std::any_of(members.begin(), members.end(), [&](const auto& item) {
        return item.vm == vm;
    });
}

} // namespace

std::vector<replica::member>
due(peer_table& table,
    const std::vector<replica::member>& members,
    base::time_point now,
    std::vector<net::link_id>& dropped)
{
    std::erase_if(table.peers, [&](const auto& entry) {
        const bool gone = !is_member(members, entry.first);
        if (gone && entry.second.link)
            dropped.push_back(*entry.second.link);
        return gone;
    });
    std::vector<replica::member> found;
    for (const auto& item : members) {
        if (item.vm == table.self || item.link.port == 0)
            continue;
        const auto& known = table.peers[item.vm];
        if (!known.link && known.next_attempt <= now)
            found.push_back(item);
    }
    return found;
}

void connecting(peer_table& table, const base::vm_id& vm, net::link_id link)
{
    auto& known = table.peers[vm];
    known.link = link;
    known.open = false;
}

bool opened(peer_table& table, net::link_id link, const base::vm_id& vm)
{
    const auto found = find_link(table, link);
    // A link that the other node has opened is not in the table.
    if (found == table.peers.end())
        return true;
    if (found->first != vm)
        return false;
    found->second.open = true;
    found->second.failures = 0;
    return true;
}

void closed(
    peer_table& table,
    net::link_id link,
    base::time_point now,
    base::random_source& random)
{
    const auto found = find_link(table, link);
    if (found == table.peers.end())
        return;
    auto& known = found->second;
    const auto doublings = std::min(known.failures, max_doublings);
    const auto wait =
        std::min(first_back_off * (1 << doublings), largest_back_off);
    // Jitter keeps the nodes from reconnecting all at the same time after a
    // common fault.
    const auto jitter =
        base::duration(random.below(std::uint64_t(wait.count()) / 2 + 1));
    known.link.reset();
    known.open = false;
    known.next_attempt = now + wait - jitter;
    ++known.failures;
}

std::optional<net::link_id>
link_to(const peer_table& table, const base::vm_id& vm)
{
    const auto found = table.peers.find(vm);
    if (found == table.peers.end() || !found->second.open)
        return std::nullopt;
    return found->second.link;
}

} // namespace oleanderhinge::control
