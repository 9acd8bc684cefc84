// Settings of an agent.
//
// Example:
//   BOOST_LEAF_AUTO(values, settings::load("agent.ini", agent_keys()));
//   BOOST_LEAF_AUTO(options, load_options(values));
#pragma once

#include "oleanderhinge/agent/calls.hpp"
#include "oleanderhinge/agent/slots.hpp"
#include "oleanderhinge/chain/execution.hpp"
#include "oleanderhinge/settings/schema.hpp"
#include "oleanderhinge/settings/timing.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace oleanderhinge::agent
{

struct agent_options {
    base::vm_id vm;
    base::region_id region;
    base::data_centre_id data_centre;
    std::string cluster_secret;
    unsigned threads = 2;
    // Endpoints to bind, for TCP links and UDP announcements.
    wire::endpoint links;
    wire::endpoint announcements;
    wire::endpoint management;
    // UDP endpoints of the entry nodes that the agent knows at its start; it
    // learns others from their acknowledgments.
    std::vector<wire::endpoint> entry_nodes;

    base::backend_server_id server;
    base::route_kind kind = base::route_kind::model;
    // HTTP endpoint of the engine or service.
    wire::endpoint backend;
    // Name of the plain service; empty for an engine.
    std::string service;
    // Timeout of one step on the engine.
    base::duration step_limit = std::chrono::seconds(10);
    // Timeout of GET /v1/info, of an order and of freeing an attempt's state on
    // the engine. Short enough that two failed probes in a row end within 2 s.
    base::duration control_limit = std::chrono::milliseconds(700);

    settings::timing timing;
    chain::execution_limits execution;
    call_limits calls;
    // With a limit of 0, the number of slots starts at the engine's batch size
    // and adapts to the measured latency.
    slot_options slots;
    // Number of timeline events that are kept.
    std::size_t event_capacity = 4096;
};

// The settings that an agent reads: those of its node, its own and the timing
// constants.
settings::schema agent_keys();

// Fails with `out_of_range` if a setting has an unknown value or contradicts
// another one.
base::result<agent_options> load_options(const settings::values& values);

} // namespace oleanderhinge::agent
