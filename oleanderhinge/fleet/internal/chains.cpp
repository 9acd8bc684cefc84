#include "oleanderhinge/fleet/internal/chains.hpp"

#include "oleanderhinge/fleet/division.hpp"
#include "oleanderhinge/fleet/paths.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <utility>

namespace oleanderhinge::fleet::internal
{

namespace
{

// Orders a chain so that large and small servers alternate: the neighbours of
// a small server then have the memory to take over its layers.
server_group alternate_by_memory(const server_group& by_memory)
{
    server_group ordered;
    for (std::size_t low = by_memory.size(), high = 0; high < low;) {
        ordered.push_back(by_memory[high++]);
        if (high < low)
            ordered.push_back(by_memory[--low]);
    }
    return ordered;
}

// Distributes servers in descending order of memory, so that each chain gets
// its share of each kind.
std::vector<server_group>
distribute_to_chains(server_group members, std::size_t chain_count)
{
    std::stable_sort(
        members.begin(),
        members.end(),
        [](const auto* left, const auto* right) {
            return left->memory_mb > right->memory_mb;
        });
    std::vector<server_group> distributed(chain_count);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto round = i / chain_count;
        const auto position = i % chain_count;
        // Alternating direction evens out the memory of the chains.
        distributed[round % 2 == 0 ? position : chain_count - 1 - position]
            .push_back(members[i]);
    }
    for (auto& chain : distributed)
        chain = alternate_by_memory(chain);
    return distributed;
}

// One part (pipeline stage) of a chain and the servers that hold its layers.
struct chain_part {
    server_group servers;
    part_shape shape;
};

// The parts of a chain whose first part consists of `count` servers of the
// kind; each other server is a part of its own behind it.
std::vector<chain_part> split_into_parts(
    const wire::engine_profile& profile,
    const server_group& chain,
    const std::string& kind,
    std::size_t count)
{
    std::vector<chain_part> parts(1);
    for (auto* server : chain) {
        if (server->kind == kind && parts.front().servers.size() < count)
            parts.front().servers.push_back(server);
        else
            parts.push_back({{server}, {}});
    }
    for (auto& part : parts) {
        const auto& server = *part.servers.front();
        const auto* found = find_kind(profile, server.kind);
        part.shape = {
            server.memory_mb,
            part.servers.size(),
            found == nullptr ? 1 : found->step_factor,
            found == nullptr ? 1 : found->read_factor};
    }
    return parts;
}

std::vector<part_shape> shapes_of(const std::vector<chain_part>& parts)
{
    std::vector<part_shape> shapes;
    shapes.reserve(parts.size());
    for (const auto& part : parts)
        shapes.push_back(part.shape);
    return shapes;
}

struct divided_chain {
    std::vector<chain_part> parts;
    division layers;
};

// The choice of servers for the first part, and the division of layers, that
// serve the most requests per second. Empty if the model does not fit, or only
// with more parts than engines accept.
divided_chain
divide_chain(const wire::engine_profile& profile, const server_group& chain)
{
    std::map<std::string, std::size_t> kinds;
    for (const auto* server : chain)
        ++kinds[server->kind];
    divided_chain best;
    for (const auto& [kind, available] : kinds) {
        const auto max_count = std::min(available, max_first_part_servers);
        for (std::size_t count = 1; count <= max_count; ++count) {
            if (chain.size() - count + 1 > path_costs{}.max_parts)
                continue;
            auto parts = split_into_parts(profile, chain, kind, count);
            auto layers = divide_layers(profile, shapes_of(parts));
            if (layers.requests_per_second > best.layers.requests_per_second)
                best = {std::move(parts), std::move(layers)};
        }
    }
    return best;
}

void assign_layers(const divided_chain& divided)
{
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < divided.parts.size(); ++i) {
        const auto end = next + divided.layers.layers_per_part[i];
        for (auto* server : divided.parts[i].servers)
            server->layers = {base::layer_index{next}, base::layer_index{end}};
        next = end;
    }
}

// Rates by the number of servers of each kind in a chain. Most chains of one
// distribution have the same numbers.
using rate_cache = std::map<std::map<std::string, std::size_t>, double>;

// Requests per second; 0 if the chain cannot hold the model.
double rate_of(
    const wire::engine_profile& profile,
    const server_group& chain,
    rate_cache& cache)
{
    std::map<std::string, std::size_t> kinds;
    for (const auto* server : chain)
        ++kinds[server->kind];
    const auto [found, is_new] = cache.try_emplace(std::move(kinds), 0);
    if (is_new)
        found->second = divide_chain(profile, chain).layers.requests_per_second;
    return found->second;
}

double memory_of(const server_group& members)
{
    return std::accumulate(
        members.begin(),
        members.end(),
        0.0,
        [](double sum, const auto* server) { return sum + server->memory_mb; });
}

// The distribution of the members to chains that serves the most requests per
// second; empty if the model does not fit.
std::vector<server_group>
best_chains(const wire::engine_profile& profile, const server_group& members)
{
    const double copies =
        memory_of(members) / (profile.layer_mb * profile.layer_count);
    rate_cache cache;
    std::vector<server_group> best;
    double best_rate = 0;
    for (std::size_t count = 1;
         count <= members.size() && double(count) <= copies;
         ++count) {
        auto chains = distribute_to_chains(members, count);
        double rate = 0;
        bool all_fit = true;
        for (const auto& chain : chains) {
            const double chain_rate = rate_of(profile, chain, cache);
            all_fit = all_fit && chain_rate > 0;
            rate += chain_rate;
        }
        if (all_fit && rate > best_rate) {
            best = std::move(chains);
            best_rate = rate;
        }
    }
    return best;
}

} // namespace

std::vector<server_group>
replica_groups(placement& plan, const wire::engine_profile& profile)
{
    std::map<base::data_centre_id, server_group> by_data_centre;
    server_group all_servers;
    for (auto& [address, server] : plan.servers) {
        by_data_centre[server.data_centre].push_back(&server);
        all_servers.push_back(&server);
    }
    std::vector<server_group> groups;
    bool any_holds_a_copy = false;
    for (auto& [data_centre, members] : by_data_centre) {
        const bool holds_a_copy =
            memory_of(members) >=
            profile.layer_mb * profile.layer_count * min_copy_memory_factor;
        // A single server may be an odd report with the name of a data centre
        // that does not exist.
        if (!holds_a_copy && members.size() > 1)
            return {all_servers};
        any_holds_a_copy = any_holds_a_copy || holds_a_copy;
        groups.push_back(std::move(members));
    }
    if (!any_holds_a_copy)
        return {all_servers};
    return groups;
}

void assign_chains(
    const wire::engine_profile& profile, const server_group& members)
{
    const auto best = best_chains(profile, members);
    for (auto* server : members)
        server->layers = {};
    for (const auto& chain : best)
        assign_layers(divide_chain(profile, chain));
}

} // namespace oleanderhinge::fleet::internal
