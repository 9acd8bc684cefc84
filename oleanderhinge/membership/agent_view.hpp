// Which entry nodes an agent announces itself to.
//
// The agent knows the seeds from its settings and the entry nodes that
// acknowledgments name. It announces to the three registrars that rendezvous
// hashing chooses among those that answer, and now and then to one that did
// not answer, to notice its return.
//
// Example:
//   for (auto& to : announce_to(view, now)) udp.send(to, announcement);
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
    base::duration retry = std::chrono::seconds(5);
    // A node that is not a seed is forgotten when no acknowledgment named it
    // for this long. Acknowledgments name 3 nodes in turn, all 17 of a data
    // centre of the design size in 6 s.
    base::duration forget = std::chrono::seconds(30);
    std::size_t max_nodes = 512;
};

struct entry_node_state {
    bool seed = false;
    base::time_point named;
    // Oldest announcement without an answer; meaningful while `waiting`.
    base::time_point waiting_since;
    bool waiting = false;
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

// Endpoints that the next announcement goes to. Call it for each announcement.
std::vector<wire::endpoint> announce_to(agent_view& view, base::time_point now);

// Takes the answer to an announcement. `from` is the endpoint it came from.
void apply_ack(
    agent_view& view,
    const wire::announcement_ack& ack,
    const wire::endpoint& from,
    base::time_point now);

// Number of nodes that were sent an announcement and answer.
std::size_t answering(const agent_view& view, base::time_point now);

} // namespace oleanderhinge::membership
