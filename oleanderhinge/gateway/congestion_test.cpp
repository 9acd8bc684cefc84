// Guards against gateways that keep sending requests to a congested data
// centre, where all of them wait until their callers have left, and against a
// data centre that is never tried again.
#include "oleanderhinge/gateway/congestion.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};
const base::data_centre_id here{"a"};

TEST(congestion, waits_are_remembered_and_fade)
{
    congestion seen;
    EXPECT_EQ(expected_wait(seen, here, start), 0ms);
    auto now = start;
    for (int i = 0; i < 10; ++i) {
        now += 100ms;
        note_first_event(seen, here, 2000ms, now);
    }
    EXPECT_GT(expected_wait(seen, here, now), wait_limit(0));
    EXPECT_GT(expected_wait(seen, here, now + 500ms), wait_limit(2, 1000ms));
    EXPECT_LT(expected_wait(seen, here, now + 10s), 10ms);
    EXPECT_EQ(expected_wait(seen, base::data_centre_id{"b"}, now), 0ms);
}

// One stalled request must not close a data centre.
TEST(congestion, one_long_wait_among_short_ones_refuses_nothing_urgent)
{
    congestion seen;
    auto now = start;
    for (int i = 0; i < 10; ++i) {
        now += 100ms;
        note_first_event(seen, here, 80ms, now);
    }
    note_first_event(seen, here, 1200ms, now);
    EXPECT_LT(expected_wait(seen, here, now), wait_limit(0, 500ms));
}

TEST(congestion, less_urgent_requests_have_lower_limits_within_their_target)
{
    for (const auto target : {0ms, 500ms, 1000ms, 5000ms})
        for (std::uint32_t priority = 0; priority < 9; ++priority) {
            EXPECT_GE(
                wait_limit(priority, target), wait_limit(priority + 1, target));
            if (target > 0ms) {
                EXPECT_LE(wait_limit(priority, target), target);
            }
        }
}

} // namespace
} // namespace oleanderhinge::gateway
