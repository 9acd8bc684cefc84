// Index of the prompt prefixes whose KV cache backend servers hold.
//
// A prompt is split into blocks. The hash of a block includes all blocks before
// it, so that one hash identifies a whole prefix. Cache events of the engines
// carry sequence numbers; they may arrive late or be lost. Since evictions may
// be lost too, each gap in the sequence multiplies the certainty of the
// server's older entries by `prefix_options::gap_factor`.
//
// Example:
//   auto hashes = prefix_hashes(prompt);
//   apply_cache_event(index, event);
//   double blocks = expected_cached_blocks(index, server, hashes);
#pragma once

#include "oleanderhinge/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::routing
{

using prefix_hash = std::uint64_t;

// Size of a block of prompt text; about 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;
// Only this many blocks at the start of a prompt are hashed.
inline constexpr std::size_t max_prefix_blocks = 32;

// Hashes of the complete blocks of the prompt, shortest prefix first; at most
// `max_prefix_blocks`.
std::vector<prefix_hash> prefix_hashes(std::string_view prompt);

// Change of the cache of one server's engine.
struct cache_event {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    // Number of the event within the incarnation, from 1.
    std::uint64_t sequence = 0;
    // `added` is the whole content of the cache and replaces all entries.
    bool snapshot = false;
    std::vector<prefix_hash> added;
    std::vector<prefix_hash> evicted;
};

struct prefix_options {
    // The least recently confirmed entry is evicted first.
    std::size_t max_entries_per_server = 1024;
    // Further holders of a prefix are not listed by `longest_prefix_holders`.
    std::size_t max_servers_per_prefix = 16;
    // Factor on the certainty of older entries for each gap.
    double gap_factor = 0.5;
};

namespace internal
{

struct prefix_entry {
    // `server_prefixes::gaps` when the entry was last confirmed.
    std::uint32_t gaps_when_confirmed = 0;
    std::list<prefix_hash>::iterator lru_position;
};

struct server_prefixes {
    base::incarnation agent_incarnation;
    std::uint64_t last_sequence = 0;
    // Gaps in the event sequence so far. The certainty of an entry is
    // gap_factor ^ (gaps - gaps_when_confirmed).
    std::uint32_t gaps = 0;
    std::unordered_map<prefix_hash, prefix_entry> entries;
    // Least recently confirmed first.
    std::list<prefix_hash> lru_order;
};

} // namespace internal

struct prefix_index {
    prefix_options options;
    std::unordered_map<base::backend_server_id, internal::server_prefixes>
        servers;
    std::unordered_map<prefix_hash, std::vector<base::backend_server_id>>
        holders;
};

// Applies a cache event. Of a late event, whose number is not above the last
// one applied, only the evictions count, because what it adds may have been
// evicted since. Any number of lost events in a row is one gap. An event of
// another incarnation removes all entries of the server first.
void apply_cache_event(prefix_index& index, const cache_event& event);

// Records that this node sent a prompt to the server, whose engine is expected
// to cache it. Needs no cache events of the engine.
void note_prompt(
    prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes);

// Removes all entries of the server and its event sequence.
void drop_server(prefix_index& index, const base::backend_server_id& server);

// Expected number of blocks at the start of the prompt that the server has
// cached: the sum of their certainties, up to the first block without an entry.
double expected_cached_blocks(
    const prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes);

// Servers that hold the longest prefix of the prompt that has an entry; at most
// `prefix_options::max_servers_per_prefix`.
std::vector<base::backend_server_id> longest_prefix_holders(
    const prefix_index& index, const std::vector<prefix_hash>& hashes);

} // namespace oleanderhinge::routing
