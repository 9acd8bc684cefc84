// The control daemon as an object: links, admin API and management port on
// top of a replicated log.
//
// Example:
//   service control{io, clock, options, make_log};
//   BOOST_LEAF_CHECK(control.start());
//   run_process(io, ...);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control/claim_messages.hpp"
#include "oleanderhinge/control/extension.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/timeline/hybrid_clock.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

struct service_options {
    // Links; `link.self` identifies this node.
    net::link_options link;
    // Port 0 chooses a port; see `endpoints`.
    wire::endpoint link_listen;
    wire::endpoint admin_listen;
    wire::endpoint management_listen;
    std::string admin_token;
    // Members to connect to while the log does not know any.
    std::vector<replica::member> initial_members;
    // Direct subscribers of this node.
    std::size_t fanout = 8;
    base::duration confirm_interval = std::chrono::seconds(1);
    // Without a quorum for this long, subscribers are sent to other nodes.
    base::duration config_lease = std::chrono::seconds(5);
    base::duration plan_retention = std::chrono::hours(24);
    base::duration expire_interval = std::chrono::minutes(1);
    claim_limits claims;
    std::size_t timeline_events = 16384;
    // Wall clock in milliseconds, for the time in commands.
    std::function<std::uint64_t()> wall_ms;
    // Plan ids for clients that choose none.
    std::function<std::string()> new_plan_id;
    std::uint64_t seed = 1;
    // Nodes that find the group by seeds admit themselves, and members that
    // are lost are replaced; see control/group.hpp.
    bool self_managed = false;
    // Members that may be lost at once; a self-managed group keeps enough.
    std::uint32_t tolerated_losses = 1;
    // May be empty: no calls besides the admin API, no orders.
    std::function<net::http_handler(operations, net::http_handler admin)>
        extend_admin;
    order_sender give_order;
    load_reader read_load;
};

// Sends a consensus message to another member; it may be lost.
using consensus_sender =
    std::function<void(const base::vm_id& to, wire::consensus_message)>;

// A replicated log with the entry for messages of the other members.
struct consensus_port {
    std::unique_ptr<replica::replicated_log> log;
    // May be empty for a log that uses no links.
    std::function<void(const base::vm_id& from, wire::consensus_message)>
        receive;
    // Lets another member lead before this one ends; `done` runs when this
    // node does not lead any more or the attempt has failed. May be empty.
    std::function<void(std::function<void()> done)> hand_over;
};

using log_factory =
    std::function<consensus_port(replica::state_machine, consensus_sender)>;

struct service_endpoints {
    wire::endpoint link;
    wire::endpoint admin;
    wire::endpoint management;
};

// Thread-safe. Must outlive the run of the io_context.
class service
{
public:
    service(
        boost::asio::io_context& io,
        timeline::hybrid_clock& clock,
        service_options options,
        const log_factory& make_log);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    // Opens the ports and starts the timers. Fails with `io`.
    base::result<service_endpoints> start();
    // Sends subscribers to other nodes and takes no new admin connections.
    void begin_drain();
    // True when no admin request is in progress and another node leads.
    bool drained() const;
    // Closes everything.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> state;
};

} // namespace oleanderhinge::control
