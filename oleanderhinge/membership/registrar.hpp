// Registrars of an agent, and what a registrar passes on to the other entry
// nodes of its data centre (docs/design.md, 3.7).
//
// An agent announces itself to `registrar_count` entry nodes, chosen by
// rendezvous hashing over their UDP endpoints. Once a second each registrar
// sends the others one batch: full announcements of servers that are new or
// changed, and a short heartbeat with age and coarse load for each server that
// it hears. The first two registrars of a server send its heartbeat; the third
// takes over when it misses one of them, so one failure makes no entry expire.
// Each server's announcement is repeated in turn, which repairs lost datagrams.
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
// Registrars of a server that send its heartbeat to the other entry nodes.
inline constexpr std::size_t voucher_count = 2;

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
    // Setting announce.interval: one batch each.
    base::duration interval = std::chrono::seconds(1);
    // Setting announce.server_lease.
    base::duration server_lease = std::chrono::seconds(3);
    // Batches after which each announcement has been repeated. A receiver that
    // lacks a server asks for a full batch, so this only covers rare cases;
    // repeating each one every 10 s would double the batches.
    std::uint32_t repair_rounds = 60;
};

// Another registrar that sent the heartbeat of a server.
struct voucher {
    wire::endpoint node;
    base::time_point last;
};

// What was passed on about a server.
struct passed_on {
    // Digest of the parts that count as a change; zero before the first time.
    std::uint64_t digest = 0;
    std::vector<voucher> others;
};

struct registrar {
    registrar_options options;
    // Keys are those of wire::server_heartbeat.
    std::unordered_map<std::uint64_t, passed_on> servers;
    std::uint64_t round = 0;
    // Announcements that do not fit a datagram and were left out.
    std::uint64_t too_large = 0;
};

// Takes note of a batch that another entry node sent.
void note_batch(
    registrar& state,
    const wire::directory_update& batch,
    const wire::endpoint& sender,
    base::time_point now);

// The batch for all other entry nodes of the data centre, in datagrams of at
// most wire::max_datagram bytes with header and tag. Call it once an interval.
std::vector<wire::directory_update> make_batch(
    registrar& state, const directory_snapshot& view, base::time_point now);

// Announcements of all servers that this node hears, in datagrams, for an
// entry node that has just joined.
std::vector<wire::directory_update> make_full_batch(
    registrar& state, const directory_snapshot& view, base::time_point now);

} // namespace oleanderhinge::membership
