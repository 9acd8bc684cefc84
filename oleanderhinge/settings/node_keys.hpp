// The keys of section [node], which every daemon has.
//
// Example:
//   auto keys = node_keys();
//   keys.push_back({"entry", "link", value_type::endpoint});
#pragma once

#include "oleanderhinge/settings/schema.hpp"

namespace oleanderhinge::settings
{

// Name and place of the VM, the secret of the system, and the threads.
schema node_keys();

} // namespace oleanderhinge::settings
