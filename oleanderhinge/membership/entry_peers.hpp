// Discovery and failure detection among the entry nodes of a data centre.
//
// A node starts with seeds from its settings. It sends heartbeats by UDP to the
// seeds and to each node that it knows, and learns of further nodes from the
// heartbeats that it receives. A node counts as alive for one lease after it
// was last heard. Directory batches count as heartbeats, so that a node that
// sends them needs few heartbeats.
//
// Not thread-safe.
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
    // UDP endpoints of entry nodes of the same data centre; may include that of
    // this node.
    std::vector<wire::endpoint> seeds;
    // Setting announce.interval.
    base::duration interval = std::chrono::seconds(1);
    // Setting announce.server_lease.
    base::duration lease = std::chrono::seconds(3);
    // Maximum time between heartbeats to a node that receives batches.
    base::duration max_heartbeat_interval = std::chrono::seconds(5);
    // A node that is not a seed is removed when it was not heard for this long.
    base::duration peer_retention = std::chrono::seconds(60);
    // Further nodes are ignored, which bounds the memory.
    std::size_t max_peers = 512;
};

struct peer_state {
    wire::entry_peer id;
    base::incarnation peer_incarnation;
    base::time_point heard;
    base::time_point last_heartbeat_sent;
    base::time_point last_batch_sent;
    base::time_point directory_requested_at;
    bool leaving = false;
    bool alive = false;
};

// An endpoint to which heartbeats are sent although no live node is known
// there.
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
    // Index, modulo the number of live peers, of the first node that the next
    // heartbeat names.
    std::size_t next_known = 0;
    bool started = false;
    // Heartbeats of other data centres, which are ignored.
    std::uint64_t foreign_data_centre_heartbeats = 0;
};

struct send_heartbeat {
    wire::endpoint to;
    wire::entry_heartbeat content;
};

// A node became alive, was restarted, changed its endpoint or requested the
// directory. Send it a full batch.
struct peer_joined {
    wire::entry_peer peer;
};

// A node was not heard for one lease, or announced that it leaves.
struct peer_left {
    wire::entry_peer peer;
};

using peer_action = std::variant<send_heartbeat, peer_joined, peer_left>;

// Applies a heartbeat of another node. Heartbeats of this node and of other
// data centres are ignored.
std::vector<peer_action> apply_heartbeat(
    entry_peers& peers,
    const wire::entry_heartbeat& item,
    base::time_point now);

// Records a directory batch that a node sent, which extends its lease if it is
// alive.
void note_batch_received(
    entry_peers& peers, const base::vm_id& sender, base::time_point now);

// Requests a full batch from a node, at most once in two intervals. Call it
// when a batch of the node contained heartbeats of unknown servers (see
// shared_directory::count_unknown_heartbeats).
std::vector<peer_action> request_directory(
    entry_peers& peers, const base::vm_id& sender, base::time_point now);

// Records that a directory batch is sent to all live nodes.
void note_batch_sent(entry_peers& peers, base::time_point now);

// Sends due heartbeats, and marks nodes as dead that were not heard for one
// lease. Call it a few times a second.
std::vector<peer_action> tick(entry_peers& peers, base::time_point now);

// Announces to all live nodes that this node shuts down. Afterwards it sends no
// more heartbeats by `tick`.
std::vector<peer_action> leave(entry_peers& peers);

// --- Queries ----------------------------------------------------------------

// Other nodes that are alive and not leaving.
std::vector<wire::entry_peer> live_peers(const entry_peers& peers);

// UDP endpoints of all live nodes, including this one unless it is leaving; for
// rendezvous hashing.
std::vector<wire::endpoint> live_endpoints(const entry_peers& peers);

// Endpoints for the acknowledgment of an announcement: at most `ack_endpoints`,
// different ones with each sequence. All 17 of a data centre of the design size
// would make each acknowledgment 266 bytes larger.
inline constexpr std::size_t ack_endpoints = 3;
std::vector<wire::endpoint>
endpoints_for_ack(const entry_peers& peers, std::uint64_t sequence);

} // namespace oleanderhinge::membership
