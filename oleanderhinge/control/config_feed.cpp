#include "oleanderhinge/control/config_feed.hpp"

#include "oleanderhinge/control_state/queries.hpp"
#include "oleanderhinge/wire/archive.hpp"

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

void refill(config_feed& feed, base::time_point now)
{
    const auto elapsed = std::min(now - feed.bulk_refilled, bulk_burst);
    feed.bulk_refilled = now;
    const auto added =
        feed.bulk_rate * std::chrono::duration<double>(elapsed).count();
    const auto largest =
        feed.bulk_rate * std::chrono::duration<double>(bulk_burst).count();
    feed.bulk_allowance = std::min(feed.bulk_allowance + added, largest);
}

// Orders subscribers for a large update.
void shuffle_nearby_first(config_feed& feed, std::vector<net::link_id>& links)
{
    for (std::size_t left = links.size(); left > 1; --left)
        std::swap(links[left - 1], links[feed.random.below(left)]);
    std::stable_partition(links.begin(), links.end(), [&](net::link_id link) {
        return feed.subscribers.at(link).nearby;
    });
}

// Keeps the links for which the allowance suffices, at least one if there is
// any allowance.
void limit_bulk(
    config_feed& feed, std::vector<net::link_id>& links, std::size_t size)
{
    shuffle_nearby_first(feed, links);
    std::size_t allowed = 0;
    while (allowed < links.size() && feed.bulk_allowance > 0) {
        feed.bulk_allowance -= double(size);
        ++allowed;
    }
    links.resize(allowed);
}

} // namespace

std::vector<outgoing> subscribe(
    config_feed& feed,
    net::link_id link,
    const wire::subscribe& request,
    const control_state::state& from,
    const std::vector<wire::endpoint>& others,
    bool nearby,
    base::time_point now)
{
    if (!feed.subscribers.contains(link) &&
        feed.subscribers.size() >= feed.fanout) {
        auto children = rotated_children(feed);
        if (children.empty())
            children = others;
        return {{{link}, wire::subscribe_redirect{std::move(children)}}};
    }
    auto& item = feed.subscribers[link];
    item = {request.have, request.listen, nearby};
    if (request.have == base::revision{})
        item.sent.reset();
    return publish(feed, from, now);
}

std::vector<outgoing> publish(
    config_feed& feed, const control_state::state& from, base::time_point now)
{
    // Most subscribers have the same revision and share one message.
    std::map<base::revision, std::vector<net::link_id>> links_by_revision;
    for (const auto& [link, item] : feed.subscribers)
        if (!item.sent || *item.sent < from.config.at)
            links_by_revision[item.sent.value_or(base::revision{})].push_back(
                link);
    refill(feed, now);
    std::vector<outgoing> messages;
    for (auto& [have, links] : links_by_revision) {
        auto update = control_state::update_since(from, have);
        const auto size = wire::to_bytes(update).size();
        if (size > max_small_update)
            limit_bulk(feed, links, size);
        for (const auto link : links)
            feed.subscribers[link].sent = from.config.at;
        if (!links.empty())
            messages.push_back({std::move(links), std::move(update)});
    }
    return messages;
}

std::vector<outgoing> confirm(
    config_feed& feed,
    const control_state::state& from,
    std::uint32_t age_ms,
    base::time_point now)
{
    auto messages = publish(feed, from, now);
    std::vector<net::link_id> current;
    for (const auto& [link, item] : feed.subscribers)
        if (item.sent && *item.sent >= from.config.at)
            current.push_back(link);
    if (!current.empty())
        messages.push_back(
            {std::move(current), wire::config_confirm{from.config.at, age_ms}});
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
