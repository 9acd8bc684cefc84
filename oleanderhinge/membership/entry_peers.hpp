// How the entry nodes of a data centre learn of each other.
//
// A node starts with seeds from its settings. It sends heartbeats by UDP to
// the seeds and to each node it has heard of, and learns further nodes from
// the heartbeats it gets. A node counts as alive for one lease after it was
// heard. Directory batches count as heartbeats, so that a busy registrar
// seldom sends one.
//
// Example:
//   for (auto& action : tick(peers, now))
//       if (auto* send = std::get_if<send_heartbeat>(&action))
//           udp.send(send->to, send->content);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace oleanderhinge::membership
{

struct entry_peers_options {
    wire::entry_peer self;
    base::incarnation own_incarnation;
    base::data_centre_id data_centre;
    // UDP endpoints of entry nodes of the same data centre; may hold our own.
    std::vector<wire::endpoint> seeds;
    // Setting announce.interval.
    base::duration interval = std::chrono::seconds(1);
    // Setting announce.server_lease.
    base::duration lease = std::chrono::seconds(3);
    // Longest time between heartbeats to a node that gets batches.
    base::duration largest_interval = std::chrono::seconds(5);
    // A node that is not a seed is forgotten after this time without a sign of
    // life.
    base::duration forget = std::chrono::seconds(60);
    // Bounds the memory; further nodes are ignored.
    std::size_t max_peers = 512;
};

struct peer_state {
    wire::entry_peer id;
    base::incarnation peer_incarnation;
    base::time_point heard;
    base::time_point last_heartbeat_sent;
    base::time_point last_batch_sent;
    base::time_point directory_asked;
    bool leaving = false;
    bool alive = false;
};

// An endpoint at which no node has answered yet.
struct probe_state {
    base::time_point since;
    base::time_point last_sent;
    bool seed = false;
};

struct entry_peers {
    entry_peers_options options;
    std::map<base::vm_id, peer_state> peers;
    std::map<wire::endpoint, probe_state> probes;
    // Set by `leave`.
    bool leaving = false;
    // Position in `peers` from which the next heartbeat names nodes.
    std::size_t next_known = 0;
    bool started = false;
    std::uint64_t foreign_data_centre = 0;
};

struct send_heartbeat {
    wire::endpoint to;
    wire::entry_heartbeat content;
};

// A node is alive that was not, was restarted or lacks servers; send it a full
// batch.
struct peer_joined {
    wire::entry_peer peer;
};

// A node was not heard for one lease, or is leaving.
struct peer_left {
    wire::entry_peer peer;
};

using peer_action = std::variant<send_heartbeat, peer_joined, peer_left>;

// Takes a heartbeat.
std::vector<peer_action> apply_heartbeat(
    entry_peers& peers,
    const wire::entry_heartbeat& item,
    base::time_point now);

// A directory batch arrived from a node; it counts as a sign of life.
void note_batch_received(
    entry_peers& peers, const base::vm_id& sender, base::time_point now);

// A batch of the node held heartbeats of servers that are not known here (see
// shared_directory::unknown_in): asks it for a full batch, at most once in two
// intervals.
std::vector<peer_action> ask_directory(
    entry_peers& peers, const base::vm_id& sender, base::time_point now);

// A directory batch is being sent to all live nodes.
void note_batch_sent(entry_peers& peers, base::time_point now);

// Sends due heartbeats and drops silent nodes. Call it a few times a second.
std::vector<peer_action> tick(entry_peers& peers, base::time_point now);

// This node shuts down: tells all others at once.
std::vector<peer_action> leave(entry_peers& peers);

// --- Queries ----------------------------------------------------------------

// Other nodes that are alive and not leaving.
std::vector<wire::entry_peer> live_peers(const entry_peers& peers);

// UDP endpoints of all live nodes with this one, unless it is leaving; for
// rendezvous hashing.
std::vector<wire::endpoint> live_endpoints(const entry_peers& peers);

// Endpoints to state in the acknowledgment of an announcement: `ack_endpoints`
// of them, others with each sequence. All 17 of a data centre of the design
// size in each acknowledgment would take 266 bytes more.
inline constexpr std::size_t ack_endpoints = 3;
std::vector<wire::endpoint>
endpoints_for_ack(const entry_peers& peers, std::uint64_t sequence);

} // namespace oleanderhinge::membership
