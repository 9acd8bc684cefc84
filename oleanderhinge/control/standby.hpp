// A control node on a VM without a disk.
//
// It cannot be a member of the group, because it would lose entries that it has
// acknowledged. It redirects every call to the nodes that its settings name, in
// turn. If they name none, it refuses the calls as `not_run`, so that callers
// try the next node.
//
// Example:
//   standby node(io, options);
//   BOOST_LEAF_CHECK(node.start());
//   return net::run_process(io, ...);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control/service.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

namespace oleanderhinge::control
{

class standby
{
public:
    standby(boost::asio::io_context& io, service_options options);
    standby(const standby&) = delete;
    standby& operator=(const standby&) = delete;

    // Opens the admin and the management port; there is no link port. Fails
    // with `io`.
    base::result<service_endpoints> start();
    // Replaces the nodes by those of changed settings. Call it on the thread of
    // the io_context.
    void set_seeds(const std::vector<replica::member>& seeds);
    void stop();

private:
    boost::asio::awaitable<void>
    answer(const net::http_request& request, net::http_exchange& exchange);

    const service_options options;
    // Admin endpoints of the other nodes that the settings name.
    std::vector<wire::endpoint> others;
    std::size_t redirects = 0;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    net::http_server admin;
    net::http_server management;
};

} // namespace oleanderhinge::control
