// Settings of the gateway daemon.
//
// Example:
//   BOOST_LEAF_AUTO(values, settings::load("gateway.ini", gateway_keys()));
//   BOOST_LEAF_AUTO(chosen, load_settings(values));
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/gateway/control_client.hpp"
#include "oleanderhinge/gateway/forwarder.hpp"
#include "oleanderhinge/settings/schema.hpp"
#include "oleanderhinge/settings/timing.hpp"

namespace oleanderhinge::gateway
{

// Schema with the sections node, gateway, control, retries, hedging, servers
// and management, and the timing settings that all daemons share.
settings::schema gateway_keys();

struct gateway_settings {
    base::vm_id vm;
    base::region_id region;
    base::data_centre_id data_centre;
    std::string cluster_secret;
    // Endpoint for callers.
    wire::endpoint listen;
    // Endpoint for health, metrics and events.
    wire::endpoint management;
    // Further endpoints of the management server, at fixed addresses for
    // metrics scrapers.
    std::vector<wire::endpoint> metrics;
    std::vector<wire::endpoint> seeds;
    settings::timing times;
    // New connections are still accepted for this time after SIGTERM, until the
    // load balancer has noticed that the node is not ready.
    base::duration leave_time = std::chrono::seconds(2);
    retry::shared_budget_options retries;
    retry::shared_budget_options hedges;
    base::duration max_backoff = no_backoff_limit;
    // Streams leave a server when it announces its end.
    bool move_streams_early = false;
    // Memory that the process may use, in bytes.
    std::size_t memory = default_memory_bytes;
    // Open descriptors that the process may have.
    std::size_t descriptors = 65536;
};

// Fails with `out_of_range` if a relation between settings is broken.
base::result<gateway_settings> load_settings(const settings::values& checked);

} // namespace oleanderhinge::gateway
