// Replacement of servers that leave, or that are lost for good, by servers
// without layers.
//
// A server that announces its leave still completes what runs on it for a short
// time. Its layers are assigned to another server at once, so that these are
// loaded before it ends. In a rolling release a replacement reports before its
// predecessor announces its leave, so a new server without layers is kept for
// `spare_hold`.
//
// Example:
//   replace_servers(members, profile, now);
//   if (!is_held(spare, now)) join_first_part(spare, members, profile);
#pragma once

#include "oleanderhinge/fleet/internal/chains.hpp"

namespace oleanderhinge::fleet::internal
{

// Reassigns the layers of members that leave, have failed over or are missing
// to present ones without layers; first those that no other member serves. A
// server that comes back later is without layers.
void replace_servers(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now);

// True if the server is kept for one that may announce its leave.
bool is_held(const placed_server& server, base::time_point now);

// True if a server announced its leave within the last `replace_after`.
bool release_under_way(const placement& plan, base::time_point now);

} // namespace oleanderhinge::fleet::internal
