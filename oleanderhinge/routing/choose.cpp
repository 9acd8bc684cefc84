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
using internal::server_index;

constexpr std::uint32_t no_node = std::numeric_limits<std::uint32_t>::max();

// A candidate server, reached by the cheapest path found to it.
struct node {
    server_index server = 0;
    std::uint32_t previous = no_node;
    double cost_us = 0;
    // Expected number of leading prompt blocks that this server and all servers
    // before it on the path have cached.
    double cached_blocks = 0;
};

// Shortest-path search over layer boundaries. Ranges have to be added in order
// of their first layer, so that all paths to a boundary are known before any of
// them is extended.
struct chain_search {
    const server_view& v;
    const chain_query& query;
    base::time_point now;
    std::vector<node> nodes;
    // Indices into `nodes`, by the end of the node's layer range.
    std::map<std::uint32_t, std::vector<std::uint32_t>> nodes_by_end;

    const server_entry& server_of(const node& n) const
    {
        return this->v.servers[n.server];
    }

    // Reduction of a server's cost for the prefill steps that cached blocks
    // save.
    double prefix_saving_us(double cost_us, double cached_blocks) const
    {
        const auto& options = this->v.options;
        if (!options.prefix_affinity || cached_blocks <= 0)
            return 0;
        const double saved_steps =
            cached_blocks * options.prefill_steps_per_block;
        const double total_steps = double(this->query.prefixes.size()) *
                                       options.prefill_steps_per_block +
                                   options.expected_steps;
        return cost_us *
               std::min(options.max_prefix_discount, saved_steps / total_steps);
    }

    // The candidate, reached by the cheapest path to layer `first`. `previous`
    // is `no_node` if `first` is 0.
    node cheapest_path_to(server_index candidate, std::uint32_t first) const
    {
        const auto& server = this->v.servers[candidate];
        const auto& options = this->v.options;
        const double server_cost_us = internal::server_cost_us(
            options, server, this->query.work_rank, this->now);
        const double cached_blocks =
            this->query.prefixes.empty() || !options.prefix_affinity
                ? 0
                : expected_cached_blocks(
                      this->v.prefixes, server.info.id, this->query.prefixes);
        if (first == 0) {
            const double link = internal::link_cost_us(
                options,
                this->query.data_centre,
                this->query.region,
                server.info);
            return {
                candidate,
                no_node,
                server_cost_us -
                    this->prefix_saving_us(server_cost_us, cached_blocks) +
                    link,
                cached_blocks};
        }
        node best{candidate, no_node, 0, 0};
        for (const auto index : this->nodes_by_end.at(first)) {
            const auto& previous = this->nodes[index];
            const auto& previous_server = this->server_of(previous).info;
            const double shared_blocks =
                std::min(cached_blocks, previous.cached_blocks);
            const double cost =
                previous.cost_us + server_cost_us -
                this->prefix_saving_us(server_cost_us, shared_blocks) +
                internal::link_cost_us(
                    options,
                    previous_server.data_centre,
                    previous_server.region,
                    server.info);
            if (best.previous == no_node || cost < best.cost_us)
                best = {candidate, index, cost, shared_blocks};
        }
        return best;
    }

    void add_candidates(
        const std::vector<server_index>& candidates,
        const base::layer_range& range)
    {
        for (const server_index candidate : candidates) {
            auto& ends = this->nodes_by_end[range.end.value()];
            ends.push_back(std::uint32_t(this->nodes.size()));
            this->nodes.push_back(
                this->cheapest_path_to(candidate, range.first.value()));
        }
    }

    // The last node of the cheapest complete chain, counting the hop that
    // returns the tokens to the entry node; `no_node` if there is none.
    std::uint32_t cheapest_end() const
    {
        const auto it = this->nodes_by_end.find(this->query.layer_count);
        std::uint32_t best = no_node;
        double best_cost = 0;
        if (it == this->nodes_by_end.end())
            return no_node;
        for (const auto index : it->second) {
            const auto& last = this->nodes[index];
            const double cost = last.cost_us + internal::link_cost_us(
                                                   this->v.options,
                                                   this->query.data_centre,
                                                   this->query.region,
                                                   this->server_of(last).info);
            if (best == no_node || cost < best_cost) {
                best = index;
                best_cost = cost;
            }
        }
        return best;
    }
};

// Adds the servers of the range that hold the prompt's prefix, get their full
// traffic share and are not among the candidates yet.
void add_prefix_holders(
    const server_view& v,
    const internal::sample_query& query,
    const base::layer_range& range,
    const std::vector<server_index>& holders,
    std::vector<server_index>& candidates,
    base::time_point now)
{
    for (const server_index index : holders) {
        const auto& server = v.servers[index];
        if (server.info.layers == range &&
            internal::is_candidate(server, query, now) &&
            internal::allowed_traffic_share(v.options, server, now) >= 1 &&
            std::find(candidates.begin(), candidates.end(), index) ==
                candidates.end())
            candidates.push_back(index);
    }
}

// Indices of the servers that hold the longest known prefix of the prompt and
// announce the requested model, version and adapter.
std::vector<server_index>
prefix_holders(const server_view& v, const chain_query& query)
{
    std::vector<server_index> holders;
    if (!v.options.prefix_affinity)
        return holders;
    for (const auto& id : longest_prefix_holders(v.prefixes, query.prefixes)) {
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
            holders.push_back(it->second);
    }
    return holders;
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
    for (auto index = end; index != no_node;
         index = search.nodes[index].previous) {
        const auto& info = search.server_of(search.nodes[index]).info;
        result.stages.push_back(
            {info.id, info.agent_incarnation, info.agent, info.layers});
    }
    std::reverse(result.stages.begin(), result.stages.end());
    return result;
}

base::result<chain> find_chain(
    const server_view& v,
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
    const internal::sample_query requirements{
        query.data_centre, query.region, query.avoid, query.layer_count};
    const auto holders = prefix_holders(v, query);
    chain_search search{v, query, now, {}, {}};
    std::uint32_t covered_layers = 0;
    for (const auto& [range, group] : model->second) {
        const auto first = range.first.value();
        if (first != 0 && !search.nodes_by_end.contains(first))
            continue;
        if (range.end.value() > query.layer_count || range.end <= range.first)
            continue;
        auto candidates = internal::sample(v, group, requirements, random, now);
        add_prefix_holders(v, requirements, range, holders, candidates, now);
        if (candidates.empty())
            continue;
        search.add_candidates(candidates, range);
        covered_layers = std::max(covered_layers, range.end.value());
    }
    const auto end = search.cheapest_end();
    if (end == no_node)
        return base::fail(
            base::error_code::unavailable,
            "no usable chain for " + describe(query) +
                "; layers are covered only up to " +
                std::to_string(covered_layers) + " of " +
                std::to_string(query.layer_count));
    return to_chain(search, end);
}

} // namespace

base::result<chain> choose_chain(
    const server_view& v,
    const chain_query& query,
    base::random_source& random,
    base::time_point now)
{
    if (query.last_resort.empty())
        return find_chain(v, query, random, now);
    auto preferred = query;
    preferred.avoid.insert(
        preferred.avoid.end(),
        query.last_resort.begin(),
        query.last_resort.end());
    if (auto found = find_chain(v, preferred, random, now))
        return found;
    return find_chain(v, query, random, now);
}

base::result<server_choice> choose_server(
    const server_view& v,
    const service_query& query,
    base::random_source& random,
    base::time_point now)
{
    const auto service = v.services.find(query.service);
    if (service == v.services.end())
        return base::fail(
            base::error_code::unavailable,
            "no server announces service " + query.service);
    const internal::sample_query requirements{
        query.data_centre, query.region, query.avoid, 0};
    const auto candidates =
        internal::sample(v, service->second, requirements, random, now);
    const server_entry* best = nullptr;
    double best_cost = 0;
    for (const server_index index : candidates) {
        const auto& server = v.servers[index];
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
