// Guards against requests that a server gets beyond its limit, and against
// callers who wait for one that has no permit.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

// Answers calls and streams, with the limit.
backend::behaviour answer_with_limit(const std::string& limit)
{
    return [limit](
               const net::http_request& request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        auto headers = server_headers(request);
        headers.push_back({"Limit", limit});
        const std::string body =
            request.target() == "/talk/x" ? three_events : "done";
        co_await exchange.respond(200, "", body, std::move(headers));
    };
}

asio::awaitable<void>
answer_500(const net::http_request& request, net::http_exchange& exchange)
{
    co_await exchange.respond(500, "", "", server_headers(request));
}

double retry_after_of(const net::http_outcome& outcome)
{
    const auto& headers = outcome.answer.headers;
    const auto found = std::ranges::find_if(headers, [](const auto& item) {
        return boost::beast::iequals(item.name, "Retry-After");
    });
    return found == headers.end() ? 0 : std::stod(found->value);
}

class forwarder_limits : public forwarder_fixture
{
protected:
    using forwarder_fixture::forwarder_fixture;

    // Limits both services of a server to this many requests a second.
    void limit(const std::string& name, double per_second)
    {
        wire::server_limits limits;
        for (const auto* service : {"desk", "chat"})
            limits.items.push_back({id_of(name, service), 1, per_second, 0});
        this->forward.note_limits(limits, base::monotonic_now());
    }

    // Permits that do not end during the test.
    void grant(const std::string& name, std::uint32_t permits)
    {
        wire::permit_grant granted;
        for (const auto* service : {"desk", "chat"})
            granted.items.push_back({id_of(name, service), 1, permits});
        note_grant(this->selector.permits, granted, base::monotonic_now() + 1h);
    }

    static base::backend_server_id
    id_of(const std::string& name, const char* service)
    {
        return base::backend_server_id{name + service};
    }

    // Each preferring `first`.
    void ask_often(const char* target, int times)
    {
        for (int i = 0; i < times; ++i) {
            this->io.poll();
            this->selector.health.clear();
            this->prefer_first_path();
            this->outcomes.push_back(this->ask(target));
        }
    }

    void reset()
    {
        this->selector.permits = {};
        this->selector.signals = {};
        this->selector.health.clear();
        this->first.seen.clear();
        this->second.seen.clear();
        this->outcomes.clear();
        ++this->selector.generation;
    }

    std::vector<net::http_outcome> outcomes;
};

// Guards against a kind of request that needs no permit, also while the path is
// cached, and against callers that are refused while another server is free.
TEST_F(forwarder_limits, another_server_takes_what_a_limited_one_does_not)
{
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"})
        for (const std::size_t permits : {0U, 1U, 3U}) {
            this->reset();
            this->first.behave = answer_with_limit("2");
            this->second.behave =
                std::string_view(target) == "/talk/x" ? stream : answer;
            this->ask_often(target, 1);
            this->limit("first", 2);
            this->grant("first", std::uint32_t(permits));
            this->first.seen.clear();
            this->ask_often(target, 5);
            EXPECT_EQ(this->first.seen.size(), permits) << target;
            for (const auto& outcome : this->outcomes)
                EXPECT_EQ(outcome.answer.status, 200U) << target;
        }
    // None was sent to a server that could not take it.
    EXPECT_EQ(this->stats.withheld.Value(), 0);
}

// Guards against repetitions that need no permit.
TEST_F(forwarder_limits, a_retry_needs_a_permit)
{
    struct row {
        const char* target;
        backend::behaviour first;
        backend::behaviour second;
    };
    for (const auto& row : std::vector<row>{
             {"/once/x", refuse, answer},
             {"/read/x", answer_500, answer},
             {"/talk/x", refuse, stream}})
        for (const std::size_t permits : {0U, 1U}) {
            this->reset();
            this->first.behave = row.first;
            this->second.behave = row.second;
            this->limit("second", 2);
            this->grant("second", std::uint32_t(permits));
            this->ask_often(row.target, 1);
            EXPECT_EQ(this->first.seen.size(), 1U) << row.target;
            EXPECT_EQ(this->second.seen.size(), permits) << row.target;
            EXPECT_EQ(this->outcomes.front().answer.status == 200, permits == 1)
                << row.target;
        }
}

// Guards against callers that wait, are told that the request may have run, or
// return before there are permits.
TEST_F(forwarder_limits, callers_are_refused_at_once_if_all_limits_are_used_up)
{
    this->first.behave = answer;
    this->second.behave = answer;
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"}) {
        this->reset();
        this->limit("first", 0.25);
        this->limit("second", 0.25);
        const auto refused = this->stats.limit_refusals.Value();
        this->ask_often(target, 3);
        EXPECT_EQ(this->runs(), 0U) << target;
        EXPECT_EQ(this->stats.limit_refusals.Value(), refused + 3) << target;
        // One permit in two seconds.
        double least = 2;
        for (const auto& outcome : this->outcomes) {
            EXPECT_EQ(outcome.answer.status, 503U) << target;
            EXPECT_NE(
                outcome.answer.body.find("\"not_run\""), std::string::npos)
                << outcome.answer.body;
            EXPECT_NE(outcome.answer.body.find("limits"), std::string::npos);
            EXPECT_NEAR(retry_after_of(outcome), least, 1) << target;
            least += 2;
        }
    }
    EXPECT_EQ(this->stats.withheld.Value(), 0);
}

// Both requests choose the limited server, which is the only one. Guards
// against a permit that is used twice, and against a request that chooses
// without end.
TEST_F(forwarder_limits, two_requests_race_for_one_permit)
{
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"}) {
        this->reset();
        this->first.behave = answer_with_limit("2");
        this->selector.servers = {};
        this->add_server("first", "near", this->first);
        this->limit("first", 2);
        this->grant("first", 1);
        int done = 0;
        int served = 0;
        for (int i = 0; i < 2; ++i)
            asio::co_spawn(
                this->io,
                [&]() -> asio::awaitable<void> {
                    net::http_call call{
                        "POST", target, {{"Id", "r1"}, {"Key", "key"}}, ""};
                    const auto outcome = co_await this->client.call(
                        this->address, std::move(call), 20s, net::reuse::never);
                    served += outcome.answer.status == 200 ? 1 : 0;
                    ++done;
                },
                asio::detached);
        while (done < 2)
            this->io.run_one();
        EXPECT_EQ(this->first.seen.size(), 1U) << target;
        EXPECT_EQ(served, 1) << target;
    }
    EXPECT_GT(this->stats.withheld.Value(), 0);
}

// Guards against a limit that no answer ends, or any answer does, and against
// one that control does not get.
TEST_F(forwarder_limits, answers_to_callers_begin_and_end_limits)
{
    struct row {
        const char* what;
        backend::behaviour next;
        bool limited;
    };
    const auto with = [](std::vector<wire::header> headers, unsigned status) {
        return backend::behaviour(
            [=](const net::http_request&,
                net::http_exchange& exchange) -> asio::awaitable<void> {
                auto copy = headers;
                co_await exchange.respond(status, "", "", std::move(copy));
            });
    };
    for (const auto& row : std::vector<row>{
             {"an answer without a limit", answer, false},
             {"a refusal without a limit", refuse, false},
             {"an error without a limit", answer_500, false},
             {"an answer with another limit", answer_with_limit("3"), true},
             {"a limit that cannot be read", answer_with_limit("-1"), true},
             {"another process",
              with({{"Id", "r1"}, {"Not-Run", "1"}}, 421),
              true},
             {"an answer without a mark", with({{"Id", "r1"}}, 503), true},
             {"an answer to another request",
              with({{"Id", "other"}, {"Seal", "1"}}, 200),
              true}}) {
        this->reset();
        this->shared_limits.clear();
        this->second.behave = answer;
        this->first.behave = answer_with_limit("2");
        this->ask_often("/read/x", 1);
        const server_incarnation process{id_of("first", "desk"), 1};
        const auto now = base::monotonic_now();
        EXPECT_TRUE(has_limit(this->selector.permits, process, now))
            << row.what;
        ASSERT_EQ(this->shared_limits.size(), 1U) << row.what;
        EXPECT_EQ(this->shared_limits.front().items.front().per_second, 2);
        this->first.behave = row.next;
        this->grant("first", 1);
        this->ask_often("/read/x", 1);
        EXPECT_EQ(
            has_limit(this->selector.permits, process, base::monotonic_now()),
            row.limited)
            << row.what;
        EXPECT_EQ(
            this->shared_limits.size() == 1,
            row.limited &&
                std::string_view(row.what) != "an answer with another limit")
            << row.what;
    }
}

// Guards against a stream that another server continues beyond its limit, and
// against one that is given up instead.
TEST_F(forwarder_limits, a_takeover_needs_a_permit)
{
    for (const std::size_t permits : {0U, 1U}) {
        this->reset();
        this->limit("second", 2);
        this->grant("second", std::uint32_t(permits));
        int queries = 0;
        asio::steady_timer timer(this->io);
        this->prefer_first_path();
        // Leaves after the first event, and goes on when it has been asked
        // several times, or another server has been.
        this->first.behave =
            [&](const net::http_request& request,
                net::http_exchange& exchange) -> asio::awaitable<void> {
            if (request.target() == "/state") {
                ++queries;
                std::vector<wire::header> headers{{"Leaving", "1"}};
                co_return (void) co_await exchange.respond(
                    200, "", "", std::move(headers));
            }
            co_await exchange.begin_stream(200, "", server_headers(request));
            co_await exchange.write_chunk("id: 1\ndata: x\n\n");
            while (queries < 3 && this->second.seen.empty()) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await exchange.write_chunk(
                "id: 2\ndata: x\n\nid: 3\ndata: x\n\n");
            co_await exchange.end_stream();
        };
        this->second.behave = stream;
        this->patience = 20s;
        if (permits == 0)
            this->start_stall_checks();
        EXPECT_EQ(this->ask("/talk/x").answer.body, three_events);
        EXPECT_EQ(this->second.seen.size(), permits);
        EXPECT_EQ(this->stats.resumed_streams.Value(), double(permits));
    }
}

class hedging_forwarder_limits : public forwarder_limits
{
protected:
    hedging_forwarder_limits()
        : forwarder_limits(forwarder_options{
              .retries = {.request_share = 10},
              .hedges = {.request_share = 1, .slack = 10}})
    {
    }
};

// Guards against second attempts that need no permit.
TEST_F(hedging_forwarder_limits, a_hedge_needs_a_permit)
{
    // Known usual times of the route make hedges early.
    this->first.behave = answer;
    this->second.behave = answer;
    this->ask_often("/read/x", 30);
    for (const std::size_t permits : {0U, 1U}) {
        this->reset();
        this->limit("second", 2);
        this->grant("second", std::uint32_t(permits));
        const auto hedged = this->stats.hedges.Add({{"event", "made"}}).Value();
        this->first.behave =
            [&](const net::http_request& request,
                net::http_exchange& exchange) -> asio::awaitable<void> {
            asio::steady_timer timer(this->io);
            // Until the hedge was made or was due.
            for (int i = 0; i < 40 && this->second.seen.empty(); ++i) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await answer(request, exchange);
        };
        this->ask_often("/read/x", 1);
        EXPECT_EQ(this->second.seen.size(), permits);
        EXPECT_EQ(
            this->stats.hedges.Add({{"event", "made"}}).Value(),
            hedged + double(permits));
        EXPECT_EQ(this->outcomes.front().answer.status, 200U);
    }
}

} // namespace
} // namespace oleanderhinge::gateway
