// Guards against links that stay open although one or both directions have
// gone silent, and against pings that a healthy idle link does not need.
#include "oleanderhinge/net/link_health.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::net
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{10s};

// Runs a link for `length` and returns the time until it was closed, or zero.
struct run {
    bool busy = true;
    bool receives = true;
    bool pongs = true;
    bool sends = true;
    std::uint64_t pings = 0;

    base::duration until_closed(base::duration length)
    {
        const link_timing timing;
        auto health = healthy_since(start);
        for (auto now = start; now < start + length; now += 10ms) {
            if (this->receives)
                on_received(health, now);
            if (this->sends)
                on_sent(health, now);
            const auto action = check(health, timing, this->busy, now);
            if (action == link_action::close)
                return now - start;
            if (action == link_action::none)
                continue;
            ++this->pings;
            const auto number = on_ping(health, now);
            if (this->pongs)
                on_pong(health, number, now + 1ms);
        }
        return 0ms;
    }
};

TEST(link_health, silent_links_are_closed_within_the_limit)
{
    struct fault {
        const char* name;
        run link;
        base::duration limit;
    };
    const link_timing timing;
    const fault faults[] = {
        {"busy, both directions silent",
         {.busy = true, .receives = false, .pongs = false},
         timing.busy_silence + timing.busy_heartbeat},
        {"busy, outgoing direction silent",
         {.busy = true, .receives = true, .pongs = false},
         timing.busy_silence + timing.busy_heartbeat},
        {"idle, both directions silent",
         {.busy = false, .receives = false, .pongs = false, .sends = false},
         timing.idle_silence + timing.idle_heartbeat},
        {"idle, outgoing direction silent",
         {.busy = false, .receives = true, .pongs = false},
         timing.idle_silence + timing.idle_heartbeat},
    };
    for (auto f : faults) {
        const auto closed = f.link.until_closed(60s);
        EXPECT_GT(closed, 0ms) << f.name;
        EXPECT_LE(closed, f.limit + 20ms) << f.name;
    }
}

TEST(link_health, healthy_links_stay_open)
{
    for (const bool busy : {true, false}) {
        run link{.busy = busy};
        EXPECT_EQ(link.until_closed(60s), 0ms);
        run quiet{.busy = busy, .receives = false, .sends = false};
        EXPECT_EQ(quiet.until_closed(60s), 0ms);
    }
}

TEST(link_health, pings_are_bounded_by_the_heartbeat)
{
    run link{.busy = true};
    link.until_closed(10s);
    EXPECT_LE(link.pings, 41u);
    run receiving{.busy = true, .receives = true, .sends = false};
    receiving.until_closed(10s);
    EXPECT_EQ(receiving.pings, 0u);
}

TEST(link_health, a_late_pong_does_not_prove_later_messages)
{
    const link_timing timing;
    auto health = healthy_since(start);
    const auto number = on_ping(health, start + 300ms);
    on_sent(health, start + 310ms);
    on_pong(health, number, start + 320ms);
    on_received(health, start + 600ms);
    EXPECT_EQ(
        check(health, timing, true, start + 600ms), link_action::send_ping);
}

} // namespace
} // namespace oleanderhinge::net
