// Guards against gateways that together send again more than a service allows,
// and against an allowance that is split so finely that the gateways that see a
// failure cannot use it.
#include "oleanderhinge/retry/shared_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <vector>

namespace oleanderhinge::retry
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{std::chrono::hours(1)};
const auto refused =
    base::not_run(base::failure_code::server_failed, "refused");

bool sends_again(
    shared_budget& b, base::random_source& random, base::time_point now)
{
    return may_retry(
               b, refused, true, base::attempt_number{1}, 10s, random, now)
        .retry;
}

std::vector<shared_budget>
make_gateways(std::size_t count, const shared_budget_options& options)
{
    std::vector<shared_budget> gateways(
        count, make_shared_budget(options, start));
    for (auto& gateway : gateways)
        set_gateways(gateway, std::uint32_t(count));
    return gateways;
}

// Gateways with any traffic that send again whenever they may. The allowance is
// that of the platform's rule: the requests of this window or the one before
// it, whichever has more.
RC_GTEST_PROP(shared_budget, keeps_the_bound_in_every_window, ())
{
    shared_budget_options options;
    options.slack = double(*rc::gen::inRange(0, 200));
    const auto count = std::size_t(*rc::gen::inRange(1, 12));
    auto gateways = make_gateways(count, options);
    base::random_source random{std::uint64_t(*rc::gen::inRange(1, 1000))};
    // Requests and retries of each step of a tenth of a second.
    std::deque<double> requests;
    std::deque<double> retries;
    const auto last = [](const std::deque<double>& values, std::size_t from) {
        double sum = 0;
        for (auto i = from; i < from + 100 && i < values.size(); ++i)
            sum += values[i];
        return sum;
    };
    auto now = start;
    for (int step = 0; step < 400; ++step) {
        now += 100ms;
        // The load jumps every few seconds.
        const auto load = random.below(20) * (step / 50 % 3);
        requests.push_front(0);
        retries.push_front(0);
        for (auto& gateway : gateways) {
            for (std::uint64_t i = 0; i < load; ++i)
                note_request(gateway, now);
            requests.front() += double(load);
            if (random.below(4) == 0)
                while (sends_again(gateway, random, now))
                    retries.front() += 1;
        }
        const double counted = std::max(last(requests, 0), last(requests, 100));
        RC_ASSERT(
            last(retries, 0) <=
            options.request_share * counted + options.slack + 1e-6);
    }
}

// Pattern: the chain of one data centre is lost. Its 21 of 105 gateways, with 4
// requests a second each, lose all streams of the last two seconds at once.
TEST(shared_budget, lets_the_gateways_of_a_lost_chain_resume_its_streams)
{
    shared_budget_options options;
    options.slack = 394;
    auto gateways = make_gateways(105, options);
    base::random_source random{1};
    auto now = start;
    for (int request = 0; request < 80; ++request) {
        now += 250ms;
        for (auto& gateway : gateways)
            note_request(gateway, now);
    }
    int resumed = 0;
    for (std::size_t i = 0; i < 21; ++i)
        while (sends_again(gateways[i], random, now))
            ++resumed;
    // Of 168 streams, those that the bound allows when every chain is lost at
    // the same moment: (0.2 * 4200 + 394) * 0.45 over five data centres.
    EXPECT_GE(resumed, 105);
}

// Pattern: a gateway restarts and hears from a member of control that has just
// started, too, and knows a few gateways only.
TEST(shared_budget, counts_the_gateways_of_the_last_seconds)
{
    recent_maximum recent;
    const auto after = [&](std::uint32_t number, base::time_point now) {
        note(recent, number, now);
        return maximum(recent);
    };
    EXPECT_EQ(after(105, start), 105U);
    EXPECT_EQ(after(3, start + 5s), 105U);
    EXPECT_EQ(after(3, start + 11s), 105U);
    EXPECT_EQ(after(3, start + 22s), 3U);
    EXPECT_EQ(after(105, start + 60s), 105U);
    EXPECT_EQ(after(4, start + 100s), 4U);
}

TEST(shared_budget, is_empty_after_a_start)
{
    auto fresh = make_shared_budget({}, start);
    base::random_source random{1};
    EXPECT_FALSE(sends_again(fresh, random, start));
}

} // namespace
} // namespace oleanderhinge::retry
