// Commands on the forwarding table, called by `apply`.
#pragma once

#include "oleanderhinge/control_state/commands.hpp"

namespace oleanderhinge::control_state::internal
{

replace_reply apply_replace(state& target, const replace_forwarding& item);

} // namespace oleanderhinge::control_state::internal
