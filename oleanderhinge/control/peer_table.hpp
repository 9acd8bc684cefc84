// Decides which links to other control nodes to open, and when.
//
// Each node opens one link to every other member and sends its own messages
// on it. Performs no I/O; the service opens the links that `due` returns.
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

// Exponential back-off after a closed link or a failed connection.
inline constexpr base::duration first_back_off = std::chrono::milliseconds(100);
inline constexpr base::duration largest_back_off = std::chrono::seconds(2);

struct peer {
    // Set while a connection is being established or is open.
    std::optional<net::link_id> link;
    // True once the handshake has succeeded.
    bool open = false;
    // Closed links since the last one that opened.
    std::uint32_t failures = 0;
    base::time_point next_attempt;
};

struct peer_table {
    base::vm_id self;
    std::map<base::vm_id, peer> peers;
};

// Returns the members without a link whose back-off has ended. Removes the
// peers that are not members any more and adds their links, which the caller
// closes, to `dropped`.
std::vector<replica::member>
due(peer_table& table,
    const std::vector<replica::member>& members,
    base::time_point now,
    std::vector<net::link_id>& dropped);

// Records that a connection to `vm` was started.
void connecting(peer_table& table, const base::vm_id& vm, net::link_id link);

// Records an open link. Returns false if another node than the expected one
// answered, because an address in the member list is wrong; the caller must
// close the link. True for links that the other node has opened.
bool opened(peer_table& table, net::link_id link, const base::vm_id& vm);

// Records a closed link. The next attempt follows after the back-off, which is
// shortened by a random jitter of up to one half.
void closed(
    peer_table& table,
    net::link_id link,
    base::time_point now,
    base::random_source& random);

// Returns the open link to `vm`; empty if there is none.
std::optional<net::link_id>
link_to(const peer_table& table, const base::vm_id& vm);

} // namespace oleanderhinge::control
