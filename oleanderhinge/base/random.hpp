// Seeded random numbers, passed to decision code as an argument.
//
// Example:
//   random_source random{42};
//   auto i = random.below(10);  // 0..9
#pragma once

#include <cstdint>

namespace oleanderhinge::base
{

// SplitMix64: small, fast, the same sequence on every platform. Not for
// secrets.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : state(seed)
    {
    }

    // A uniform 64-bit number.
    std::uint64_t next()
    {
        this->state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = this->state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    // A number in [0, bound); 0 if `bound` is 0. The bias is below
    // bound / 2^64.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : this->next() % bound;
    }

    // A number in [0, 1).
    double unit() { return double(this->next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state;
};

// Seed from the operating system, for daemons only.
std::uint64_t entropy_seed();

} // namespace oleanderhinge::base
