// Receives the configuration of an entry node. Subscribes to a parent in the
// distribution tree (membership/config_tree.hpp), keeps the newest revision,
// decides whether a route may be served with it, and sends updates to the child
// nodes in the tree.
//
// Example:
//   config_client config{links, options, events};
//   config.tick(now);                       // connects and watches the lease
//   auto active = config.current();         // null before the first update
//   auto decision = config.may_serve(route, now);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/membership/config_tree.hpp"
#include "oleanderhinge/membership/config_view.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::entry
{

// A configuration with an index of its credentials. Immutable once published.
struct active_configuration {
    std::shared_ptr<const wire::configuration> config;
    // Customer by the SHA-256 of the bearer token, in hexadecimal.
    std::unordered_map<std::string, base::customer_id> credentials;
};

struct config_client_options {
    membership::config_tree_options tree;
    membership::config_view_options view;
    base::duration confirm_interval = std::chrono::seconds(1);
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

    // Connects to a parent if there is none, records the end of the lease, and
    // confirms the revision to children once in `confirm_interval`. Call it a
    // few times a second.
    void tick(base::time_point now);
    // A link was opened; it may be the one to the parent.
    void on_opened(net::link_id link, base::time_point now);
    // Handles messages of the distribution tree; false for all others.
    bool on_message(
        net::link_id link, const wire::message& content, base::time_point now);
    void on_closed(net::link_id link, base::time_point now);
    // Takes over the highest revision that agents have reported.
    void note_reported(base::revision reported, base::time_point now);

    // Queries.

    // The newest configuration; null before the first update.
    std::shared_ptr<const active_configuration> current() const;
    // Whether requests to `route` may be served now, and if not, the verdict
    // for the caller.
    membership::serve_decision
    may_serve(const wire::route& route, base::time_point now) const;
    membership::config_readiness readiness(base::time_point now) const;
    base::revision revision() const;
    // Milliseconds since control confirmed the configuration, rounded up; the
    // largest value if it was never confirmed.
    std::uint32_t age_ms(base::time_point now) const;

private:
    // Applies a message for which is_tree_message holds; with the lock held.
    membership::tree_actions handle_tree_message(
        net::link_id link, const wire::message& content, base::time_point now);
    // Call it without the lock.
    void perform(const membership::tree_actions& actions, base::time_point now);
    // Publishes an applied configuration with its index of credentials and
    // records changes of the lease; with the lock held.
    void
    apply_view_actions(const std::vector<membership::config_action>& actions);

    net::link_table& links;
    const base::duration confirm_interval;
    timeline::recorder& events;

    mutable std::mutex mutex;
    membership::config_view view;
    membership::config_tree tree;
    base::random_source random;
    base::time_point last_confirms;
    std::shared_ptr<const active_configuration> active;
};

} // namespace oleanderhinge::entry
