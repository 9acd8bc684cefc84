// The control nodes that a gateway knows, and when it connects to them.
//
// The control group owns the list of its members: each member that has a quorum
// sends it once a second. Until one has arrived, and again when none arrives
// any more, the gateway also tries the seeds of its settings. An address is
// forgotten only while lists arrive that do not contain it, so a gateway that
// is cut off keeps all of them for as long as that takes.
//
// Performs no I/O; the caller opens and closes the links.
//
// Example:
//   for (const auto& address : due(members, now))
//       connecting(members, address, links.connect(address));
//   for (const auto& node : note_group(members, group.members, now))
//       if (node.link)
//           links.close(*node.link);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <map>
#include <optional>
#include <vector>

namespace oleanderhinge::gateway
{

// A node without an open link is forgotten if no list has contained it for this
// time.
inline constexpr base::duration forget_after = std::chrono::seconds(30);
// Without a list for this time, the seeds are tried again: the members known so
// far may all have been replaced.
inline constexpr base::duration group_silence_limit = std::chrono::seconds(3);

struct control_member {
    // Set while a connection is being established or is open.
    std::optional<net::link_id> link;
    // True once the handshake has succeeded.
    bool open = false;
    base::time_point next_connect;
    // Some list has contained it.
    bool listed = false;
    // Arrival of the first list since the last one that contained it.
    std::optional<base::time_point> unlisted_since;
};

struct control_members {
    std::vector<wire::endpoint> seeds;
    std::map<wire::endpoint, control_member> known;
    // Arrival of the newest list.
    std::optional<base::time_point> last_list;
};

// A node that is not known any more; the caller closes its link.
struct forgotten_node {
    wire::endpoint address;
    std::optional<net::link_id> link;
};

// Replaces the seeds. Forgets those that are no seeds any more and that no list
// has contained.
std::vector<forgotten_node>
set_seeds(control_members& members, std::vector<wire::endpoint> seeds);

// Applies a list of the group's members and forgets nodes that are no members
// any more. An empty list comes from a node without a quorum, which does not
// know the group; it changes nothing.
std::vector<forgotten_node> note_group(
    control_members& members,
    const std::vector<wire::endpoint>& list,
    base::time_point now);

// Returns the addresses to connect to now.
std::vector<wire::endpoint> due(control_members& members, base::time_point now);

// Record the state of the link to a node. Unknown links change nothing, since
// their node may have been forgotten.
void connecting(
    control_members& members, const wire::endpoint& address, net::link_id link);
void opened(control_members& members, net::link_id link);
void closed(
    control_members& members, net::link_id link, base::time_point next_connect);

// --- Queries.

// The node with the link; null if there is none. Valid until the next command.
const std::pair<const wire::endpoint, control_member>*
find(const control_members& members, net::link_id link);

// True if no list has arrived for `limit`, or ever.
bool is_silent(
    const control_members& members, base::duration limit, base::time_point now);

} // namespace oleanderhinge::gateway
