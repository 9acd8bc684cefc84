// The gateway daemon: the HTTP server for callers, the links to control and the
// management server.
//
// Runs on one thread, since machines give it a fraction of a core. All state is
// used on that thread without locks.
//
// Example:
//   gateway_node node(io, settings, protocol);
//   BOOST_LEAF_CHECK(node.start());
//   return net::run_process(io, node.process_options());
#pragma once

#include "oleanderhinge/gateway/control_client.hpp"
#include "oleanderhinge/gateway/forwarder.hpp"
#include "oleanderhinge/gateway/settings.hpp"
#include "oleanderhinge/net/caller_metrics.hpp"
#include "oleanderhinge/net/descriptors.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/net/process.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace oleanderhinge::gateway
{

class gateway_node
{
public:
    gateway_node(
        boost::asio::io_context& io,
        gateway_settings options_in,
        protocol_adapter protocol);
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    // Opens the ports and starts the timer. Fails with `io` if a port cannot be
    // opened.
    base::result<void> start();
    // Where callers connect, with the port that was given for port 0. Valid
    // after `start`.
    const wire::endpoint& callers_endpoint() const { return this->listening; }
    // Replaces the seeds by those of changed settings; other changes need a
    // restart.
    void reload(const gateway_settings& changed);
    // Options for `net::run_process`, which call back into this object.
    net::process_options process_options();

private:
    net::link_options link_options() const;
    net::link_events link_events();
    control_client_options control_options() const;
    control_events make_control_events();
    net::descriptor_parts descriptors() const;
    net::http_limits caller_limits() const;
    net::management_options management_options();
    void on_servers(const wire::server_batch& batch);
    wire::crash_evidence on_evidence(const wire::crash_evidence& received);
    void schedule_tick();
    net::readiness readiness() const;
    void begin_drain();

    boost::asio::io_context& io;
    const gateway_settings options;
    const protocol_adapter protocol;
    const base::incarnation process_incarnation;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    metrics stats;
    server_selector selector;
    fleet::crash_quarantine quarantine;
    net::link_table links;
    control_client control;
    forwarder forward;
    net::caller_metrics caller_numbers;
    net::http_server callers;
    wire::endpoint listening;
    net::http_server management;
    std::vector<std::unique_ptr<net::http_server>> metrics_pages;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer leave_timer;
    bool draining = false;
    // The drain has reached the point at which new connections are refused.
    bool accepting_stopped = false;
    bool stopped = false;
};

} // namespace oleanderhinge::gateway
