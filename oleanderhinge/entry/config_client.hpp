// The configuration of an entry node: subscribes to control or to another
// entry node, keeps the newest revision and says whether it may be served.
//
// Example:
//   config_client config{links, options, events, now};
//   config.tick(now);                       // connects and watches the lease
//   auto active = config.current();         // null before the first update
//   auto decision = config.may_serve(route, now);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/membership/config_view.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::entry
{

// A configuration with an index of the credentials.
struct active_configuration {
    std::shared_ptr<const wire::configuration> config;
    // Customer by the SHA-256 of the bearer token, in hexadecimal.
    std::unordered_map<std::string, base::customer_id> credentials;
};

struct config_client_options {
    // Link ports of the control VMs.
    std::vector<wire::endpoint> control;
    base::vm_id vm;
    // Where this node accepts subscribers itself.
    wire::endpoint listen;
    membership::config_view_options view;
    // Without a confirm for this long, another parent is tried.
    base::duration parent_silence = std::chrono::seconds(3);
    base::duration reconnect_delay = std::chrono::milliseconds(200);
    std::uint64_t seed = 0;
};

// Thread-safe.
class config_client
{
public:
    config_client(
        net::link_table& links,
        config_client_options options,
        timeline::recorder& events);

    // Commands.

    // Connects if there is no parent and reports the end of the lease. Call it
    // a few times a second.
    void tick(base::time_point now);
    void on_opened(net::link_id link);
    // True if the message was for this component and came from its parent.
    bool on_message(net::link_id link, const wire::message& content);
    void on_closed(net::link_id link, base::time_point now);
    // Takes the highest revision that agents report.
    void note_reported(base::revision reported, base::time_point now);

    // Queries.

    std::shared_ptr<const active_configuration> current() const;
    membership::serve_decision
    may_serve(const wire::route& route, base::time_point now) const;
    membership::config_readiness readiness(base::time_point now) const;
    base::revision revision() const;
    std::uint32_t age_ms(base::time_point now) const;

private:
    void connect(base::time_point now);
    // Carries out actions of the view; called with the lock held and returns
    // whether the parent must be left.
    bool note(const std::vector<membership::config_action>& actions);
    void rebuild_index();

    net::link_table& links;
    const config_client_options options;
    timeline::recorder& events;

    mutable std::mutex mutex;
    membership::config_view view;
    std::shared_ptr<const active_configuration> active;
    base::random_source random;
    std::optional<net::link_id> parent;
    // Endpoints to try before the list of control VMs, from redirects.
    std::deque<wire::endpoint> candidates;
    std::size_t next_control = 0;
    base::time_point connect_at;
    base::time_point last_confirm;
};

} // namespace oleanderhinge::entry
