// The tree over which the configuration is distributed (docs/design.md, 3.6).
//
// Control nodes are the roots. Each node sends updates to at most `fan_out`
// children and redirects further subscribers to them. A new child receives the
// whole configuration once and the changes afterwards. Once a second it
// receives a `config_confirm` with the age of the parent's last confirmation,
// which includes the time since the parent received that confirmation.
//
// Cycle detection: `subscribe` lists the descendants of the sender and is sent
// again when they change. A node that finds itself in the list refuses the
// subscriber. This breaks a cycle of any length, also one that two nodes close
// at the same moment, once the lists have travelled around it. Until then the
// cycle extends no lease, since the ages inside it only grow. A node without a
// lease accepts no subscriber.
//
// The functions do no I/O: they change the state and return the connections,
// messages and closes that the caller must carry out. Not thread-safe.
//
// Example:
//   for (auto& action : tick(tree, view, random, now)) run(action);
//   auto outcome = apply_update(view, update, now);
//   for (auto& action : after_update(tree, view, update, outcome, random, now))
//       run(action);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/membership/config_view.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace oleanderhinge::membership
{

// The value of a net::link_id.
using peer_link = base::strong<struct peer_link_tag, std::uint64_t>;

struct config_tree_options {
    base::vm_id self;
    // Link endpoint of this node, for redirects.
    wire::endpoint listen;
    // Link endpoints of the control nodes.
    std::vector<wire::endpoint> roots;
    // This node is a control node: it has children but no parent.
    bool is_root = false;
    std::size_t fan_out = 8;
    // Delay before the next parent is tried; doubles with each failure and is
    // spread over its upper half, so that the nodes below a lost parent do not
    // all try at once.
    base::duration backoff_min = std::chrono::milliseconds(100);
    base::duration backoff_max = std::chrono::seconds(3);
    // Consecutive redirects that are followed before the roots are tried again.
    std::size_t max_redirects = 16;
};

struct tree_child {
    base::vm_id vm;
    wire::endpoint listen;
    // VMs below the child, as listed in its last `subscribe`.
    std::vector<base::vm_id> descendants;
    // Revision of the last update sent; the child reaches it when it has read
    // what is on the link.
    base::revision sent_revision;
    // Subscribers redirected to the child since its last `subscribe`.
    std::size_t redirected_count = 0;
};

enum class parent_state : std::uint8_t {
    none,
    // `tree_connect` was returned; `note_connecting` follows.
    connect_requested,
    connecting,
    subscribed,
};

struct config_tree {
    config_tree_options options;
    std::map<peer_link, tree_child> children;
    parent_state parent = parent_state::none;
    // Set while connecting or subscribed.
    peer_link parent_link;
    // Endpoints from a redirect, tried before the roots.
    std::deque<wire::endpoint> candidates;
    std::size_t next_root = 0;
    // Failed attempts and redirects since the last valid lease; `redirects`
    // also restarts at 0 when a root is tried.
    std::uint32_t failures = 0;
    std::size_t redirects = 0;
    // No connection is requested before this time.
    base::time_point next_try;
    // When this node last had a valid lease after a message of the parent, or
    // when the link to the parent opened. The parent is left `parent_timeout`
    // later, which is random between one and two leases.
    base::time_point lease_seen_at;
    base::duration parent_timeout{0};
};

// Request to connect to the endpoint and call `note_connecting` with the link.
struct tree_connect {
    wire::endpoint to;
};

struct tree_send {
    std::vector<peer_link> to;
    wire::message content;
};

// Request to close the link, which must not be reported by `on_link_closed`.
struct tree_close {
    peer_link link;
};

using tree_action = std::variant<tree_connect, tree_send, tree_close>;
using tree_actions = std::vector<tree_action>;

// --- Parent -----------------------------------------------------------------

// Requests a connection to the next possible parent when the back-off has
// ended, and leaves a parent that gave no valid lease for `parent_timeout`.
// Returns nothing for a root. Call it a few times a second.
tree_actions tick(
    config_tree& tree,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

// Records the link on which the last `tree_connect` is carried out.
void note_connecting(config_tree& tree, peer_link link);

// The handshake on a link succeeded. Subscribes if it is the link to the
// parent; otherwise returns nothing.
tree_actions on_link_opened(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

// A link of a parent or child was closed by the other side, or its connection
// failed. Schedules another attempt with back-off if it was the parent's;
// reports the changed descendants to the parent if it was a child's.
tree_actions on_link_closed(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

// The parent refused the subscription and named other possible parents, which
// are tried in order. A redirect to a root is delayed by the back-off. Messages
// of other links are ignored.
tree_actions on_redirect(
    config_tree& tree,
    peer_link link,
    const wire::subscribe_redirect& redirect,
    base::random_source& random,
    base::time_point now);

// Call these with the result of `apply_update` or `apply_confirm` on a message
// of the parent. They forward changes to the children, request a full
// configuration, and leave a parent that is behind. Messages of other links
// must not be applied to the view; see `is_parent`.
tree_actions after_update(
    config_tree& tree,
    const config_view& view,
    const wire::config_update& update,
    const std::vector<config_action>& outcome,
    base::random_source& random,
    base::time_point now);
tree_actions after_confirm(
    config_tree& tree,
    const config_view& view,
    const std::vector<config_action>& outcome,
    base::random_source& random,
    base::time_point now);

// --- Children ---------------------------------------------------------------

// Accepts the sender as a child, updates the state of a child that subscribes
// again, or sends a redirect: to other roots if the subscription would close a
// cycle, if this node has no lease or if the sender is ahead; to the children
// if there are `fan_out` of them.
tree_actions on_subscribe(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now);

// Sends `update`, which led to the configuration of `view`, to the children.
// Those that were not sent its base revision get the whole configuration. For
// a root; other nodes use `after_update`.
tree_actions forward(
    config_tree& tree,
    const config_view& view,
    const wire::config_update& update);

// Confirms for all children that were sent the present revision. Call it once
// every config.confirm_interval.
tree_actions make_confirms(
    const config_tree& tree, const config_view& view, base::time_point now);

// --- Queries ----------------------------------------------------------------

bool is_parent(const config_tree& tree, peer_link link);

// VMs below this node, sorted and without duplicates.
std::vector<base::vm_id> descendants(const config_tree& tree);

} // namespace oleanderhinge::membership
