#include "oleanderhinge/routing/choose.hpp"

#include "oleanderhinge/routing/internal/sample.hpp"
#include "oleanderhinge/routing/internal/server.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace oleanderhinge::routing
{

namespace
{

using internal::server_entry;
using internal::slot;

constexpr std::uint32_t no_node = std::numeric_limits<std::uint32_t>::max();

// A candidate server on the best way found to it.
struct node {
    slot server = 0;
    std::uint32_t previous = no_node;
    double cost_us = 0;
    // Prompt blocks that this server and all before it hold.
    double warm = 0;
};

// Shortest path over layer boundaries. Ranges are visited by first layer, so
// that all ways to a boundary are known before one goes on from it.
struct chain_search {
    const view& v;
    const chain_query& query;
    base::time_point now;
    std::vector<node> nodes;
    // Nodes that end at a layer.
    std::map<std::uint32_t, std::vector<std::uint32_t>> reached;

    const server_entry& server_of(const node& n) const
    {
        return this->v.servers[n.server];
    }

    double worth(double cost, double warm) const
    {
        const auto& options = this->v.options;
        if (!options.prefix_worth || warm <= 0)
            return 0;
        const double saved = warm * options.prefill_steps_per_block;
        const double all = double(this->query.prefixes.size()) *
                               options.prefill_steps_per_block +
                           options.expected_steps;
        return cost * std::min(options.max_prefix_worth, saved / all);
    }

    // Best node to reach the candidate; `previous` stays unset for layer 0.
    node best_way(slot candidate, std::uint32_t first) const
    {
        const auto& server = this->v.servers[candidate];
        const auto& options = this->v.options;
        const double own = internal::server_cost_us(
            options, server, this->query.work_rank, this->now);
        const double warm =
            this->query.prefixes.empty() || !options.prefix_worth
                ? 0
                : warm_blocks(
                      this->v.prefixes, server.info.id, this->query.prefixes);
        if (first == 0) {
            const double link = internal::link_cost_us(
                options,
                this->query.data_centre,
                this->query.region,
                server.info);
            return {
                candidate, no_node, own - this->worth(own, warm) + link, warm};
        }
        node best{candidate, no_node, 0, 0};
        for (const auto index : this->reached.at(first)) {
            const auto& before = this->nodes[index];
            const auto& place = this->server_of(before).info;
            const double common = std::min(warm, before.warm);
            const double cost =
                before.cost_us + own - this->worth(own, common) +
                internal::link_cost_us(
                    options, place.data_centre, place.region, server.info);
            if (best.previous == no_node || cost < best.cost_us)
                best = {candidate, index, cost, common};
        }
        return best;
    }

    void
    add(const std::vector<slot>& candidates, const base::layer_range& range)
    {
        for (const slot candidate : candidates) {
            auto& ends = this->reached[range.end.value()];
            ends.push_back(std::uint32_t(this->nodes.size()));
            this->nodes.push_back(
                this->best_way(candidate, range.first.value()));
        }
    }

    // The node that ends the best chain, including the way of the tokens back
    // to the caller; `no_node` if there is none.
    std::uint32_t best_end() const
    {
        const auto it = this->reached.find(this->query.layer_count);
        std::uint32_t best = no_node;
        double best_cost = 0;
        if (it == this->reached.end())
            return no_node;
        for (const auto index : it->second) {
            const auto& n = this->nodes[index];
            const double cost = n.cost_us + internal::link_cost_us(
                                                this->v.options,
                                                this->query.data_centre,
                                                this->query.region,
                                                this->server_of(n).info);
            if (best == no_node || cost < best_cost) {
                best = index;
                best_cost = cost;
            }
        }
        return best;
    }
};

// Holders of the prompt's prefix that may serve in the group, besides those
// that were sampled.
void add_warm(
    const view& v,
    const internal::sample_query& query,
    const base::layer_range& range,
    const std::vector<slot>& warm,
    std::vector<slot>& candidates,
    base::time_point now)
{
    for (const slot at : warm) {
        const auto& server = v.servers[at];
        if (server.info.layers == range &&
            internal::is_candidate(server, query, now) &&
            internal::health_share(v.options, server, now) >= 1 &&
            std::find(candidates.begin(), candidates.end(), at) ==
                candidates.end())
            candidates.push_back(at);
    }
}

// Slots of the servers that hold the longest known prefix of the prompt and
// serve the wanted model.
std::vector<slot> warm_slots(const view& v, const chain_query& query)
{
    std::vector<slot> slots;
    if (!v.options.prefix_worth)
        return slots;
    for (const auto& id : holders_of_longest(v.prefixes, query.prefixes)) {
        const auto it = v.by_id.find(id);
        if (it == v.by_id.end())
            continue;
        const auto& info = v.servers[it->second].info;
        const bool has_adapter =
            query.adapter.empty() ||
            std::find(
                info.adapters.begin(), info.adapters.end(), query.adapter) !=
                info.adapters.end();
        if (info.model == query.model && info.version == query.version &&
            has_adapter)
            slots.push_back(it->second);
    }
    return slots;
}

std::string describe(const chain_query& query)
{
    std::string text =
        "model " + query.model.value() + " version " + query.version;
    if (!query.adapter.empty())
        text += " adapter " + query.adapter;
    return text;
}

chain to_chain(const chain_search& search, std::uint32_t end)
{
    chain result;
    result.cost_us = search.nodes[end].cost_us;
    for (auto at = end; at != no_node; at = search.nodes[at].previous) {
        const auto& info = search.server_of(search.nodes[at]).info;
        result.stages.push_back(
            {info.id, info.agent_incarnation, info.agent, info.layers});
    }
    std::reverse(result.stages.begin(), result.stages.end());
    return result;
}

} // namespace

base::result<chain> choose_chain(
    const view& v,
    const chain_query& query,
    base::random_source& random,
    base::time_point now)
{
    const auto model =
        v.models.find({query.model, query.version, query.adapter});
    if (model == v.models.end() || query.layer_count == 0)
        return base::fail(
            base::error_code::unavailable,
            "no server announces " + describe(query));
    const internal::sample_query wanted{
        query.data_centre, query.region, query.avoid, query.layer_count};
    const auto warm = warm_slots(v, query);
    chain_search search{v, query, now, {}, {}};
    std::uint32_t farthest = 0;
    for (const auto& [range, group] : model->second) {
        const auto first = range.first.value();
        if (first != 0 && !search.reached.contains(first))
            continue;
        if (range.end.value() > query.layer_count || range.end <= range.first)
            continue;
        auto candidates = internal::sample(v, group, wanted, random, now);
        add_warm(v, wanted, range, warm, candidates, now);
        if (candidates.empty())
            continue;
        search.add(candidates, range);
        farthest = std::max(farthest, range.end.value());
    }
    const auto end = search.best_end();
    if (end == no_node)
        return base::fail(
            base::error_code::unavailable,
            "no usable chain for " + describe(query) +
                "; layers are covered only up to " + std::to_string(farthest) +
                " of " + std::to_string(query.layer_count));
    return to_chain(search, end);
}

base::result<server_choice> choose_server(
    const view& v,
    const service_query& query,
    base::random_source& random,
    base::time_point now)
{
    const auto service = v.services.find(query.service);
    if (service == v.services.end())
        return base::fail(
            base::error_code::unavailable,
            "no server announces service " + query.service);
    const internal::sample_query wanted{
        query.data_centre, query.region, query.avoid, 0};
    const auto candidates =
        internal::sample(v, service->second, wanted, random, now);
    const server_entry* best = nullptr;
    double best_cost = 0;
    for (const slot at : candidates) {
        const auto& server = v.servers[at];
        const double cost =
            internal::server_cost_us(v.options, server, query.work_rank, now) +
            internal::link_cost_us(
                v.options, query.data_centre, query.region, server.info);
        if (best == nullptr || cost < best_cost) {
            best = &server;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return base::fail(
            base::error_code::unavailable,
            "no usable server for service " + query.service);
    return server_choice{
        best->info.id,
        best->info.agent_incarnation,
        best->info.agent,
        best_cost};
}

} // namespace oleanderhinge::routing
