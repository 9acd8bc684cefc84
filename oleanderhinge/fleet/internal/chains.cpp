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

// Orders a chain so that small servers stand next to large ones, which have
// room to cover for them.
group alternate(const group& by_memory)
{
    group ordered;
    for (std::size_t low = by_memory.size(), high = 0; high < low;) {
        ordered.push_back(by_memory[high++]);
        if (high < low)
            ordered.push_back(by_memory[--low]);
    }
    return ordered;
}

// Deals servers of one kind after another to the chains, so that each chain
// gets its share of each kind.
std::vector<group> deal(group members, std::size_t chains)
{
    std::stable_sort(
        members.begin(),
        members.end(),
        [](const auto* left, const auto* right) {
            return left->memory_mb > right->memory_mb;
        });
    std::vector<group> dealt(chains);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto round = i / chains;
        const auto place = i % chains;
        // Alternating direction evens out the memory of the chains.
        dealt[round % 2 == 0 ? place : chains - 1 - place].push_back(
            members[i]);
    }
    for (auto& chain : dealt)
        chain = alternate(chain);
    return dealt;
}

// One range of a chain and the servers that hold it.
struct chain_part {
    group servers;
    part_shape shape;
};

// The chain with `count` first servers of a kind, in front of the others.
std::vector<chain_part> with_first_servers(
    const wire::engine_profile& profile,
    const group& chain,
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
        const auto& one = *part.servers.front();
        const auto* found = find_kind(profile, one.kind);
        part.shape = {
            one.memory_mb,
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

// The choice of first servers and the division that serve the most requests.
// Empty if the model does not fit, or only with more parts than engines accept.
divided_chain
divide_chain(const wire::engine_profile& profile, const group& chain)
{
    std::map<std::string, std::size_t> kinds;
    for (const auto* server : chain)
        ++kinds[server->kind];
    divided_chain best;
    for (const auto& [kind, available] : kinds) {
        const auto most = std::min(available, most_first_servers);
        for (std::size_t count = 1; count <= most; ++count) {
            if (chain.size() - count + 1 > path_costs{}.most_parts)
                continue;
            auto parts = with_first_servers(profile, chain, kind, count);
            auto layers = divide_layers(profile, shapes_of(parts));
            if (layers.per_second > best.layers.per_second)
                best = {std::move(parts), std::move(layers)};
        }
    }
    return best;
}

void give_places(const divided_chain& divided)
{
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < divided.parts.size(); ++i) {
        const auto end = next + divided.layers.shares[i];
        for (auto* server : divided.parts[i].servers)
            server->layers = {base::layer_index{next}, base::layer_index{end}};
        next = end;
    }
}

// Rates by the kinds of a chain: chains of one deal are mostly alike.
using known_rates = std::map<std::map<std::string, std::size_t>, double>;

// Requests a second; 0 if the chain cannot hold the model.
double rate_of(
    const wire::engine_profile& profile, const group& chain, known_rates& known)
{
    std::map<std::string, std::size_t> kinds;
    for (const auto* server : chain)
        ++kinds[server->kind];
    const auto [found, is_new] = known.try_emplace(std::move(kinds), 0);
    if (is_new)
        found->second = divide_chain(profile, chain).layers.per_second;
    return found->second;
}

double memory_of(const group& members)
{
    return std::accumulate(
        members.begin(),
        members.end(),
        0.0,
        [](double sum, const auto* server) { return sum + server->memory_mb; });
}

// The deal of the members to chains that serves the most requests.
std::vector<group>
best_chains(const wire::engine_profile& profile, const group& members)
{
    const double copies =
        memory_of(members) / (profile.layer_mb * profile.layer_count);
    known_rates known;
    std::vector<group> best;
    double best_rate = 0;
    for (std::size_t count = 1; double(count) <= copies; ++count) {
        auto chains = deal(members, count);
        double rate = 0;
        bool complete = true;
        for (const auto& chain : chains) {
            const double one = rate_of(profile, chain, known);
            complete = complete && one > 0;
            rate += one;
        }
        if (complete && rate > best_rate) {
            best = std::move(chains);
            best_rate = rate;
        }
    }
    return best;
}

} // namespace

std::vector<group>
copy_groups(placement& plan, const wire::engine_profile& profile)
{
    std::map<base::data_centre_id, group> by_place;
    group everything;
    for (auto& [address, server] : plan.servers) {
        by_place[server.data_centre].push_back(&server);
        everything.push_back(&server);
    }
    std::vector<group> groups;
    for (auto& [place, members] : by_place) {
        if (memory_of(members) <
            profile.layer_mb * profile.layer_count * least_memory)
            return {everything};
        groups.push_back(std::move(members));
    }
    return groups;
}

void assign_group(const wire::engine_profile& profile, const group& members)
{
    const auto best = best_chains(profile, members);
    for (auto* server : members)
        server->layers = {};
    for (const auto& chain : best)
        give_places(divide_chain(profile, chain));
}

} // namespace oleanderhinge::fleet::internal
