// Decides which configuration messages go to the subscribers of this node.
//
// Small updates are sent at once. Updates above `max_small_update` bytes are
// sent at `bulk_rate`, to subscribers of the own data centre first: a whole
// table for hundreds of subscribers would keep the machine's link busy for
// longer than the lease of the leader, whose heartbeats use the same link.
// Subscribers of several nodes state the revision that they got elsewhere, and
// are then not sent it again.
//
// Performs no I/O: the functions update the feed and return the messages to
// send.
//
// Example:
//   config_feed feed{.fanout = 8};
//   send_all(subscribe(feed, link, request, state, other_nodes, now));
//   send_all(publish(feed, state, now));  // a few times a second
//   send_all(confirm(feed, state, age_ms, now));
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/control_state/state.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oleanderhinge::control
{

// Largest update that is sent to all subscribers at once, in bytes.
inline constexpr std::size_t max_small_update = std::size_t(16) << 10;
// Time for which unused `bulk_rate` is saved up.
inline constexpr base::duration bulk_burst = std::chrono::milliseconds(100);

struct subscriber {
    // Revision that it has or was sent last; unset if it has none.
    std::optional<base::revision> sent;
    // Endpoint at which the subscriber accepts subscribers itself; port 0 if it
    // accepts none.
    wire::endpoint listen;
    // In the data centre of this node.
    bool nearby = false;
};

struct config_feed {
    std::size_t fanout = 8;
    std::map<net::link_id, subscriber> subscribers;
    // Number of redirects so far. Each names another subscriber first.
    std::size_t redirects = 0;
    // Bytes of large updates a second, over all subscribers.
    double bulk_rate = 50e6;
    // Bytes that may be sent now; below zero after a large update.
    double bulk_allowance = 0;
    base::time_point bulk_refilled;
    // Varies the order of large updates, so that nodes with the same
    // subscribers start with different ones.
    base::random_source random{1};
};

// One message for several links.
struct outgoing {
    std::vector<net::link_id> to;
    wire::message content;
};

// Adds a subscriber, or updates one that subscribes again, and returns the
// updates that are due. A new subscriber above the fanout is redirected:
// to the present subscribers that accept subscribers, starting with the next
// one each time, else to `others`.
std::vector<outgoing> subscribe(
    config_feed& feed,
    net::link_id link,
    const wire::subscribe& request,
    const control_state::state& from,
    const std::vector<wire::endpoint>& others,
    bool nearby,
    base::time_point now);

// Returns updates for the subscribers that were not sent the present revision,
// as far as `bulk_rate` allows. The others are sent it by later calls.
std::vector<outgoing> publish(
    config_feed& feed, const control_state::state& from, base::time_point now);

// Returns updates, then a confirmation of the present revision for the
// subscribers that were sent it. `age_ms` is the time since the revision was
// known to be the newest.
std::vector<outgoing> confirm(
    config_feed& feed,
    const control_state::state& from,
    std::uint32_t age_ms,
    base::time_point now);

// Redirects all subscribers to `others` and removes them.
std::vector<outgoing>
redirect_all(config_feed& feed, const std::vector<wire::endpoint>& others);

// Removes the subscriber of a closed link, if there is one.
void remove_subscriber(config_feed& feed, net::link_id link);

} // namespace oleanderhinge::control
