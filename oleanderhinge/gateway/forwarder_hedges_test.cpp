// Guards against second attempts beside the first that break what a request is
// promised: one answer of one attempt, no second run where none is allowed, a
// true refusal, and no work for an answer that nobody waits for.
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"
#include "oleanderhinge/net/early_backend_test.hpp"

#include <gtest/gtest.h>

#include <set>

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

class hedged_forwarder : public forwarder_fixture
{
protected:
    // Each request earns enough for its repetitions.
    explicit hedged_forwarder(double hedge_share = 10)
        : forwarder_fixture(forwarder_options{
              .retries = {.request_share = 10, .slack = 0},
              .hedges = {.request_share = hedge_share, .slack = 0}})
    {
        auto table = this->index->table();
        for (auto& route : table.routes)
            if (!route.streaming) {
                route.target_latency_ms = 40;
                route.timeout_ms = 60000;
            }
        this->index = std::make_shared<route_index>(table);
        this->forward.set_table(this->index);
    }

    // Does it once `ready` returns true. Counts the peers that leave before.
    backend::behaviour
    when(std::function<bool()> ready, backend::behaviour then)
    {
        return [this, ready = std::move(ready), then = std::move(then)](
                   const net::http_request& request,
                   net::http_exchange& exchange) -> asio::awaitable<void> {
            const auto left = std::make_shared<bool>(false);
            exchange.watch_client([this, left] {
                *left = true;
                ++this->cancelled;
            });
            asio::steady_timer timer(this->io);
            while (!*left && !ready()) {
                timer.expires_after(2ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (!*left)
                co_await then(request, exchange);
        };
    }

    backend::behaviour hang()
    {
        return this->when([] { return false; }, answer);
    }

    std::function<bool()> both_asked()
    {
        return [this] { return this->runs() == 2; };
    }

    double hedges(const char* event)
    {
        return this->stats.hedges.Add({{"event", event}}).Value();
    }

    double withheld(const char* reason)
    {
        return this->stats.withheld_hedges.Add({{"reason", reason}}).Value();
    }

    bool wait_for(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->io.run_one_for(10ms);
        return condition();
    }

    int cancelled = 0;
};

backend::behaviour answer_with(unsigned status, const std::string& body)
{
    return [status, body](
               const net::http_request& request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.respond(status, "", body, server_headers(request));
    };
}

// Each row: what the servers do, and what the caller gets. Load: one server
// that does not answer in time.
TEST_F(hedged_forwarder, the_first_acceptable_answer_counts)
{
    struct row {
        const char* what;
        backend::behaviour first;
        backend::behaviour second;
        unsigned status;
        const char* body;
        const char* event;
        int cancelled;
    };
    const auto asked = this->both_asked();
    const auto first_answer = answer_with(200, "from the first");
    const auto second_answer = answer_with(200, "from the second");
    const std::vector<row> rows{
        {"the first server hangs",
         this->hang(),
         second_answer,
         200,
         "from the second",
         "won",
         1},
        {"the first answer comes before that of the hedge",
         this->when(asked, first_answer),
         this->hang(),
         200,
         "from the first",
         "lost",
         1},
        {"an error of the first waits for the second",
         this->when(asked, answer_with(500, "error")),
         this->when(
             [this] {
                 return this->selector.health[this->first.address]
                            .failures_in_a_row > 0;
             },
             second_answer),
         200,
         "from the second",
         "won",
         0},
        {"an answer with an error of the caller is final",
         this->hang(),
         answer_with(404, "unknown"),
         404,
         "unknown",
         "won",
         1},
        {"both fail",
         this->when(asked, break_off),
         break_off,
         502,
         nullptr,
         "failed",
         0},
        {"both refuse",
         this->when(asked, refuse),
         refuse,
         503,
         nullptr,
         "failed",
         0},
        {"the hedge is refused, the first may have run",
         this->when(asked, break_off),
         refuse,
         502,
         nullptr,
         "failed",
         0},
        {"the first is refused, the hedge may have run",
         this->when(asked, refuse),
         break_off,
         502,
         nullptr,
         "failed",
         0}};
    for (const auto& row : rows) {
        this->io.poll();
        this->selector.health.clear();
        this->first.seen.clear();
        this->second.seen.clear();
        this->cancelled = 0;
        const auto before = this->hedges(row.event);
        this->first.behave = row.first;
        this->second.behave = row.second;
        const auto outcome = this->ask("/read/x");
        EXPECT_EQ(outcome.answer.status, row.status) << row.what;
        if (row.body != nullptr) {
            EXPECT_EQ(outcome.answer.body, row.body) << row.what;
        }
        EXPECT_EQ(this->runs(), 2U) << row.what;
        EXPECT_EQ(this->hedges(row.event), before + 1) << row.what;
        EXPECT_TRUE(this->wait_for([&] {
            return this->cancelled == row.cancelled;
        })) << row.what;
    }
}

// The second server resets its answer, which has no length, while the request
// is being written. Guards against the part of it that has arrived as the first
// acceptable answer.
TEST_F(hedged_forwarder, an_answer_that_was_reset_does_not_count)
{
    net::test::early_backend early(this->io);
    early.restart(
        unframed("200 OK", genuine, "part"),
        net::test::early_backend::then::reset);
    this->request_body.assign(max_body_bytes, 'x');
    this->selector.servers = {};
    this->add_server("first", "near", this->first);
    this->add_server("second", "far", early.address());
    this->first.behave = this->when(
        [&] {
            return this->selector.health[early.address()].failures_in_a_row > 0;
        },
        answer_with(200, "from the first"));
    const auto outcome = this->ask("/read/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(outcome.answer.body, "from the first");
    EXPECT_EQ(early.heads, 1);
    EXPECT_EQ(this->hedges("lost"), 1);
}

// Both servers answer at once, so that either answer may count. Guards against
// an answer made of both.
TEST_F(hedged_forwarder, answers_of_the_same_moment_are_not_joined)
{
    for (int i = 0; i < 20; ++i) {
        this->first.seen.clear();
        this->second.seen.clear();
        this->selector.health.clear();
        const auto asked = this->both_asked();
        this->first.behave = this->when(asked, answer_with(200, "from one"));
        this->second.behave = this->when(asked, answer_with(200, "of two"));
        const auto outcome = this->ask("/read/x");
        EXPECT_EQ(outcome.answer.status, 200U);
        EXPECT_TRUE(
            outcome.answer.body == "from one" ||
            outcome.answer.body == "of two")
            << outcome.answer.body;
    }
}

// Guards against the connection of a cancelled attempt, on which a late answer
// may follow, that serves another request.
TEST_F(hedged_forwarder, the_connection_of_a_cancelled_attempt_is_closed)
{
    this->first.behave = this->hang();
    this->second.behave = answer;
    EXPECT_EQ(this->ask("/read/x").answer.status, 200U);
    EXPECT_EQ(this->stats.cancelled_attempts.Value(), 1);
    EXPECT_EQ(this->forward.idle_connections(), 1U);
    EXPECT_EQ(this->selector.health[this->first.address].in_progress, 0U);
    EXPECT_EQ(this->selector.health[this->second.address].in_progress, 0U);
    EXPECT_EQ(this->selector.health[this->first.address].failures_in_a_row, 0U);
    // The server that was slow counts as slow.
    EXPECT_GT(
        this->selector.health[this->first.address].latency_ms,
        this->selector.health[this->second.address].latency_ms);
}

// Guards against work of two servers for a caller that has left.
TEST_F(hedged_forwarder, a_caller_that_leaves_ends_both_attempts)
{
    this->first.behave = this->hang();
    this->second.behave = this->hang();
    std::optional<net::http_client> leaving(std::in_place, this->io, 1);
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void> {
            // Without the caller's leave, the attempts would last as long.
            net::http_call call{
                "POST",
                "/read/x",
                {{"Id", "r1"}, {"Key", "key"}, {"Patience", "60000"}},
                "body"};
            co_await leaving->call(
                this->address, std::move(call), 300ms, net::reuse::never);
        },
        asio::detached);
    EXPECT_TRUE(this->wait_for([&] { return this->cancelled == 2; }));
    EXPECT_TRUE(
        this->wait_for([&] { return this->forward.in_progress() == 0; }));
    EXPECT_EQ(this->runs(), 2U);
}

// Each row: why no second attempt is made. Guards against a second run of a
// request that may run once, and against hedges that nobody asked for or that
// take what others need.
TEST_F(hedged_forwarder, no_second_attempt_where_none_is_allowed)
{
    struct row {
        const char* what;
        const char* target;
        std::function<void()> prepare;
        // Counted as withheld; null: no hedge was due.
        const char* reason;
    };
    const std::vector<row> rows{
        {"a route whose requests run once", "/once/x", [] {}, nullptr},
        {"the only other server failed lately",
         "/read/x",
         [this] {
             note_failure(
                 this->selector,
                 this->second.address,
                 base::monotonic_now() + 1min);
         },
         "no_server"},
        {"a drain has begun",
         "/read/x",
         [this] { this->forward.begin_drain(base::monotonic_now() + 1min); },
         "not_allowed"}};
    for (const auto& row : rows) {
        this->selector.health.clear();
        this->first.seen.clear();
        this->second.seen.clear();
        row.prepare();
        const auto asked = std::chrono::steady_clock::now();
        const auto before = row.reason ? this->withheld(row.reason) : 0;
        // A hedge would be made after 20 ms.
        this->first.behave = this->when(
            [&] {
                return row.reason
                           ? this->withheld(row.reason) > before
                           : std::chrono::steady_clock::now() >= asked + 100ms;
            },
            answer);
        this->second.behave = answer;
        EXPECT_EQ(this->ask(row.target).answer.status, 200U) << row.what;
        EXPECT_EQ(this->runs(), 1U) << row.what;
    }
    EXPECT_EQ(this->hedges("made"), 0);
}

// A request crashes both servers. Guards against a quarantine that counts the
// two attempts as one.
TEST_F(hedged_forwarder, a_crash_counts_for_each_attempt)
{
    const auto asked = this->both_asked();
    this->first.behave = this->when(asked, crash(this->first));
    this->second.behave = this->when(asked, crash(this->second));
    EXPECT_EQ(this->ask("/read/x").answer.status, 502U);
    EXPECT_EQ(this->stats.crashes.Value(), 2);
    std::set<base::prompt_part> attempts;
    for (const auto& news : this->shared_evidence)
        for (const auto& report : news.crashes)
            if (report.own != part_of("r1"))
                attempts.insert(report.own);
    EXPECT_EQ(attempts.size(), 2U);
}

} // namespace
} // namespace oleanderhinge::gateway
