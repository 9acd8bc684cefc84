#include "oleanderhinge/control/config_feed.hpp"

#include "oleanderhinge/control_state/queries.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

std::vector<net::link_id> all_links(const config_feed& feed)
{
    std::vector<net::link_id> links;
    links.reserve(feed.subscribers.size());
    for (const auto& [link, item] : feed.subscribers)
        links.push_back(link);
    return links;
}

// Returns the endpoints of the subscribers that accept subscribers, rotated by
// one at each call.
std::vector<wire::endpoint> rotated_children(config_feed& feed)
{
    std::vector<wire::endpoint> children;
    for (const auto& [link, item] : feed.subscribers)
        if (item.listen.port != 0)
            children.push_back(item.listen);
    if (!children.empty())
        std::rotate(
            children.begin(),
            children.begin() +
                std::ptrdiff_t(feed.redirects++ % children.size()),
            children.end());
    return children;
}

} // namespace

std::vector<outgoing> subscribe(
    config_feed& feed,
    net::link_id link,
    const wire::subscribe& request,
    const control_state::state& from,
    const std::vector<wire::endpoint>& others)
{
    if (!feed.subscribers.contains(link) &&
        feed.subscribers.size() >= feed.fanout) {
        auto children = rotated_children(feed);
        if (children.empty())
            children = others;
        return {{{link}, wire::subscribe_redirect{std::move(children)}}};
    }
    feed.subscribers[link] = {from.config.at, request.listen};
    return {{{link}, control_state::update_since(from, request.have)}};
}

std::vector<outgoing>
publish(config_feed& feed, const control_state::state& from)
{
    // Most subscribers have the same revision and share one message.
    std::map<base::revision, std::vector<net::link_id>> links_by_revision;
    for (auto& [link, item] : feed.subscribers) {
        if (item.sent >= from.config.at)
            continue;
        links_by_revision[item.sent].push_back(link);
        item.sent = from.config.at;
    }
    std::vector<outgoing> messages;
    messages.reserve(links_by_revision.size());
    for (auto& [have, links] : links_by_revision)
        messages.push_back(
            {std::move(links), control_state::update_since(from, have)});
    return messages;
}

std::vector<outgoing> confirm(
    config_feed& feed, const control_state::state& from, std::uint32_t age_ms)
{
    auto messages = publish(feed, from);
    if (!feed.subscribers.empty())
        messages.push_back(
            {all_links(feed), wire::config_confirm{from.config.at, age_ms}});
    return messages;
}

std::vector<outgoing>
redirect_all(config_feed& feed, const std::vector<wire::endpoint>& others)
{
    std::vector<outgoing> messages;
    if (!feed.subscribers.empty())
        messages.push_back({all_links(feed), wire::subscribe_redirect{others}});
    feed.subscribers.clear();
    return messages;
}

void remove_subscriber(config_feed& feed, net::link_id link)
{
    feed.subscribers.erase(link);
}

} // namespace oleanderhinge::control
