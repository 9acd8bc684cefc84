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

// Sections node, gateway, control, retries and management, and the timing
// constants that all daemons share.
settings::schema gateway_keys();

struct gateway_settings {
    base::vm_id vm;
    base::region_id region;
    base::data_centre_id data_centre;
    std::string cluster_secret;
    // For callers.
    wire::endpoint listen;
    wire::endpoint management;
    // Second address of the management pages, fixed for scrapers.
    std::vector<wire::endpoint> metrics;
    std::vector<wire::endpoint> seeds;
    settings::timing times;
    // Time after SIGTERM in which new connections are still taken, until the
    // balancer has noticed that the node is not ready.
    base::duration leave_time = std::chrono::seconds(2);
    retry::budget_options retries;
};

// Fails with `out_of_range` if a relation between settings is broken.
base::result<gateway_settings> load_settings(const settings::values& checked);

} // namespace oleanderhinge::gateway
