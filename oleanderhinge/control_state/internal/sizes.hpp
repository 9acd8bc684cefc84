// Sizes that the bounds on plans and claims count.
#pragma once

#include "oleanderhinge/control_state/state.hpp"

#include <cstddef>

namespace oleanderhinge::control_state::internal
{

// Fixed cost of one claim: the node of the map, ids, digest and times.
inline constexpr std::size_t claim_overhead = 256;

// Encoded size.
std::size_t size_of(const plan& item);

// Memory of a claim, near enough for a bound.
std::size_t size_of(const claim_key& key, const claim_record& record);

// Bytes of status, headers and body.
std::size_t size_of(const wire::response& answer);

} // namespace oleanderhinge::control_state::internal
