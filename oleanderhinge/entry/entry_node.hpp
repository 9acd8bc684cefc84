// The entry daemon. Connects links, datagrams, HTTP servers and a timer to the
// request service, the discovery of backend servers and the configuration.
//
// Example:
//   entry_node node{io, options};
//   BOOST_LEAF_CHECK(node.start());
//   return run_process(io, node.process_options());
#pragma once

#include "oleanderhinge/entry/claim_client.hpp"
#include "oleanderhinge/entry/config_client.hpp"
#include "oleanderhinge/entry/http_api.hpp"
#include "oleanderhinge/entry/request_service.hpp"
#include "oleanderhinge/entry/server_discovery.hpp"
#include "oleanderhinge/net/caller_metrics.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/net/process.hpp"
#include "oleanderhinge/net/udp_endpoint.hpp"
#include "oleanderhinge/settings/timing.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <vector>

namespace oleanderhinge::entry
{

struct entry_options {
    base::vm_id vm;
    place here;
    std::string cluster_secret;
    // TCP endpoint for other processes of the system.
    wire::endpoint link;
    // UDP endpoint for announcements.
    wire::endpoint announce;
    // HTTP endpoint for callers.
    wire::endpoint callers;
    // HTTP endpoint for health, metrics and events.
    wire::endpoint management;
    // Link endpoints of the control VMs.
    std::vector<wire::endpoint> control;
    // Announce endpoints of other entry nodes of the data centre.
    std::vector<wire::endpoint> peers;
    // Most entry nodes that get their configuration from this one.
    std::size_t fanout = 8;
    settings::timing times;
    // Most requests in progress at this node; more are refused.
    std::size_t max_in_progress = 2000;
    unsigned threads = 2;
};

// Schema of the daemon's INI file.
settings::schema entry_schema();
// Options from checked settings. Fails if settings::check_timing
// refuses the times.
base::result<entry_options> load_options(const settings::values& checked);

class entry_node
{
public:
    entry_node(boost::asio::io_context& io, entry_options options);
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    // Opens the ports and starts the timer. Fails if a port can't be opened.
    base::result<void> start();
    // Functions for run_process: drain, check of the drain, and stop.
    net::process_options process_options();

private:
    net::link_options make_link_options() const;
    net::link_events make_link_events();
    config_client_options make_config_options() const;
    server_discovery_options make_server_options() const;
    net::http_handler make_management();

    void on_link_message(net::link_id link, const wire::message& content);
    void
    on_link_closed(net::link_id link, net::close_reason reason, bool was_open);
    void on_datagram(const wire::message& content, const wire::endpoint& from);
    void on_announcement(
        const wire::announcement& message, const wire::endpoint& from);
    void schedule_tick();
    void tick();
    void update_gauges();
    net::readiness readiness() const;

    boost::asio::io_context& io;
    const entry_options options;
    const base::incarnation self;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    metrics counters;
    net::caller_metrics caller_counters;
    net::link_table links;
    net::udp_endpoint udp;
    router routes;
    server_discovery servers;
    agent_links agents;
    config_client config;
    claim_client claims;
    request_service requests;
    http_api api;
    net::http_server callers;
    net::http_server management;
    boost::asio::steady_timer timer;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopped{false};
};

} // namespace oleanderhinge::entry
