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
    // TCP links and UDP announcements; both are bound to these.
    wire::endpoint links;
    wire::endpoint announcements;
    wire::endpoint management;
    // Entry nodes (UDP) that are always told; others are learned.
    std::vector<wire::endpoint> entry_nodes;

    base::backend_server_id server;
    base::route_kind kind = base::route_kind::model;
    // HTTP endpoint of the engine or service.
    wire::endpoint backend;
    // Name of the plain service; empty for an engine.
    std::string service;
    // Longest time of one step on the engine.
    base::duration step_limit = std::chrono::seconds(10);
    // For GET /v1/info, orders and the release of requests. Two probes that
    // time out end within 2 s.
    base::duration control_limit = std::chrono::milliseconds(700);

    settings::timing timing;
    chain::execution_limits execution;
    call_limits calls;
    // A limit of 0 stands for the engine's batch.
    slot_options slots;
    std::size_t event_capacity = 4096;
};

// Keys of the agent's own sections, followed by the timing constants.
settings::schema agent_keys();

// Fails with `out_of_range` if settings contradict each other.
base::result<agent_options> load_options(const settings::values& values);

} // namespace oleanderhinge::agent
