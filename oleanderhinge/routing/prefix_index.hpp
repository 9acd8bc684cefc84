// Which backend servers hold the KV cache of which prompt prefixes.
//
// A prompt is cut into blocks; the hash of a block includes all blocks before
// it, so that one hash stands for a whole prefix. Cache events of the engines
// carry sequence numbers and arrive late and with gaps: a gap halves the worth
// of all entries of that server, since evictions may have been missed.
//
// Example:
//   auto hashes = prefix_hashes(prompt);
//   apply_cache_event(index, event);
//   double blocks = warm_blocks(index, server, hashes);
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

// Bytes of prompt text in one block; about 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;
// Blocks of a prompt that are looked at.
inline constexpr std::size_t max_prefix_blocks = 32;

// Hashes of the whole blocks of the prompt, shortest prefix first.
std::vector<prefix_hash> prefix_hashes(std::string_view prompt);

// Change of the cache of one engine.
struct cache_event {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    // Counts the events of this incarnation from 1.
    std::uint64_t sequence = 0;
    // True if `added` is the whole content; makes all entries certain.
    bool snapshot = false;
    std::vector<prefix_hash> added;
    std::vector<prefix_hash> evicted;
};

struct prefix_options {
    // Entries kept of each server, and servers kept of each prefix.
    std::size_t max_entries = 1024;
    std::size_t max_servers = 16;
    // Factor on the worth of older entries at each gap.
    double gap_factor = 0.5;
};

namespace internal
{

struct prefix_entry {
    // Gaps of the server when the entry was last confirmed.
    std::uint32_t gaps = 0;
    std::list<prefix_hash>::iterator place;
};

struct server_prefixes {
    base::incarnation agent_incarnation;
    std::uint64_t last_sequence = 0;
    // Gaps so far; an entry is worth gap_factor ^ (gaps - entry's gaps).
    std::uint32_t gaps = 0;
    std::unordered_map<prefix_hash, prefix_entry> entries;
    // Least recently confirmed first.
    std::list<prefix_hash> by_age;
};

} // namespace internal

struct prefix_index {
    prefix_options options;
    std::unordered_map<base::backend_server_id, internal::server_prefixes>
        servers;
    std::unordered_map<prefix_hash, std::vector<base::backend_server_id>>
        holders;
};

// A late event, whose sequence number has been passed, only removes what it
// evicts, because what it adds may be gone by now. An event of another
// incarnation starts anew.
void apply_cache_event(prefix_index& index, const cache_event& event);

// This node sent a prompt to the server, which will cache it. Used where the
// engine publishes no events.
void note_prompt(
    prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes);

void forget_server(prefix_index& index, const base::backend_server_id& server);

// Blocks at the start of the prompt that the server is expected to hold, each
// weighed by its certainty.
double warm_blocks(
    const prefix_index& index,
    const base::backend_server_id& server,
    const std::vector<prefix_hash>& hashes);

// Servers that hold the longest known prefix of the prompt; at most
// `prefix_options::max_servers`.
std::vector<base::backend_server_id> holders_of_longest(
    const prefix_index& index, const std::vector<prefix_hash>& hashes);

} // namespace oleanderhinge::routing
