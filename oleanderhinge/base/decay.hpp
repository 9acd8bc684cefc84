// Exponential decay of averages.
//
// Example:
//   average.value *= decay_factor(now - average.updated, half_life);
#pragma once

#include "oleanderhinge/base/time.hpp"

namespace oleanderhinge::base
{

// Factor on a value of this age: one half for each half-life, 1 for a negative
// age.
double decay_factor(duration age, duration half_life);

} // namespace oleanderhinge::base
