// The gateway daemon as an object: callers' HTTP, links to control, management.
//
// One thread runs it: the machines give it a fraction of a core, and all state
// is used on that thread without locks.
//
// Example:
//   gateway_node node(io, chosen, speak);
//   BOOST_LEAF_CHECK(node.start());
//   return net::run_process(io, node.process_options());
#pragma once

#include "oleanderhinge/gateway/control_client.hpp"
#include "oleanderhinge/gateway/forwarder.hpp"
#include "oleanderhinge/gateway/settings.hpp"
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
        boost::asio::io_context& io, gateway_settings chosen, dialect protocol);
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    // Opens the ports. Fails with `io`.
    base::result<void> start();
    // Takes the seeds of changed settings; other settings need a restart.
    void reload(const gateway_settings& changed);
    net::process_options process_options();

private:
    net::link_options link_options() const;
    net::link_events link_events();
    control_client_options control_options() const;
    control_events make_control_events();
    net::http_limits caller_limits() const;
    net::management_options management_options();
    void on_servers(const wire::server_batch& batch);
    void schedule_tick();
    net::readiness readiness() const;
    void begin_drain();

    boost::asio::io_context& io;
    const gateway_settings options;
    const dialect protocol;
    const base::incarnation self;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    metrics stats;
    server_selector selector;
    net::link_table links;
    control_client control;
    forwarder forward;
    net::http_server callers;
    net::http_server management;
    std::vector<std::unique_ptr<net::http_server>> metrics_pages;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer leave_timer;
    bool draining = false;
    // New connections are not taken any more.
    bool closed = false;
    bool stopped = false;
};

} // namespace oleanderhinge::gateway
