// Hybrid logical clock: stamps that order cause before effect over all
// processes and stay close to the wall clock.
//
// A stamp holds the wall clock in microseconds in its upper 52 bits and a
// counter in the lower 12 bits. Source: Kulkarni et al., "Logical Physical
// Clocks", 2014.
//
// Example:
//   hybrid_clock clock;
//   auto a = clock.tick(wall_clock_us());
//   clock.observe(received, wall_clock_us());  // later ticks exceed `received`
#pragma once

#include "oleanderhinge/base/ids.hpp"

#include <atomic>
#include <cstdint>

namespace oleanderhinge::timeline
{

using base::stamp;

inline constexpr unsigned counter_bits = 12;

// Largest lead over the local wall clock that a received stamp may cause, in
// microseconds. A peer with a broken clock must not move all clocks ahead.
inline constexpr std::uint64_t max_lead_us = 60'000'000;

// Wall clock part of a stamp, in microseconds since the Unix epoch.
constexpr std::uint64_t wall_us(stamp s)
{
    return s.value() >> counter_bits;
}

// Thread-safe.
class hybrid_clock
{
public:
    // Stamp of a local event or of a message to send; larger than any stamp
    // returned or observed before.
    stamp tick(std::uint64_t wall_now_us);

    // Takes note of a received stamp. Stamps more than `max_lead_us` ahead of
    // the wall clock are ignored.
    void observe(stamp received, std::uint64_t wall_now_us);

private:
    std::atomic<std::uint64_t> last{0};
};

} // namespace oleanderhinge::timeline
