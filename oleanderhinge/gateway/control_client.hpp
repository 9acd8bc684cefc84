// The gateway's links to control: one to every member, so that each can tell
// of backend servers and of the configuration without the others.
//
// The highest revision that any member sends is in force and stays so: a
// gateway that has lost control goes on with it.
//
// Example:
//   control_client control(links, {.vm = vm, .seeds = seeds}, {
//       .configuration = [&](auto config) { ... },
//       .servers = [&](const auto& batch) { ... }});
//   control.tick(now);
#pragma once

#include "oleanderhinge/base/random.hpp"
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

// Wait before a member is connected again: the time of a restart, twice.
inline constexpr base::duration reconnect_wait = std::chrono::milliseconds(300);
// A subscription without a confirm for this long is asked for again; confirms
// come each second.
inline constexpr base::duration resubscribe_after = std::chrono::seconds(4);
// Members that are not in the newest group are forgotten after this time.
inline constexpr base::duration forget_after = std::chrono::seconds(30);

struct control_client_options {
    base::vm_id vm;
    wire::endpoint listen;
    std::vector<wire::endpoint> seeds;
    membership::config_view_options view;
    std::uint64_t seed = 1;
};

struct control_events {
    // A higher revision is in force.
    std::function<void(std::shared_ptr<const wire::configuration>)>
        configuration;
    std::function<void(const wire::server_batch&)> servers;
    std::function<void(const wire::server_loads&)> loads;
    // Another gateway saw work that stands still.
    std::function<void(const wire::server_suspicion&)> suspicion;
    // Gateways that share budgets with this one, itself included.
    std::function<void(std::uint32_t)> gateways;
};

// Used on the gateway's thread only.
class control_client
{
public:
    control_client(
        net::link_table& links,
        control_client_options options,
        control_events events);

    // --- Commands. `tick` runs a few times a second.
    void tick(base::time_point now);
    void on_opened(net::link_id link, base::time_point now);
    void on_message(
        net::link_id link, wire::message&& content, base::time_point now);
    void on_closed(
        net::link_id link, net::close_reason reason, base::time_point now);
    // Tells control that work stands still.
    void report_suspicion(const wire::endpoint& server);
    // The settings name other seeds.
    void use_seeds(const std::vector<wire::endpoint>& seeds);

    // --- Queries.

    // True once a configuration was confirmed as the newest one.
    bool was_confirmed() const { return this->view.confirmed; }
    base::revision revision() const;

private:
    struct member {
        std::optional<net::link_id> link;
        bool open = false;
        base::time_point next_attempt;
        base::time_point last_confirm;
        // When the group named it last.
        base::time_point named;
    };

    void on_update(
        net::link_id link, wire::config_update&& update, base::time_point now);
    void on_group(const wire::control_group& group, base::time_point now);
    void ask(net::link_id link, base::revision have);
    std::map<wire::endpoint, member>::iterator find(net::link_id link);

    net::link_table& links;
    const control_client_options options;
    const control_events events;
    membership::config_view view;
    base::random_source random;
    std::map<wire::endpoint, member> members;
};

} // namespace oleanderhinge::gateway
