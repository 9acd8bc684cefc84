// Groups of servers that hold copies of a model, and the chains in them.
#pragma once

#include "oleanderhinge/fleet/placement.hpp"

#include <vector>

namespace oleanderhinge::fleet::internal
{

using group = std::vector<placed_server*>;

// Groups of servers that hold copies of their own: data centres, or the whole
// fleet if some data centre is too small for a copy.
std::vector<group>
copy_groups(placement& plan, const wire::engine_profile& profile);

// Gives each member its place in the chains that serve the most requests; no
// member has one if the model does not fit.
void assign_group(const wire::engine_profile& profile, const group& members);

} // namespace oleanderhinge::fleet::internal
