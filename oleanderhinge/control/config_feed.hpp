// Decides which configuration messages go to the subscribers of this node.
//
// Pure: the functions change the feed and return the messages to send.
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
    // Where the subscriber takes subscribers itself.
    wire::endpoint listen;
};

struct config_feed {
    std::size_t fanout = 8;
    std::map<net::link_id, subscriber> subscribers;
    // Redirects so far; the first child that is named changes with each one.
    std::size_t redirects = 0;
};

// One message for several links.
struct outgoing {
    std::vector<net::link_id> to;
    wire::message content;
};

// A new subscriber, or one that asks again. Above the fanout it is redirected
// to the present subscribers in turn, and to `others` if there is none.
std::vector<outgoing> subscribe(
    config_feed& feed,
    net::link_id link,
    const wire::subscribe& request,
    const control_state::state& from,
    const std::vector<wire::endpoint>& others);

// Updates for the subscribers that do not have the present revision.
std::vector<outgoing>
publish(config_feed& feed, const control_state::state& from);

// Updates, then a confirmation of the present revision for all. `age_ms` is
// the time since the revision was known to be the newest.
std::vector<outgoing> confirm(
    config_feed& feed, const control_state::state& from, std::uint32_t age_ms);

// Sends all subscribers to other nodes and forgets them.
std::vector<outgoing>
dismiss(config_feed& feed, const std::vector<wire::endpoint>& others);

// The link is closed.
void forget(config_feed& feed, net::link_id link);

} // namespace oleanderhinge::control
