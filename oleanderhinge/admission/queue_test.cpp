// Guards against requests that are lost or granted twice, starvation of ranks
// and customers, unbounded growth, and decisions that are not deterministic.
#include "oleanderhinge/admission/queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace oleanderhinge::admission
{
namespace
{

using namespace std::chrono_literals;
using base::rank;

constexpr base::time_point start{100s};
constexpr base::duration service_time = 100ms;
constexpr std::uint64_t request_tokens = 100;

base::request_id id_of(std::uint64_t number)
{
    return {base::incarnation{1}, number};
}

work make_work(
    std::uint64_t number,
    const std::string& customer = "c",
    rank work_rank = rank::standard)
{
    return {
        .request = id_of(number),
        .customer = base::customer_id{customer},
        .work_rank = work_rank,
        .prompt_tokens = request_tokens / 2,
        .max_tokens = request_tokens};
}

queue_options fixed_limit(std::uint32_t limit)
{
    queue_options options;
    options.limit = {
        .min = 1, .max = 1000, .initial = limit, .adaptive = false};
    return options;
}

// A server with a fixed number of slots and a fixed service time. Sources
// submit at a steady rate; tokens of finished requests are counted by name.
struct simulation {
    struct source {
        std::string customer;
        rank work_rank;
        base::duration interval;
        std::uint32_t weight = 1;
        std::uint64_t tokens = request_tokens;
    };
    queue q;
    std::vector<source> sources;
    std::map<std::string, double> served{};
    std::map<rank, double> served_by_rank{};
    std::uint64_t next = 1;
    std::map<base::request_id, std::size_t> owner{};
    std::deque<std::pair<base::time_point, base::request_id>> running{};

    void carry_out(const actions& list, base::time_point now)
    {
        for (const auto& a : list)
            if (const auto* granted = std::get_if<grant>(&a))
                this->running.emplace_back(
                    now + service_time, granted->request);
    }

    void run(base::duration length)
    {
        for (base::time_point now = start; now < start + length; now += 1ms) {
            while (!this->running.empty() &&
                   this->running.front().first <= now) {
                const auto request = this->running.front().second;
                this->running.pop_front();
                const auto& s = this->sources[this->owner.at(request)];
                this->served[s.customer] += double(s.tokens);
                this->served_by_rank[s.work_rank] += double(s.tokens);
                this->carry_out(
                    finish(this->q, request, base::token_count{s.tokens}, now),
                    now);
            }
            for (std::size_t i = 0; i < this->sources.size(); ++i) {
                const auto& s = this->sources[i];
                if ((now - start) % s.interval != 0ms)
                    continue;
                auto item = make_work(this->next++, s.customer, s.work_rank);
                item.customer_weight = s.weight;
                item.prompt_tokens = s.tokens / 2;
                item.max_tokens = s.tokens;
                this->owner[item.request] = i;
                this->carry_out(submit(this->q, item, now), now);
            }
            if ((now - start) % 100ms == 0ms)
                this->carry_out(expire(this->q, now), now);
        }
    }
};

// Capacity: 10 slots of 100 ms serve 100 requests/s. One rank submits 10 times
// that; the others submit what their share allows.
TEST(shares, are_kept_in_a_flood_of_any_rank)
{
    const struct {
        rank value;
        double share;
    } ranks[] = {
        {rank::urgent, 0.5}, {rank::standard, 0.2}, {rank::deferrable, 0.1}};
    constexpr double capacity = 20 * 100 * request_tokens;
    for (const auto& flood : ranks) {
        simulation s{make_queue(fixed_limit(10), 1), {}};
        for (const auto& r : ranks)
            s.sources.push_back(
                {"c" + std::to_string(int(r.value)),
                 r.value,
                 r.value == flood.value
                     ? 1ms
                     : base::duration(
                           std::int64_t(10000 / r.share / 1000) * 1000)});
        s.run(20s);
        double total = 0;
        for (const auto& r : ranks)
            total += s.served_by_rank[r.value];
        for (const auto& r : ranks)
            EXPECT_GE(s.served_by_rank[r.value], 0.95 * r.share * capacity)
                << to_string(r.value) << " in a flood of "
                << to_string(flood.value);
        EXPECT_GE(total, 0.97 * capacity) << "idle slots";
    }
}

TEST(shares, idle_share_is_lent_and_returned_with_the_next_free_slot)
{
    auto q = make_queue(fixed_limit(2), 1);
    std::uint64_t next = 1;
    for (; next <= 50; ++next)
        submit(q, make_work(next, "c", rank::deferrable), start);
    std::uint64_t done = 1;
    for (; done <= 20; ++done)
        finish(q, id_of(done), base::token_count{100}, start + 1s);
    EXPECT_EQ(q.in_progress.size(), 2U) << "the idle share is lent";
    // One urgent request fits into the headroom; the next one gets the next
    // free slot before the queued deferrable ones.
    EXPECT_EQ(
        submit(q, make_work(100, "c", rank::urgent), start + 1s),
        actions{grant{id_of(100)}});
    EXPECT_TRUE(
        submit(q, make_work(101, "c", rank::urgent), start + 1s).empty());
    const auto out = finish(q, id_of(done), base::token_count{100}, start + 1s);
    EXPECT_EQ(out, actions{grant{id_of(101)}});
}

TEST(fairness, small_customers_are_untouched_by_large_ones)
{
    simulation s{make_queue(fixed_limit(10), 1), {}};
    for (int i = 0; i < 3; ++i)
        s.sources.push_back(
            {"large" + std::to_string(i), rank::standard, 2ms, 1, 300});
    // 7 small customers submit 5 requests/s each, below a tenth of the
    // capacity.
    for (int i = 0; i < 7; ++i)
        s.sources.push_back(
            {"small" + std::to_string(i), rank::standard, 200ms});
    s.run(20s);
    for (int i = 0; i < 7; ++i)
        EXPECT_GE(s.served["small" + std::to_string(i)], 0.95 * 20 * 5 * 100);
}

TEST(fairness, weights_and_corrections_decide_the_tokens_of_equal_customers)
{
    simulation s{make_queue(fixed_limit(10), 1), {}};
    s.sources = {
        {"a", rank::standard, 5ms, 1, 100},
        {"b", rank::standard, 5ms, 3, 100},
        // Longer answers must not give more tokens.
        {"c", rank::standard, 5ms, 1, 400}};
    s.run(30s);
    EXPECT_NEAR(s.served["b"] / s.served["a"], 3, 0.3);
    EXPECT_NEAR(s.served["c"] / s.served["a"], 1, 0.1);
}

TEST(fairness, state_is_bounded_with_10000_customers)
{
    auto q = make_queue(fixed_limit(4), 1);
    auto now = start;
    std::deque<base::request_id> running;
    std::size_t most = 0;
    const auto carry_out = [&](const actions& list) {
        for (const auto& a : list)
            if (const auto* granted = std::get_if<grant>(&a))
                running.push_back(granted->request);
    };
    for (std::uint64_t i = 1; i <= 30000; ++i, now += 1ms) {
        carry_out(
            submit(q, make_work(i, "c" + std::to_string(i % 10000)), now));
        if (i % 2 == 0 && !running.empty()) {
            const auto request = running.front();
            running.pop_front();
            carry_out(finish(q, request, base::token_count{500}, now));
        }
        most = std::max(most, customer_count(q));
    }
    EXPECT_LE(
        most, q.options.max_queued + 4 + internal::max_customers_in_debt + 1);
}

TEST(admission, refuses_at_once_what_would_miss_its_deadline)
{
    simulation s{make_queue(fixed_limit(1), 1), {}};
    s.sources = {{"c", rank::standard, 90ms}};
    s.run(5s);
    auto item = make_work(9000);
    item.first_token_deadline = start + 5s + 50ms;
    const auto out = submit(s.q, item, start + 5s);
    ASSERT_EQ(out.size(), 1U);
    const auto& refused = std::get<refuse>(out[0]);
    EXPECT_EQ(refused.reason.state, base::execution::not_run);
    EXPECT_EQ(refused.reason.code, base::failure_code::overloaded);
    EXPECT_GT(refused.reason.retry_after, 0ms);
    item = make_work(9001);
    item.first_token_deadline = start + 5s - 1ms;
    EXPECT_EQ(
        std::get<refuse>(submit(s.q, item, start + 5s).at(0)).reason.code,
        base::failure_code::deadline_exceeded);
}

TEST(admission, spreads_retry_after)
{
    auto options = fixed_limit(1);
    options.max_queued = 1;
    auto q = make_queue(options, 1);
    std::set<std::int64_t> waits;
    for (std::uint64_t i = 1; i <= 100; ++i)
        for (const auto& a : submit(q, make_work(i), start))
            if (const auto* refused = std::get_if<refuse>(&a)) {
                EXPECT_GE(refused->reason.retry_after, 100ms);
                EXPECT_LE(refused->reason.retry_after, 200ms);
                waits.insert(refused->reason.retry_after.count());
            }
    EXPECT_GT(waits.size(), 30U);
}

TEST(admission, a_full_queue_sheds_the_newest_request_of_the_largest_backlog)
{
    auto options = fixed_limit(1);
    options.max_queued = 10;
    options.urgent_headroom = 0;
    auto q = make_queue(options, 1);
    std::uint64_t next = 1;
    const auto add = [&](rank r, const char* customer) {
        return submit(q, make_work(next++, customer, r), start);
    };
    add(rank::standard, "running");
    for (int i = 0; i < 10; ++i)
        add(rank::deferrable, i < 8 ? "large" : "small");
    // The newest request of the customer with the largest backlog is refused
    // first.
    auto out = add(rank::urgent, "u");
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<refuse>(out[0]).request, id_of(9));
    // Urgent requests leave the other ranks their share of the queue.
    for (int i = 0; i < 40; ++i)
        add(rank::urgent, "u");
    EXPECT_EQ(q.ranks[2].queued, 1U);
    out = add(rank::deferrable, "large");
    EXPECT_EQ(std::get<refuse>(out.at(0)).reason.retry_after > 0ms, true);
    // A rank below its share of the queue gets a place from one above its own.
    add(rank::standard, "s");
    EXPECT_EQ(q.ranks[1].queued, 1U);
}

TEST(admission, stages_after_the_head_answer_at_once_within_the_headroom)
{
    auto options = fixed_limit(8);
    options.immediate_headroom = 0.25;
    auto q = make_queue(options, 1);
    std::uint64_t next = 1;
    const auto granted = [&](rank r) {
        const auto out = submit_now(q, make_work(next++, "c", r), start);
        return std::holds_alternative<grant>(out.at(0));
    };
    int standard = 0;
    while (granted(rank::standard))
        ++standard;
    EXPECT_EQ(standard, 10);
    int urgent = 0;
    while (granted(rank::urgent))
        ++urgent;
    EXPECT_EQ(standard + urgent, 12);
    EXPECT_EQ(load(q).queued, 0U);
}

// Applies events and checks after each one that every request is in exactly one
// state and no bound is exceeded. Returns all actions.
actions run_events(const std::vector<std::uint32_t>& events)
{
    queue_options options;
    options.max_queued = 12;
    options.limit = {.min = 1, .max = 6, .window = 2};
    auto q = make_queue(options, 42);
    auto now = start;
    actions all;
    std::set<base::request_id> submitted;
    std::map<base::request_id, rank> ranks;
    std::set<base::request_id> granted;
    std::set<base::request_id> refused;
    std::set<base::request_id> cancelled;
    std::uint64_t next = 1;
    for (const auto event : events) {
        now += base::duration(event % 50000);
        const auto pick = id_of(1 + event / 16 % next);
        const auto limit_before = load(q).limit;
        const auto running_before = load(q).in_progress;
        actions out;
        switch (event % 8) {
        case 0:
        case 1:
        case 2: {
            auto item = make_work(
                next++,
                "c" + std::to_string(event / 8 % 5),
                rank(event / 64 % 3));
            if (event / 512 % 2 == 0)
                item.first_token_deadline = now + base::duration(event % 90000);
            submitted.insert(item.request);
            ranks[item.request] = item.work_rank;
            out = submit(q, item, now);
            break;
        }
        case 3:
        case 4:
            out = finish(q, pick, base::token_count{event % 300}, now);
            break;
        case 5:
            if (is_queued(q, pick) || is_in_progress(q, pick))
                cancelled.insert(pick);
            out = cancel(q, pick, now);
            break;
        case 6:
            out = expire(q, now);
            break;
        default:
            out = observe_step(q, base::duration(event % 30000), now);
        }
        // Number of urgent grants after the last grant of another rank.
        std::uint32_t urgent_last = 0;
        bool other = false;
        for (const auto& a : out) {
            if (const auto* g = std::get_if<grant>(&a)) {
                RC_ASSERT(granted.insert(g->request).second);
                RC_ASSERT(!refused.contains(g->request));
                RC_ASSERT(submitted.contains(g->request));
                const bool urgent = ranks.at(g->request) == rank::urgent;
                urgent_last = urgent ? urgent_last + 1 : 0;
                other = other || !urgent;
            } else {
                const auto& r = std::get<refuse>(a);
                RC_ASSERT(refused.insert(r.request).second);
                RC_ASSERT(!granted.contains(r.request));
                RC_ASSERT(r.reason.state == base::execution::not_run);
            }
        }
        all.insert(all.end(), out.begin(), out.end());
        const auto report = load(q);
        RC_ASSERT(report.queued <= options.max_queued);
        // Only urgent requests exceed the limit, within the headroom.
        RC_ASSERT(!other || report.in_progress - urgent_last <= report.limit);
        const auto most = std::max(report.limit, limit_before);
        RC_ASSERT(
            report.in_progress <=
            std::max(running_before, most + (most + 3) / 4));
        RC_ASSERT(report.queued == 0 || report.in_progress >= report.limit);
        for (const auto& request : submitted) {
            const int states = is_queued(q, request) +
                               granted.contains(request) +
                               refused.contains(request);
            RC_ASSERT(
                states == 1 || (states == 0 && cancelled.contains(request)));
        }
    }
    return all;
}

RC_GTEST_PROP(queue, each_request_gets_one_grant_or_refusal, ())
{
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        150, rc::gen::inRange(0U, 1U << 30));
    // The same events give the same actions, down to the jitter.
    RC_ASSERT(run_events(events) == run_events(events));
}

} // namespace
} // namespace oleanderhinge::admission
