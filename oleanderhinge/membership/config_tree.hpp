// The tree over which the configuration is distributed (docs/design.md, 3.6).
//
// Control nodes are the roots. Each node feeds at most `fan_out` children and
// redirects further subscribers to its children. A new child gets the whole
// configuration once, afterwards the changes; once a second it gets a confirm
// with the age of our own evidence, which adds our holding time.
//
// No cycles: `subscribe` names the VMs below the sender, and is sent again when
// they change. A node that finds itself among them refuses the subscriber, so a
// cycle of any length, also one that two nodes close at the same moment, is cut
// as soon as the names have gone round. Until then it does no harm, since ages
// inside it only grow. A node without a lease accepts no subscriber.
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
    // Redirects followed before the roots are tried again.
    std::size_t max_redirects = 16;
};

struct tree_child {
    base::vm_id vm;
    wire::endpoint listen;
    std::vector<base::vm_id> below;
    // Revision that the child has once it has read what was sent.
    base::revision sent;
    // Subscribers sent there since its last `subscribe`.
    std::size_t assigned = 0;
};

enum class parent_state : std::uint8_t {
    none,
    // `tree_connect` was returned; `note_connecting` follows.
    wanted,
    connecting,
    subscribed,
};

struct config_tree {
    config_tree_options options;
    std::map<peer_link, tree_child> children;
    parent_state parent = parent_state::none;
    // Meaningful while connecting or subscribed.
    peer_link parent_link;
    // Endpoints from a redirect, tried before the roots.
    std::deque<wire::endpoint> candidates;
    std::size_t next_root = 0;
    std::uint32_t failures = 0;
    std::size_t redirects = 0;
    base::time_point next_try;
    // When the parent last gave us a valid lease, and how long we wait for the
    // next time before we leave it.
    base::time_point useful_at;
    base::duration patience{0};
};

// Connect to the endpoint, then call `note_connecting` with the link.
struct tree_connect {
    wire::endpoint to;
};

struct tree_send {
    std::vector<peer_link> to;
    wire::message content;
};

// Close the link. Do not report it by `on_link_closed`.
struct tree_close {
    peer_link link;
};

using tree_action = std::variant<tree_connect, tree_send, tree_close>;
using tree_actions = std::vector<tree_action>;

// --- Parent -----------------------------------------------------------------

// Starts and ends the search for a parent. Call it a few times a second.
tree_actions tick(
    config_tree& tree,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

// The link of the last `tree_connect`.
void note_connecting(config_tree& tree, peer_link link);

// The handshake on a link succeeded; returns nothing unless it is the parent's.
tree_actions on_link_opened(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

// A link of a parent or child is closed, or its connection failed.
tree_actions on_link_closed(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source& random,
    base::time_point now);

tree_actions on_redirect(
    config_tree& tree,
    peer_link link,
    const wire::subscribe_redirect& redirect,
    base::random_source& random,
    base::time_point now);

// To be called with the result of `apply_update` and `apply_confirm` on a
// message of the parent: forwards changes, asks for a full configuration, and
// leaves a parent that is behind. Messages of other links must not reach the
// view; see `is_parent`.
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

tree_actions on_subscribe(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now);

// Sends `update`, which led to the configuration of `view`, to the children;
// those that do not have its start get the whole configuration. For a root;
// other nodes use `after_update`.
tree_actions forward(
    config_tree& tree,
    const config_view& view,
    const wire::config_update& update);

// Confirms for all children. Call it once each config.confirm_interval.
tree_actions make_confirms(
    const config_tree& tree, const config_view& view, base::time_point now);

// --- Queries ----------------------------------------------------------------

bool is_parent(const config_tree& tree, peer_link link);

// VMs below this node, sorted.
std::vector<base::vm_id> below(const config_tree& tree);

} // namespace oleanderhinge::membership
