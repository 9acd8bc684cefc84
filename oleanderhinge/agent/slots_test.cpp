// Guards against slots that are lost or granted above the limit because the
// tickets of the pool and the queue's state disagree.
#include "oleanderhinge/agent/slots.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::agent
{
namespace
{

using namespace std::chrono_literals;

slot_request make_request(std::uint64_t sequence, std::uint32_t attempt)
{
    slot_request result;
    result.key = {
        {base::incarnation{7}, sequence}, base::attempt_number{attempt}};
    result.customer = base::customer_id{"c"};
    result.prompt_tokens = 10;
    result.max_tokens = 10;
    return result;
}

constexpr base::time_point now{100s};

TEST(slots, two_attempts_at_one_request_hold_slots_of_their_own)
{
    auto pool = make_slot_pool({.limit = 2}, 1);
    EXPECT_EQ(submit(pool, make_request(1, 1), now).size(), 1U);
    EXPECT_EQ(submit(pool, make_request(1, 2), now).size(), 1U);
    EXPECT_EQ(load(pool).in_progress, 2U);
    EXPECT_TRUE(submit(pool, make_request(1, 3), now).empty());
    // Releasing one attempt twice frees one slot.
    const auto granted = release(pool, make_request(1, 1).key, {}, now);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].key, make_request(1, 3).key);
    EXPECT_TRUE(release(pool, make_request(1, 1).key, {}, now).empty());
    EXPECT_EQ(load(pool).in_progress, 2U);
}

RC_GTEST_PROP(slots, tickets_match_the_queue, ())
{
    auto pool = make_slot_pool({.limit = 2, .max_queued = 3}, 1);
    auto at = now;
    const auto count = *rc::gen::inRange(5, 60);
    for (int i = 0; i < count; ++i) {
        auto item = make_request(
            *rc::gen::inRange<std::uint64_t>(1, 6),
            *rc::gen::inRange<std::uint32_t>(1, 3));
        item.may_wait = *rc::gen::arbitrary<bool>();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            at += 10s;
            expire(pool, at);
            break;
        case 1:
            release(
                pool,
                item.key,
                base::token_count{*rc::gen::inRange<std::uint64_t>(0, 2)},
                at);
            break;
        default:
            submit(pool, item, at);
        }
        const auto report = load(pool);
        RC_ASSERT(pool.tickets.size() == report.in_progress + report.queued);
        RC_ASSERT(pool.entries.size() == pool.tickets.size());
        RC_ASSERT(report.queued <= 3U);
    }
}

} // namespace
} // namespace oleanderhinge::agent
