#include "oleanderhinge/routing/prefix_index.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::routing
{

namespace
{

using internal::server_prefixes;

void drop_entry(
    prefix_index& index,
    const base::backend_server_id& server,
    server_prefixes& state,
    prefix_hash hash)
{
    const auto it = state.entries.find(hash);
    if (it == state.entries.end())
        return;
    state.lru_order.erase(it->second.lru_position);
    state.entries.erase(it);
    const auto holders = index.holders.find(hash);
    if (holders == index.holders.end())
        return;
    std::erase(holders->second, server);
    if (holders->second.empty())
        index.holders.erase(holders);
}

void add_entry(
    prefix_index& index,
    const base::backend_server_id& server,
    server_prefixes& state,
    prefix_hash hash)
{
    const auto [it, added] = state.entries.try_emplace(hash);
    if (added)
        it->second.lru_position =
            state.lru_order.insert(state.lru_order.end(), hash);
    else
        state.lru_order.splice(
            state.lru_order.end(), state.lru_order, it->second.lru_position);
    it->second.gaps_when_confirmed = state.gaps;
    if (!added)
        return;
    auto& holders = index.holders[hash];
    if (holders.size() < index.options.max_servers_per_prefix)
        holders.push_back(server);
    if (state.entries.size() > index.options.max_entries_per_server)
        drop_entry(index, server, state, state.lru_order.front());
}

void drop_all(
    prefix_index& index,
    const base::backend_server_id& server,
    server_prefixes& state)
{
    while (!state.lru_order.empty())
        drop_entry(index, server, state, state.lru_order.front());
}

} // namespace

std::vector<prefix_hash> prefix_hashes(std::string_view prompt)
{
    std::vector<prefix_hash> hashes;
    const auto blocks =
        std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
    hashes.reserve(blocks);
    prefix_hash chained = 0;
    for (std::size_t i = 0; i < blocks; ++i) {
        chained = base::stable_hash(
            prompt.substr(i * prefix_block_bytes, prefix_block_bytes), chained);
        hashes.push_back(chained);
    }
    return hashes;
}

void apply_cache_event(prefix_index& index, const cache_event& event)
{
    auto& state = index.servers[event.server];
    if (state.agent_incarnation != event.agent_incarnation) {
        drop_all(index, event.server, state);
        state = server_prefixes{};
        state.agent_incarnation = event.agent_incarnation;
    }
    const bool late = event.sequence <= state.last_sequence;
    if (!late && event.snapshot) {
        drop_all(index, event.server, state);
    } else if (event.sequence > state.last_sequence + 1) {
        ++state.gaps;
    }
    for (const auto hash : event.evicted)
        drop_entry(index, event.server, state, hash);
    if (late)
        return;
    for (const auto hash : event.added)
        add_entry(index, event.server, state, hash);
    state.last_sequence = event.sequence;
}

void note_prompt(
    prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes)
{
    auto& state = index.servers[server];
    for (const auto hash : hashes)
        add_entry(index, server, state, hash);
}

void drop_server(prefix_index& index, const base::backend_server_id& server)
{
    const auto it = index.servers.find(server);
    if (it == index.servers.end())
        return;
    drop_all(index, server, it->second);
    index.servers.erase(it);
}

double expected_cached_blocks(
    const prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes)
{
    const auto it = index.servers.find(server);
    if (it == index.servers.end())
        return 0;
    double blocks = 0;
    for (const auto hash : hashes) {
        const auto entry = it->second.entries.find(hash);
        if (entry == it->second.entries.end())
            break;
        const auto gaps = it->second.gaps - entry->second.gaps_when_confirmed;
        blocks += std::pow(index.options.gap_factor, double(gaps));
    }
    return blocks;
}

std::vector<base::backend_server_id> longest_prefix_holders(
    const prefix_index& index, const std::vector<prefix_hash>& hashes)
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
        const auto it = index.holders.find(*hash);
        if (it != index.holders.end())
            return it->second;
    }
    return {};
}

} // namespace oleanderhinge::routing
