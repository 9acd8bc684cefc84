#include "oleanderhinge/membership/agent_view.hpp"

#include "oleanderhinge/membership/registrar.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

bool answers(
    const agent_view& view, const entry_node_state& node, base::time_point now)
{
    return !node.awaiting_ack ||
           node.awaiting_ack_since + view.options.lease > now;
}

void add_node(
    agent_view& view,
    const wire::endpoint& endpoint,
    bool seed,
    base::time_point now)
{
    const auto at = view.nodes.find(endpoint);
    if (at != view.nodes.end()) {
        at->second.last_named = now;
        return;
    }
    if (view.nodes.size() < view.options.max_nodes)
        view.nodes[endpoint] = {.seed = seed, .last_named = now};
}

void remove_unnamed(agent_view& view, base::time_point now)
{
    std::erase_if(view.nodes, [&](const auto& item) {
        const auto& node = item.second;
        return !node.seed &&
               node.last_named + view.options.node_retention <= now;
    });
}

std::vector<wire::endpoint> nodes_if(const agent_view& view, auto&& condition)
{
    std::vector<wire::endpoint> found;
    for (const auto& [endpoint, node] : view.nodes)
        if (condition(node))
            found.push_back(endpoint);
    return found;
}

// The registrars among the nodes that answer, then the nodes that would be
// registrars if they answered and are due for another attempt.
std::vector<wire::endpoint>
choose_targets(const agent_view& view, base::time_point now)
{
    const auto& server = view.options.server;
    auto chosen = choose_registrars(server, nodes_if(view, [&](const auto& n) {
                                        return answers(view, n, now);
                                    }));
    const auto wanted = choose_registrars(
        server, nodes_if(view, [](const auto&) { return true; }));
    for (const auto& endpoint : wanted) {
        const auto& node = view.nodes.at(endpoint);
        const bool is_chosen =
            std::find(chosen.begin(), chosen.end(), endpoint) != chosen.end();
        // If no node answers, the first of them is tried without waiting for
        // the interval.
        if (!is_chosen && (chosen.empty() ||
                           node.last_sent + view.options.retry_interval <= now))
            chosen.push_back(endpoint);
    }
    return chosen;
}

} // namespace

std::vector<wire::endpoint>
choose_announcement_targets(agent_view& view, base::time_point now)
{
    if (!std::exchange(view.started, true))
        for (const auto& seed : view.options.seeds)
            add_node(view, seed, true, now);
    remove_unnamed(view, now);
    auto chosen = choose_targets(view, now);
    // If no node answers, all known registrars may have failed, so the seeds
    // are tried as well.
    if (std::none_of(chosen.begin(), chosen.end(), [&](const auto& endpoint) {
            return answers(view, view.nodes.at(endpoint), now);
        }))
        for (const auto& seed : view.options.seeds)
            if (std::find(chosen.begin(), chosen.end(), seed) == chosen.end())
                chosen.push_back(seed);
    for (const auto& endpoint : chosen) {
        auto& node = view.nodes.at(endpoint);
        if (!node.awaiting_ack)
            node.awaiting_ack_since = now;
        node.awaiting_ack = true;
        node.last_sent = now;
    }
    return chosen;
}

void apply_ack(
    agent_view& view,
    const wire::announcement_ack& ack,
    const wire::endpoint& from,
    base::time_point now)
{
    if (ack.server != view.options.server)
        return;
    add_node(view, from, false, now);
    for (const auto& endpoint : ack.entry_nodes)
        add_node(view, endpoint, false, now);
    if (const auto at = view.nodes.find(from); at != view.nodes.end())
        at->second.awaiting_ack = false;
    view.highest_config = std::max(view.highest_config, ack.config);
}

std::size_t count_answering(const agent_view& view, base::time_point now)
{
    return std::size_t(std::count_if(
        view.nodes.begin(), view.nodes.end(), [&](const auto& item) {
            const auto& node = item.second;
            // `last_sent` is zero before the first announcement.
            return node.last_sent != base::time_point() &&
                   answers(view, node, now);
        }));
}

} // namespace oleanderhinge::membership
