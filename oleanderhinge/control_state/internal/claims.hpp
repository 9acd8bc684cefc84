// Commands on claims, called by `apply`.
#pragma once

#include "oleanderhinge/control_state/commands.hpp"

namespace oleanderhinge::control_state::internal
{

claim_result apply_claim(state& target, const claim& item);
outcome_result apply_outcome(state& target, const record_outcome& item);

// Removes claims with a time before `before_ms` and returns their number. From
// then on, UUIDv7 keys with an earlier time are refused.
std::uint64_t expire_claims(state& target, std::uint64_t before_ms);

} // namespace oleanderhinge::control_state::internal
