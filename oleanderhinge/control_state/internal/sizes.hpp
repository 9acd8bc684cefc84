// Sizes in bytes, as the limits on plans and claims count them.
#pragma once

#include "oleanderhinge/control_state/state.hpp"

#include <cstddef>

namespace oleanderhinge::control_state::internal
{

// Memory of a claim without its texts: map node, ids, digest and times.
inline constexpr std::size_t claim_overhead_bytes = 256;

// Encoded size of a plan.
std::size_t size_of(const plan& item);

// Approximate memory of a claim.
std::size_t size_of(const claim_key& key, const claim_record& record);

// Bytes of status, headers and body.
std::size_t size_of(const wire::response& answer);

} // namespace oleanderhinge::control_state::internal
