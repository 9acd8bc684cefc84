// Commands on plans, called by `apply`.
#pragma once

#include "oleanderhinge/control_state/commands.hpp"

namespace oleanderhinge::control_state::internal
{

plan_reply apply_create(state& target, const create_plan& item);
confirm_reply apply_confirm(state& target, const confirm_plan& item);

// Removes plans created before `before_ms` and returns their number. Removals
// that no open plan can conflict with any more are forgotten.
std::uint64_t expire_plans(state& target, std::uint64_t before_ms);

} // namespace oleanderhinge::control_state::internal
