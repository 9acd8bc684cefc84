#include "oleanderhinge/control/limit_relay.hpp"

#include "oleanderhinge/control/fleet_watch.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

template <class Message>
std::vector<Message> split_items(const Message& all)
{
    constexpr std::size_t other_fields = 64;
    std::vector<Message> messages;
    std::size_t bytes = 0;
    for (const auto& item : all.items) {
        const auto size = item.server.value().size() + other_fields;
        if (size > max_batch_bytes)
            continue;
        if (messages.empty() || bytes + size > max_batch_bytes) {
            messages.emplace_back();
            bytes = 0;
        }
        messages.back().items.push_back(item);
        bytes += size;
    }
    return messages;
}

// To each gateway what others have stated.
std::vector<limit_message> messages_of_changes(
    const limit_relay& relay,
    const std::vector<net::link_id>& gateways,
    base::time_point now)
{
    wire::server_limits all;
    std::map<net::link_id, wire::server_limits> not_stated_by;
    for (const auto& [server, from] : relay.changed)
        not_stated_by[from];
    for (const auto& [server, from] : relay.changed) {
        const auto found = relay.limits.servers.find(server);
        if (found == relay.limits.servers.end())
            continue;
        all.items.push_back(fleet::as_message(server, found->second, now));
        for (auto& [gateway, limits] : not_stated_by)
            if (gateway != from)
                limits.items.push_back(all.items.back());
    }
    std::vector<limit_message> messages;
    std::vector<net::link_id> others;
    for (const auto gateway : gateways) {
        const auto found = not_stated_by.find(gateway);
        if (found == not_stated_by.end())
            others.push_back(gateway);
        else
            for (auto& part : split(found->second))
                messages.push_back({{gateway}, std::move(part)});
    }
    if (!others.empty())
        for (auto& part : split(all))
            messages.push_back({others, std::move(part)});
    return messages;
}

} // namespace

std::vector<wire::server_limit> apply(
    limit_relay& relay,
    net::link_id from,
    const wire::server_limits& stated,
    base::time_point now)
{
    std::vector<wire::server_limit> changes;
    for (const auto& item : stated.items)
        if (fleet::note(relay.limits, item, now)) {
            relay.changed.insert_or_assign(item.server, from);
            changes.push_back(item);
        }
    return changes;
}

std::vector<limit_message> take_messages(
    limit_relay& relay,
    const std::vector<net::link_id>& gateways,
    bool leads,
    base::time_point now)
{
    fleet::expire(relay.limits, now);
    const bool led = std::exchange(relay.leads, leads);
    std::vector<limit_message> messages;
    if (leads && (!led || now >= relay.next_all)) {
        relay.next_all = now + fleet::resend_interval;
        if (!gateways.empty())
            for (auto& part : all_statements(relay, now))
                messages.push_back({gateways, std::move(part)});
    } else if (leads) {
        messages = messages_of_changes(relay, gateways, now);
    }
    relay.changed.clear();
    return messages;
}

std::vector<wire::server_limits>
all_statements(const limit_relay& relay, base::time_point now)
{
    wire::server_limits all;
    for (const auto& [server, statement] : relay.limits.servers)
        all.items.push_back(fleet::as_message(server, statement, now));
    return split(all);
}

std::vector<wire::server_limits> split(const wire::server_limits& all)
{
    return split_items(all);
}

std::vector<wire::permit_grant> split(const wire::permit_grant& all)
{
    return split_items(all);
}

} // namespace oleanderhinge::control
