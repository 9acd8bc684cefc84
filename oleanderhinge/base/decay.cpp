#include "oleanderhinge/base/decay.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::base
{

double decay_factor(duration age, duration half_life)
{
    return std::exp2(
        -double(std::max(age, duration(0)).count()) /
        double(half_life.count()));
}

} // namespace oleanderhinge::base
