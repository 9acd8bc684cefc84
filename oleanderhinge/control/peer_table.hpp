// Links between the control nodes: which to open, and when.
//
// Each node opens one link to every other member and sends its own messages
// on it. Pure; the service carries out what `due` returns.
//
// Example:
//   for (const auto& peer : due(table, status.members, now, random))
//       connecting(table, peer.vm, links.connect(peer.link));
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oleanderhinge::control
{

// First wait after a failed connection; it doubles up to the largest.
inline constexpr base::duration first_back_off = std::chrono::milliseconds(100);
inline constexpr base::duration largest_back_off = std::chrono::seconds(2);

struct peer {
    // Set from the start of the connection on.
    std::optional<net::link_id> link;
    bool open = false;
    std::uint32_t failures = 0;
    base::time_point next_attempt;
};

struct peer_table {
    base::vm_id self;
    std::map<base::vm_id, peer> peers;
};

// Members without a link whose back-off has passed. Forgets peers that are
// no member and returns their links in `dropped`.
std::vector<replica::member>
due(peer_table& table,
    const std::vector<replica::member>& members,
    base::time_point now,
    std::vector<net::link_id>& dropped);

// The connection to `vm` was started.
void connecting(peer_table& table, const base::vm_id& vm, net::link_id link);

// False if the link belongs to a peer with another name, which means that an
// address in the member list is wrong; the link must be closed.
bool opened(peer_table& table, net::link_id link, const base::vm_id& vm);

// The link is closed; the next attempt follows after the back-off with a
// jitter of up to a half.
void closed(
    peer_table& table,
    net::link_id link,
    base::time_point now,
    base::random_source& random);

// Link to send on; empty while there is none.
std::optional<net::link_id>
link_to(const peer_table& table, const base::vm_id& vm);

} // namespace oleanderhinge::control
