// Guards against a limit that leaves its bounds, grows without end under load,
// or stays low after a server has become permanently slower.
#include "oleanderhinge/admission/limit.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace oleanderhinge::admission
{
namespace
{

// Step latency of an engine that is saturated at `knee` requests: constant
// below, proportional to the requests above.
base::duration
step_latency(double unloaded_us, double knee, std::uint32_t in_progress)
{
    return base::duration(
        std::int64_t(unloaded_us * std::max(1.0, in_progress / knee)));
}

void run_full(
    adaptive_limit& limit, double unloaded_us, double knee, int windows)
{
    for (int i = 0; i < windows * int(limit.options.window); ++i)
        observe(
            limit,
            step_latency(unloaded_us, knee, limit.current),
            limit.current);
}

TEST(limit, settles_where_the_latency_meets_the_target)
{
    const struct {
        double knee;
        std::uint32_t low;
        std::uint32_t high;
    } cases[] = {
        // The latency is twice the unloaded one at twice the knee. With a knee
        // below `initial`, the first windows measure twice the unloaded
        // latency,
        // so the band is 4 and one step.
        {1, 2, 5},
        {4, 7, 9},
        {16, 27, 36},
        {64, 110, 142},
        {1000, 256, 256}};
    for (const auto& c : cases) {
        auto limit = make_limit({});
        run_full(limit, 10000, c.knee, 60);
        for (int i = 0; i < 20; ++i) {
            run_full(limit, 10000, c.knee, 1);
            EXPECT_GE(limit.current, c.low) << "knee " << c.knee;
            EXPECT_LE(limit.current, c.high) << "knee " << c.knee;
        }
    }
}

TEST(limit, does_not_grow_while_it_is_not_in_use)
{
    auto limit = make_limit({});
    for (int i = 0; i < 1000; ++i)
        observe(limit, base::duration(1000), 1);
    EXPECT_EQ(limit.current, limit.options.initial);
}

TEST(limit, recovers_after_the_server_became_slower_for_good)
{
    auto limit = make_limit({});
    run_full(limit, 10000, 16, 60);
    run_full(limit, 40000, 16, 100);
    EXPECT_GE(limit.current, 20U);
    EXPECT_LE(limit.current, 40U);
}

RC_GTEST_PROP(limit, stays_within_its_bounds, ())
{
    limit_options options;
    options.min = *rc::gen::inRange(1U, 20U);
    options.max = *rc::gen::inRange(1U, 60U);
    options.initial = *rc::gen::inRange(0U, 100U);
    options.window = *rc::gen::inRange(0U, 5U);
    auto limit = make_limit(options);
    for (int i = 0; i < 300; ++i) {
        observe(
            limit,
            base::duration(*rc::gen::inRange(-5, 1000000)),
            *rc::gen::inRange(0U, 100U));
        RC_ASSERT(limit.current >= limit.options.min);
        RC_ASSERT(limit.current <= limit.options.max);
    }
}

} // namespace
} // namespace oleanderhinge::admission
