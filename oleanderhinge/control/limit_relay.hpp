// The limits of servers that a member of control knows, and which gateways are
// to be sent them.
//
// Gateways send changes to each member; the leader alone sends them to the
// other gateways. It also sends all limits when it begins to lead, as the
// previous leader may not have sent the latest changes, and then at an
// interval.
//
// Performs no I/O.
//
// Example:
//   log(apply(relay, link, statements, now));
//   // each tick
//   for (auto& [to, content] : take_messages(relay, gateways, leads, now))
//       links.send(to, content);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/fleet/server_limits.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <map>
#include <vector>

namespace oleanderhinge::control
{

struct limit_relay {
    fleet::limit_table limits;
    // Servers whose limit has changed since the last messages, with the link of
    // the gateway that stated it.
    std::map<base::backend_server_id, net::link_id> changed;
    // All limits are due again.
    base::time_point next_all;
    bool leads = false;
};

struct limit_message {
    std::vector<net::link_id> to;
    wire::server_limits content;
};

// --- Commands ---------------------------------------------------------------

// Applies what a gateway has sent. Returns the statements that changed a limit.
std::vector<wire::server_limit> apply(
    limit_relay& relay,
    net::link_id from,
    const wire::server_limits& stated,
    base::time_point now);

// Returns the messages that are due, none unless `leads`. A gateway is not sent
// a change that it has stated itself. Forgets limits that nobody confirms.
std::vector<limit_message> take_messages(
    limit_relay& relay,
    const std::vector<net::link_id>& gateways,
    bool leads,
    base::time_point now);

// --- Queries ----------------------------------------------------------------

// All limits, also those that ended lately, for a gateway that has connected.
std::vector<wire::server_limits>
all_statements(const limit_relay& relay, base::time_point now);

// Divides the items over messages of about `max_batch_bytes`, none if there are
// no items. An item that does not fit by itself is left out.
std::vector<wire::server_limits> split(const wire::server_limits& all);
std::vector<wire::permit_grant> split(const wire::permit_grant& all);

} // namespace oleanderhinge::control
