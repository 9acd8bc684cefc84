// Division of server groups into chains, each of which holds a whole copy of
// the model.
//
// Example:
//   for (const auto& members : replica_groups(plan, profile))
//       assign_chains(profile, members);
#pragma once

#include "oleanderhinge/fleet/placement.hpp"

#include <vector>

namespace oleanderhinge::fleet::internal
{

using server_group = std::vector<placed_server*>;

// Groups of servers that each hold their own copies of the model: one group
// for each data centre, or one for the whole fleet if some data centre has less
// memory than `min_copy_memory_factor` copies need. A data centre with a single
// server does not count for this while another has the memory. The pointers are
// into `plan`.
std::vector<server_group>
replica_groups(placement& plan, const wire::engine_profile& profile);

// Assigns the members their layers in the set of chains that serves the most
// requests per second; no member has any if the model does not fit.
void assign_chains(
    const wire::engine_profile& profile, const server_group& members);

} // namespace oleanderhinge::fleet::internal
