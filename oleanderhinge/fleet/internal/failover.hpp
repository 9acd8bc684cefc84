// Failover of layer ranges while servers are unavailable.
//
// The layers of an unavailable server go to the servers that hold the adjacent
// ranges if these keep enough memory for requests, else to redundant servers of
// the same chain (usually replicas of its first part).
//
// Example:
//   observe_servers(plan, ready, now);
//   update_targets(plan, profile, now);
//   for (const auto& [address, server] : plan.servers) use(server.target);
#pragma once

#include "oleanderhinge/fleet/internal/chains.hpp"

#include <vector>

namespace oleanderhinge::fleet::internal
{

std::uint32_t size_of(const base::layer_range& range);

bool contains(const base::layer_range& outer, const base::layer_range& inner);

// True if the server was available with its assigned layers when it was last
// observed.
bool is_serving(const placed_server& server);

// True if no ready server has been known at the address for `replace_after`.
bool is_missing(const placed_server& server, base::time_point now);

// Records what the servers report, and since when each of them has not served
// its assigned layers. Slow servers count as unavailable: a path is as slow as
// its slowest part.
void observe_servers(
    placement& plan,
    const std::vector<wire::server_record>& ready,
    base::time_point now);

// Sets the target range of each server: its assigned layers, or others while a
// server of its group has failed over.
void update_targets(
    placement& plan, const wire::engine_profile& profile, base::time_point now);

// True if some layer is assigned to no member, present or not.
bool has_unassigned_range(
    const server_group& members, const wire::engine_profile& profile);

// Assigns such ranges to redundant servers, as far as they can hold them.
void assign_gaps_to_redundant(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now);

// True if some layer is assigned to no member that is present, and redundant
// servers cannot take it, or only if fewer than half of them stay behind. The
// latter does not count during a release, which brings a replacement for each
// server.
bool needs_new_division(
    const server_group& members,
    const wire::engine_profile& profile,
    bool release_under_way,
    base::time_point now);

} // namespace oleanderhinge::fleet::internal
