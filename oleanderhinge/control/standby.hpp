// A control node on a VM without a disk.
//
// It cannot be a member of the group, because it would lose entries that it has
// acknowledged. It refuses every call as `not_run`, so that callers try the
// next node.
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
    void stop();

private:
    const service_options options;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    net::http_server admin;
    net::http_server management;
};

} // namespace oleanderhinge::control
