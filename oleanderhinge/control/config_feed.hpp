// Decides which configuration messages go to the subscribers of this node.
//
// Performs no I/O: the functions update the feed and return the messages to
// send.
//
// Example:
//   config_feed feed{.fanout = 8};
//   send_all(subscribe(feed, link, request, state, other_nodes));
//   send_all(confirm(feed, state, age_ms));
#pragma once

#include "oleanderhinge/control_state/state.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace oleanderhinge::control
{

struct subscriber {
    // Revision that was sent last.
    base::revision sent;
    // Endpoint at which the subscriber accepts subscribers itself; port 0 if it
    // accepts none.
    wire::endpoint listen;
};

struct config_feed {
    std::size_t fanout = 8;
    std::map<net::link_id, subscriber> subscribers;
    // Number of redirects so far. Each names another subscriber first.
    std::size_t redirects = 0;
};

// One message for several links.
struct outgoing {
    std::vector<net::link_id> to;
    wire::message content;
};

// Adds a subscriber, or updates one that subscribes again, and sends it the
// changes since its revision. A new subscriber above the fanout is redirected:
// to the present subscribers that accept subscribers, starting with the next
// one each time, else to `others`.
std::vector<outgoing> subscribe(
    config_feed& feed,
    net::link_id link,
    const wire::subscribe& request,
    const control_state::state& from,
    const std::vector<wire::endpoint>& others);

// Returns updates for the subscribers that were not sent the present revision.
std::vector<outgoing>
publish(config_feed& feed, const control_state::state& from);

// Returns updates, then a confirmation of the present revision for all
// subscribers. `age_ms` is the time since the revision was known to be the
// newest.
std::vector<outgoing> confirm(
    config_feed& feed, const control_state::state& from, std::uint32_t age_ms);

// Redirects all subscribers to `others` and removes them.
std::vector<outgoing>
redirect_all(config_feed& feed, const std::vector<wire::endpoint>& others);

// Removes the subscriber of a closed link, if there is one.
void remove_subscriber(config_feed& feed, net::link_id link);

} // namespace oleanderhinge::control
