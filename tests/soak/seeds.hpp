// The seeds that a soak plays.
//
// Example:
//   play_seeds("OLEANDERHINGE_SOAK_SEEDS", regression_seeds, play);
#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace oleanderhinge::tests
{

// Calls `play` with each seed of the environment variable, "7" or "1-50", or of
// `usual` if it is not set.
template <class Play>
void play_seeds(const char* variable, const char* usual, const Play& play)
{
    const char* chosen = std::getenv(variable);
    const std::string seeds = chosen == nullptr ? usual : chosen;
    const auto last = std::stoul(seeds.substr(seeds.find('-') + 1));
    for (auto seed = std::stoul(seeds); seed <= last; ++seed)
        play(std::uint32_t(seed));
}

} // namespace oleanderhinge::tests
