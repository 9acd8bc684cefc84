// Commands on claims, called by `apply`.
#pragma once

#include "oleanderhinge/control_state/commands.hpp"

namespace oleanderhinge::control_state::internal
{

claim_result apply_claim(state& target, const claim& item);
outcome_result apply_outcome(state& target, const record_outcome& item);

// Drops claims before `before_ms`, after which keys that are older are
// refused; returns their number.
std::uint64_t expire_claims(state& target, std::uint64_t before_ms);

} // namespace oleanderhinge::control_state::internal
