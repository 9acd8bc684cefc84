// A control node on a VM without a disk.
//
// It cannot be a member of the group, because it would lose entries that it has
// acknowledged. It redirects every call to the members or, while it knows none,
// to the nodes that its settings name, in turn. If they name none, it refuses
// the calls as `not_run`, so that callers try the next node.
//
// Settings of other nodes may name only standbys as seeds. So it links to the
// members, passes their list on to the gateways and control nodes that connect
// to it, and forwards requests for admission.
//
// Example:
//   standby node(io, options);
//   BOOST_LEAF_CHECK(node.start());
//   return net::run_process(io, ...);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/control/peer_table.hpp"
#include "oleanderhinge/control/service.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include <map>

namespace oleanderhinge::control
{

// Used by one thread, that of the io_context.
class standby
{
public:
    standby(boost::asio::io_context& context, service_options chosen);
    standby(const standby&) = delete;
    standby& operator=(const standby&) = delete;

    // Opens the ports; the link port only if the options name one. Fails with
    // `io`.
    base::result<service_endpoints> start();
    // Replaces the nodes by those of changed settings.
    void set_seeds(std::vector<replica::member> changed);
    void stop();

private:
    boost::asio::awaitable<void>
    answer(const net::http_request& request, net::http_exchange& exchange);
    // Admin endpoints to redirect calls to.
    std::vector<wire::endpoint> targets(base::time_point now) const;

    net::link_events link_handlers();
    void schedule();
    void connect_nodes(base::time_point now);
    void on_opened(net::link_id link, const wire::hello& peer);
    void on_message(net::link_id link, const wire::message& content);
    void forward(const wire::join_request& request);
    // Sends the members' list to all who are not members.
    void relay_group(base::time_point now);

    const service_options options;
    std::vector<replica::member> seeds;
    std::size_t redirects = 0;
    bool stopped = false;
    timeline::hybrid_clock clock;
    timeline::recorder events;
    prometheus::Registry registry;
    boost::asio::io_context& io;
    boost::asio::steady_timer timer;
    base::random_source random;
    const base::time_point started;
    peer_table peers;
    group_news news;
    std::map<net::link_id, wire::hello> open_links;
    net::link_table links;
    net::http_server admin;
    net::http_server management;
};

} // namespace oleanderhinge::control
