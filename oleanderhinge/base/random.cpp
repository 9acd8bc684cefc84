#include "oleanderhinge/base/random.hpp"

#include <random>

namespace oleanderhinge::base
{

std::uint64_t entropy_seed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32) ^ device();
}

} // namespace oleanderhinge::base
