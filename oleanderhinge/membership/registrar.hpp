// Choice of the registrars of an agent, and the batches that a registrar sends
// to the other entry nodes of its data centre (docs/design.md, 3.7).
//
// An agent announces itself to `registrar_count` entry nodes, chosen by
// rendezvous hashing over their UDP endpoints. Once a second each registrar
// sends one batch to all other entry nodes: full announcements of servers that
// are new or changed, and a short heartbeat with age and load step for each
// server that it hears. Only the first two registrars of a server send its
// entries. The third takes over when it receives no heartbeat from one of them,
// so that no entry expires when one registrar fails. Announcements of unchanged
// servers are repeated in turn, in case a datagram was lost.
//
// Not thread-safe.
//
// Example:
//   auto targets = choose_registrars(server, entry_nodes);
//   for (auto& batch : make_batch(state, *view, now)) send_to_all(batch);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/membership/directory_query.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::membership
{

inline constexpr std::size_t registrar_count = 3;
// Number of registrars of a server that send its heartbeat to the other entry
// nodes.
inline constexpr std::size_t heartbeat_sender_count = 2;

// --- Rendezvous hashing -----------------------------------------------------

// Weight of a node for a key; the same in every process. Source: Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
std::uint64_t
rendezvous_weight(std::string_view key, const wire::endpoint& node);

// The `count` nodes with the highest weights for the key, highest first; fewer
// if there are fewer nodes. Does not depend on the order of `nodes`.
std::vector<wire::endpoint> choose_nodes(
    std::string_view key,
    const std::vector<wire::endpoint>& nodes,
    std::size_t count);

// The registrars of a server among the entry nodes of its data centre.
std::vector<wire::endpoint> choose_registrars(
    const base::backend_server_id& server,
    const std::vector<wire::endpoint>& entry_nodes);

// --- Batches ----------------------------------------------------------------

struct registrar_options {
    base::vm_id vm;
    // UDP endpoint of this entry node, as agents know it.
    wire::endpoint self;
    // Setting announce.interval; one batch is sent per interval.
    base::duration interval = std::chrono::seconds(1);
    // Setting announce.server_lease.
    base::duration server_lease = std::chrono::seconds(3);
    // Number of batches within which each announcement is repeated once. A
    // receiver that lacks a server requests a full batch, so the repetition is
    // rarely needed. Repeating each announcement every 10 s would double the
    // size of the batches.
    std::uint32_t repair_rounds = 60;
};

// Another registrar that sent the heartbeat of a server.
struct heartbeat_sender {
    wire::endpoint node;
    base::time_point last;
};

// State of relaying one server.
struct relay_state {
    // Digest of the fields whose change is sent at once; zero before the first
    // batch.
    std::uint64_t digest = 0;
    std::vector<heartbeat_sender> other_senders;
};

struct registrar {
    registrar_options options;
    // By `heartbeat_key`; holds the servers that this node hears directly.
    std::unordered_map<std::uint64_t, relay_state> servers;
    // Number of batches made.
    std::uint64_t round = 0;
    // Announcements that were left out because they do not fit a datagram.
    std::uint64_t too_large = 0;
};

// Records which servers have their heartbeat sent by another entry node.
void note_batch(
    registrar& state,
    const wire::directory_update& batch,
    const wire::endpoint& sender,
    base::time_point now);

// The batch for all other entry nodes of the data centre, in parts that fit
// datagrams of wire::max_datagram bytes with header and tag. Call it once an
// interval.
std::vector<wire::directory_update> make_batch(
    registrar& state, const directory_snapshot& view, base::time_point now);

// Announcements of all servers that this node hears, for an entry node that has
// just joined or lacks servers. The parts fit datagrams as those of
// `make_batch`.
std::vector<wire::directory_update> make_full_batch(
    registrar& state, const directory_snapshot& view, base::time_point now);

} // namespace oleanderhinge::membership
