// Guards against a second run of a call that may have run, and against retries
// that multiply an overload.
#include "oleanderhinge/retry/budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::retry
{
namespace
{

using namespace std::chrono_literals;
using base::failure_code;

constexpr base::time_point start{100s};

base::verdict verdict_of(
    base::execution state,
    failure_code code = failure_code::server_failed,
    std::chrono::milliseconds retry_after = 0ms)
{
    return {state, code, "", retry_after};
}

TEST(may_retry, follows_the_verdict)
{
    using base::execution;
    struct rule {
        const char* name;
        base::verdict failure;
        bool idempotent;
        std::uint32_t attempt;
        refusal expected;
    };
    const rule rules[] = {
        {"not run, not idempotent",
         verdict_of(execution::not_run),
         false,
         1,
         refusal::none},
        {"may have run, not idempotent",
         verdict_of(execution::may_have_run),
         false,
         1,
         refusal::verdict},
        {"may have run, resumable",
         verdict_of(execution::may_have_run),
         true,
         1,
         refusal::none},
        {"ran", verdict_of(execution::ran), true, 1, refusal::verdict},
        {"overloaded, other server",
         verdict_of(execution::not_run, failure_code::overloaded, 50ms),
         true,
         1,
         refusal::none},
        {"overloaded, third server",
         verdict_of(execution::not_run, failure_code::overloaded, 50ms),
         true,
         2,
         refusal::verdict},
        {"deadline",
         verdict_of(execution::not_run, failure_code::deadline_exceeded),
         true,
         1,
         refusal::verdict},
        {"invalid",
         verdict_of(execution::not_run, failure_code::invalid_request),
         true,
         1,
         refusal::verdict},
        {"last attempt",
         verdict_of(execution::not_run),
         true,
         4,
         refusal::attempts_exhausted},
    };
    for (const auto& r : rules) {
        auto b = make_budget({}, start);
        base::random_source random{1};
        const auto decision = may_retry(
            b,
            r.failure,
            r.idempotent,
            base::attempt_number{r.attempt},
            10s,
            random,
            start);
        EXPECT_EQ(to_string(decision.reason), to_string(r.expected)) << r.name;
        EXPECT_EQ(decision.retry, r.expected == refusal::none) << r.name;
    }
}

TEST(may_retry, delays_grow_with_jitter_and_respect_the_time_left)
{
    auto b = make_budget({.max_attempts = 20}, start);
    base::random_source random{1};
    const auto failed = verdict_of(base::execution::not_run);
    base::duration longest{0};
    for (std::uint32_t attempt = 1; attempt < 10; ++attempt) {
        b.saved = 10;
        const auto decision = may_retry(
            b, failed, true, base::attempt_number{attempt}, 10s, random, start);
        EXPECT_LE(decision.delay, b.options.max_delay);
        EXPECT_EQ(decision.delay > 0ms, attempt > 1);
        longest = std::max(longest, decision.delay);
    }
    EXPECT_GT(longest, 100ms);
    const auto late =
        may_retry(b, failed, true, base::attempt_number{3}, 0ms, random, start);
    EXPECT_EQ(late.reason, refusal::out_of_time);
}

// Guards against more retries than the share of successes plus the floor allow,
// for any sequence of results.
RC_GTEST_PROP(may_retry, never_exceeds_the_budget, ())
{
    const budget_options options;
    auto b = make_budget(options, start);
    base::random_source random{7};
    auto now = start;
    double successes = 0;
    double retries = 0;
    for (int i = 0; i < 300; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 50));
        if (*rc::gen::inRange(0, 2) == 0) {
            note_success(b);
            ++successes;
        } else {
            retries += may_retry(
                           b,
                           verdict_of(base::execution::not_run),
                           true,
                           base::attempt_number{1},
                           10s,
                           random,
                           now)
                           .retry;
        }
        const double seconds = double((now - start).count()) / 1e6;
        RC_ASSERT(
            retries <= successes * options.success_share +
                           (10 + seconds) * options.floor_per_second + 1e-6);
    }
}

// Guards against several stalled streams that are cancelled for one retry.
TEST(budget, a_retry_is_taken_once)
{
    const base::time_point now(std::chrono::hours(1));
    auto b = make_budget(
        {.floor_per_second = 1, .floor_burst = std::chrono::seconds(1)}, now);
    EXPECT_TRUE(take_retry(b, now));
    EXPECT_FALSE(take_retry(b, now));
}

// All gateways restart at once while servers refuse connections. Guards against
// a retry budget that each restart fills again, and against a gateway that
// spends the whole budget before it has learned of the other gateways.
TEST(budget, a_share_that_starts_empty_fills_at_its_own_rate)
{
    base::random_source random{1};
    budget_options options;
    options.success_share = 0;
    options.floor_per_second = 13;
    options.max_saved = 130;
    options.starts_empty = true;
    const auto refused =
        base::not_run(base::failure_code::server_failed, "refused");
    const auto retries_at = [&](budget& b, base::time_point now) {
        int count = 0;
        while (may_retry(
                   b,
                   refused,
                   true,
                   base::attempt_number{1},
                   std::chrono::seconds(5),
                   random,
                   now)
                   .retry)
            ++count;
        return count;
    };
    auto fresh = make_budget(options, start);
    set_share(fresh, 1, 10);
    EXPECT_EQ(retries_at(fresh, start), 0);
    EXPECT_EQ(retries_at(fresh, start + std::chrono::seconds(3)), 3);
    // A budget that is filled above its new share is reduced to it.
    options.starts_empty = false;
    auto alone = make_budget(options, start);
    set_share(alone, 1, 10);
    EXPECT_EQ(retries_at(alone, start), 10);
}

} // namespace
} // namespace oleanderhinge::retry
