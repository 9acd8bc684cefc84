// The entry nodes to which an agent announces itself.
//
// The agent knows the seeds from its settings and the entry nodes named in
// acknowledgments. It announces itself to the three registrars that rendezvous
// hashing chooses among the nodes that answer. It also tries again, at every
// `retry_interval`, the nodes that would be registrars if they answered.
//
// Not thread-safe.
//
// Example:
//   for (auto& to : choose_announcement_targets(view, now))
//       udp.send(to, announcement);
//   apply_ack(view, ack, from, now);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace oleanderhinge::membership
{

struct agent_view_options {
    base::backend_server_id server;
    std::vector<wire::endpoint> seeds;
    // An entry node that did not answer for this long is replaced by the next
    // one. Setting announce.server_lease.
    base::duration lease = std::chrono::seconds(3);
    // Time between announcements to a node that does not answer.
    base::duration retry_interval = std::chrono::seconds(5);
    // A node that is not a seed is removed when no acknowledgment has named it
    // for this long. Each acknowledgment names 3 nodes in turn, which covers
    // all 17 of a data centre of the design size in 6 s.
    base::duration node_retention = std::chrono::seconds(30);
    std::size_t max_nodes = 512;
};

struct entry_node_state {
    bool seed = false;
    // When an acknowledgment last named the node or came from it.
    base::time_point last_named;
    // When the oldest unacknowledged announcement was sent; valid while
    // `awaiting_ack`.
    base::time_point awaiting_ack_since;
    bool awaiting_ack = false;
    base::time_point last_sent;
};

struct agent_view {
    agent_view_options options;
    std::map<wire::endpoint, entry_node_state> nodes;
    // Highest configuration revision that an entry node has stated; goes into
    // announcements.
    base::revision highest_config;
    bool started = false;
};

// Endpoints to which the next announcement must be sent, which are recorded as
// awaiting an acknowledgment. Call it once for each announcement.
std::vector<wire::endpoint>
choose_announcement_targets(agent_view& view, base::time_point now);

// Applies an acknowledgment received from the endpoint `from`. One for another
// server is ignored.
void apply_ack(
    agent_view& view,
    const wire::announcement_ack& ack,
    const wire::endpoint& from,
    base::time_point now);

// Number of nodes to which an announcement was sent, without those that have
// not acknowledged one for a lease.
std::size_t count_answering(const agent_view& view, base::time_point now);

} // namespace oleanderhinge::membership
