// The control daemon: links, admin API and management port on top of a
// replicated log.
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
    // Port 0 lets the system choose a port; `start` returns it.
    wire::endpoint link_listen;
    wire::endpoint admin_listen;
    wire::endpoint management_listen;
    std::string admin_token;
    // Members to connect to while the log contains none. A self-managed node
    // also tries them when it has lost the quorum.
    std::vector<replica::member> initial_members;
    // Maximum number of direct subscribers of this node; further ones are
    // redirected to these. A self-managed group has no limit.
    std::size_t fanout = 8;
    // Bytes of large configuration updates that are sent a second.
    double bulk_rate = 50e6;
    base::duration confirm_interval = std::chrono::seconds(1);
    // After this time without a quorum, subscribers are redirected to other
    // members, unless the group is self-managed.
    base::duration config_lease = std::chrono::seconds(5);
    base::duration plan_retention = std::chrono::hours(24);
    base::duration expire_interval = std::chrono::minutes(1);
    claim_limits claims;
    std::size_t timeline_events = 16384;
    // Returns milliseconds since the Unix epoch, for the time in commands.
    std::function<std::uint64_t()> wall_ms;
    // Returns a unique plan id, for clients that choose none.
    std::function<std::string()> new_plan_id;
    std::uint64_t seed = 1;
    // Nodes that find the group by seeds ask to be admitted, and unreachable
    // members are removed; see control/group.hpp.
    bool self_managed = false;
    // Number of members that may fail at once. A self-managed group keeps
    // enough members to have a majority then.
    std::uint32_t tolerated_losses = 1;
    // Extensions by an adapter; see control/extension.hpp. Each may be empty:
    // then there are no calls besides the admin API, no orders or no queries of
    // the engines' load.
    std::function<net::http_handler(operations, net::http_handler admin)>
        extend_admin;
    order_sender send_order;
    load_reader read_load;
};

// Sends a consensus message to another member; it may be lost.
using consensus_sender =
    std::function<void(const base::vm_id& to, wire::consensus_message)>;

// A replicated log and the functions that connect it to this node.
struct consensus_port {
    std::unique_ptr<replica::replicated_log> log;
    // Passes a consensus message of another member to the log. May be empty for
    // a log that uses no links.
    std::function<void(const base::vm_id& from, wire::consensus_message)>
        receive;
    // Transfers leadership to another member before this node stops. `done`
    // runs when this node is not leader any more or the attempt has failed. May
    // be empty.
    std::function<void(std::function<void()> done)> transfer_leadership;
};

using log_factory =
    std::function<consensus_port(replica::state_machine, consensus_sender)>;

struct service_endpoints {
    wire::endpoint link;
    wire::endpoint admin;
    wire::endpoint management;
};

// Thread-safe. Must outlive every run of the io_context.
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
    // Replaces the initial members by those of changed settings. They are used
    // while the log contains no members, and by a self-managed node without a
    // quorum.
    void set_seeds(std::vector<replica::member> seeds);
    // Redirects all subscribers to other members and accepts no new admin
    // connections.
    void begin_drain();
    // True when no admin request is in progress and another node leads.
    bool drained() const;
    // Stops the timer and closes all ports, connections and links.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> state;
};

} // namespace oleanderhinge::control
