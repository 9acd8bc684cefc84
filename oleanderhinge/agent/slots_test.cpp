// Guards against slots that are lost, or granted above the limit, around the
// tickets by which the queue knows attempts.
#include "oleanderhinge/agent/slots.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::agent
{
namespace
{

using namespace std::chrono_literals;

slot_request wanted(std::uint64_t sequence, std::uint32_t attempt)
{
    slot_request r;
    r.key = {{base::incarnation{7}, sequence}, base::attempt_number{attempt}};
    r.customer = base::customer_id{"c"};
    r.prompt_tokens = 10;
    r.max_tokens = 10;
    return r;
}

constexpr base::time_point now{100s};

TEST(slots, two_attempts_at_one_request_hold_slots_of_their_own)
{
    auto pool = make_slot_pool({.limit = 2}, 1);
    EXPECT_EQ(ask(pool, wanted(1, 1), now).size(), 1U);
    EXPECT_EQ(ask(pool, wanted(1, 2), now).size(), 1U);
    EXPECT_EQ(load(pool).in_progress, 2U);
    EXPECT_TRUE(ask(pool, wanted(1, 3), now).empty());
    // Giving back one attempt twice frees one slot.
    const auto granted = give_back(pool, wanted(1, 1).key, {}, now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].key, wanted(1, 3).key);
    EXPECT_TRUE(give_back(pool, wanted(1, 1).key, {}, now).empty());
    EXPECT_EQ(load(pool).in_progress, 2U);
}

RC_GTEST_PROP(slots, tickets_match_the_queue, ())
{
    auto pool = make_slot_pool({.limit = 2, .max_queued = 3}, 1);
    auto at = now;
    const auto count = *rc::gen::inRange(5, 60);
    for (int i = 0; i < count; ++i) {
        auto w = wanted(
            *rc::gen::inRange<std::uint64_t>(1, 6),
            *rc::gen::inRange<std::uint32_t>(1, 3));
        w.may_wait = *rc::gen::arbitrary<bool>();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            at += 10s;
            expire(pool, at);
            break;
        case 1:
            give_back(
                pool,
                w.key,
                base::token_count{*rc::gen::inRange<std::uint64_t>(0, 2)},
                at);
            break;
        default:
            ask(pool, w, at);
        }
        const auto report = load(pool);
        RC_ASSERT(pool.tickets.size() == report.in_progress + report.queued);
        RC_ASSERT(pool.holders.size() == pool.tickets.size());
        RC_ASSERT(report.queued <= 3U);
    }
}

} // namespace
} // namespace oleanderhinge::agent
