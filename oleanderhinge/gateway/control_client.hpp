// Client of control: keeps a link to every member of the control group, so that
// each member can send server records and the configuration on its own.
//
// The highest revision that any member has sent is in force. It stays in force
// when all links to control are lost. Which addresses are known is decided in
// control_members.hpp.
//
// Used on the gateway's thread only.
//
// Example:
//   control_client control(links, {.vm = vm, .seeds = seeds}, {
//       .configuration = [&](auto config) { ... },
//       .servers = [&](const auto& batch) { ... }});
//   control.tick(now);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/fleet/crash_quarantine.hpp"
#include "oleanderhinge/fleet/numbering.hpp"
#include "oleanderhinge/gateway/control_members.hpp"
#include "oleanderhinge/membership/config_view.hpp"
#include "oleanderhinge/net/link_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::gateway
{

// Back-off before a member is connected again: twice the time of a restart. A
// random part of up to the same length is added.
inline constexpr base::duration reconnect_wait = std::chrono::milliseconds(300);
// The subscription is sent again after this time without a confirm. Confirms
// come once a second.
inline constexpr base::duration resubscribe_after = std::chrono::seconds(4);

inline constexpr base::duration demand_interval =
    std::chrono::milliseconds(200);

struct control_client_options {
    base::vm_id vm;
    wire::endpoint listen;
    std::vector<wire::endpoint> seeds;
    membership::config_view_options view;
    std::uint64_t seed = 1;
};

struct control_events {
    // A higher revision has come into force.
    std::function<void(std::shared_ptr<const wire::configuration>)>
        configuration;
    std::function<void(const wire::server_batch&)> servers;
    // A server has reported again without a change.
    std::function<void(const base::backend_server_id&, base::time_point heard)>
        refreshed;
    std::function<void(
        const base::backend_server_id&, const wire::engine_load&)>
        load;
    // Another gateway suspects a server, since requests that depend on it make
    // no progress.
    std::function<void(const wire::server_suspicion&)> suspicion;
    // Applies evidence about crashes that a member has relayed, and returns
    // what contradicts it.
    std::function<wire::crash_evidence(const wire::crash_evidence&)> evidence;
    // All crashes known here, for a member to which a link has opened.
    std::function<wire::crash_evidence()> all_crashes;
    // Limits of servers that a member has relayed.
    std::function<void(const wire::server_limits&, base::time_point)> limits;
    // All limits known here, for a member to which a link has opened.
    std::function<wire::server_limits(base::time_point)> all_limits;
    // The demand to report; empty: none. Called at `demand_interval`, with open
    // links or without.
    std::function<std::optional<wire::permit_demand>(base::time_point)> demand;
    std::function<void(const wire::permit_grant&, base::time_point)> grant;
    // Number of gateways that a member has links to, this one included.
    std::function<void(std::uint32_t, base::time_point)> gateways;
};

class control_client
{
public:
    control_client(
        net::link_table& links,
        control_client_options options,
        control_events events);

    // --- Commands.

    // Connects and subscribes again when it is time. Call it a few times a
    // second.
    void tick(base::time_point now);
    void on_opened(net::link_id link, base::time_point now);
    void on_message(
        net::link_id link, wire::message&& content, base::time_point now);
    void on_closed(
        net::link_id link, net::close_reason reason, base::time_point now);
    // Reports to each connected member that requests that depend on the server
    // make no progress.
    void report_suspicion(const wire::endpoint& server);
    // Sends evidence about crashes to each connected member.
    void send_evidence(const wire::crash_evidence& news);
    // Sends limits of servers to each connected member.
    void send_limits(const wire::server_limits& limits);
    // Replaces the seeds; see control_members.hpp.
    void set_seeds(const std::vector<wire::endpoint>& seeds);

    // --- Queries.

    // True once control has confirmed a configuration as the newest one.
    bool has_confirmed_configuration() const { return this->view.confirmed; }
    base::revision revision() const;
    std::size_t known_nodes() const { return this->members.known.size(); }
    std::size_t open_links() const { return this->open_members.size(); }

private:
    // A member with an open link.
    struct open_member {
        base::time_point last_confirm;
        // The numbers of servers on this link.
        fleet::peer_numbering numbers;
    };

    void on_update(
        net::link_id link, wire::config_update&& update, base::time_point now);
    void on_group(const wire::control_group& group, base::time_point now);
    void on_loads(net::link_id link, const wire::server_loads& loads);
    void on_refresh(
        net::link_id link,
        const wire::server_refresh& refresh,
        base::time_point now);
    void send_unless_empty(net::link_id link, wire::crash_evidence&& evidence);
    void send_subscribe(net::link_id link, base::revision held_revision);
    void close(const std::vector<forgotten_node>& forgotten);
    void report_demand(base::time_point now);

    net::link_table& links;
    const control_client_options options;
    const control_events events;
    membership::config_view view;
    base::random_source random;
    control_members members;
    std::map<net::link_id, open_member> open_members;
    base::time_point next_demand;
};

} // namespace oleanderhinge::gateway
