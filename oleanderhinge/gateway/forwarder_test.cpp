#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>

namespace oleanderhinge::gateway
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace test;

// Each row: the route, what the two servers do, the status that the caller gets
// and how many requests were sent. Guards against a second run of a call that
// may run once at most, against a 503 for a request that may have run, and
// against answers to other requests.
TEST_F(forwarder_fixture, verdicts_decide_what_is_sent_again)
{
    struct row {
        const char* what;
        const char* target;
        backend::behaviour first;
        backend::behaviour second;
        unsigned status;
        std::size_t sent;
    };
    const std::vector<row> rows{
        {"a call", "/once/x", answer, answer, 200, 1},
        {"refused, so sent to the other server",
         "/once/x",
         refuse,
         answer,
         200,
         2},
        {"refused by both", "/once/x", refuse, refuse, 503, 2},
        {"broken off, so it may have run",
         "/once/x",
         break_off,
         answer,
         502,
         1},
        // The expected answer may follow that to another request.
        {"answer to another request",
         "/once/x",
         answer_for_another_request,
         answer,
         504,
         1},
        {"broken off, may be repeated", "/read/x", break_off, answer, 200, 2},
        {"answer to another request, may be repeated",
         "/read/x",
         answer_for_another_request,
         answer,
         200,
         2},
        {"broken off by both", "/read/x", break_off, break_off, 502, 2},
        {"a stream", "/talk/x", stream, stream, 200, 1},
        {"a stream, refused", "/talk/x", refuse, stream, 200, 2},
        {"a stream, refused by both", "/talk/x", refuse, refuse, 503, 2},
    };
    for (const auto& row : rows) {
        // Work that the previous row left behind must not count for this one.
        this->io.poll();
        this->selector.health.clear();
        ++this->selector.generation;
        this->first.seen.clear();
        this->second.seen.clear();
        this->first.behave = row.first;
        this->second.behave = row.second;
        this->prefer_first_path();
        const auto outcome = this->ask(row.target);
        EXPECT_EQ(outcome.answer.status, row.status) << row.what;
        EXPECT_EQ(this->runs(), row.sent) << row.what;
        EXPECT_EQ(outcome.answer.body.find("not yours"), std::string::npos)
            << row.what;
    }
}

// Guards against lost, repeated or merged events when a server breaks off
// inside an event.
TEST_F(forwarder_fixture, a_broken_stream_resumes_on_another_path)
{
    this->prefer_first_path();
    this->first.behave = break_off;
    this->second.behave = stream;
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(
        outcome.answer.body,
        "id: 1\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
    ASSERT_EQ(this->second.seen.size(), 1U);
    EXPECT_EQ(this->second.seen[0]["After"], "1");
}

// A server in the middle of a path stops answering. Guards against streams that
// are begun again, with a second reading of the prompt and one attempt less,
// although their first server could continue them along another path.
TEST_F(forwarder_fixture, a_stalled_stream_changes_its_path)
{
    this->stall_behind_first("lost");
    bool changed = false;
    std::string parts;
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state")
            co_return (void) co_await exchange.respond(200, "", "", {});
        if (request.target() == "/order/r1") {
            changed = true;
            parts = request.body();
            co_return (void) co_await exchange.respond(202, "", "", {});
        }
        auto headers = server_headers(request);
        co_await exchange.begin_stream(200, "", std::move(headers));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        asio::steady_timer timer(this->io);
        while (!changed) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.write_chunk("id: 2\ndata: x\n\n");
        co_await exchange.end_stream();
    };
    this->start_stall_checks();
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(outcome.answer.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    EXPECT_EQ(parts, "head,other");
    EXPECT_EQ(this->stats.attempts.Value(), 1);
}

// The first server refuses to change the path. Guards against a stream that
// hangs until its deadline: the attempt is cancelled and another one is made.
TEST_F(forwarder_fixture, a_stream_whose_path_cannot_change_is_begun_again)
{
    this->stall_behind_first("lost");
    int streams = 0;
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state")
            co_return (void) co_await exchange.respond(200, "", "", {});
        if (request.target() == "/order/r1")
            co_return (void) co_await exchange.respond(409, "", "", {});
        if (++streams > 1)
            co_return co_await stream(request, exchange);
        auto headers = server_headers(request);
        co_await exchange.begin_stream(200, "", std::move(headers));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        asio::steady_timer timer(this->io);
        timer.expires_after(5s);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    };
    this->start_stall_checks();
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(
        outcome.answer.body,
        "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
    EXPECT_EQ(streams, 2);
}

// A server stops in the middle of an answer without closing the connection.
// Guards against a stream that is given up and not continued.
TEST_F(forwarder_fixture, a_silent_stream_is_continued_on_another_path)
{
    EXPECT_EQ(this->ask_paused_server(""), three_events);
}

// Guards against a stalled stream that a byte now and then keeps alive.
TEST_F(forwarder_fixture, bytes_without_an_event_do_not_keep_a_stream_alive)
{
    EXPECT_EQ(this->ask_paused_server(":"), three_events);
}

// A server stands still for a while, and no other path can take its stream.
// Guards against a gateway that ends an answer because its server is silent.
TEST_F(forwarder_fixture, a_silent_stream_without_another_path_goes_on)
{
    this->stall_behind_first("lost");
    this->selector.servers.servers.erase(base::backend_server_id{"other"});
    ++this->selector.generation;
    int& queries = this->state_queries;
    this->first.behave = pause_after_first_event(
        this->io, "", queries, [&] { return queries >= 8; });
    this->patience = 20s;
    this->start_stall_checks();
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.body, three_events);
    EXPECT_EQ(this->stats.attempts.Value(), 1);
}

// A path fails, and all of its streams need memory on other paths at once.
// Guards against streams that end at the first refusal while their callers
// still wait.
TEST_F(forwarder_fixture, a_stream_that_is_refused_midway_is_sent_again)
{
    this->prefer_first_path();
    int calls = 0;
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (++calls == 1)
            co_return co_await break_off(request, exchange);
        if (calls <= 3)
            co_return co_await refuse(request, exchange);
        co_await stream(request, exchange);
    };
    this->second.behave = refuse;
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(
        outcome.answer.body,
        "id: 1\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
    EXPECT_GT(this->runs(), 3U);
}

// Guards against a stream that looks complete although its server broke off.
TEST_F(forwarder_fixture, a_stream_that_cannot_resume_does_not_end_properly)
{
    this->first.behave = break_off;
    this->second.behave = refuse;
    const auto outcome = this->ask("/talk/x");
    EXPECT_NE(outcome.failure, net::http_failure::none);
}

// Guards against crashes that a gateway does not attribute to the request that
// waited for its first event, and against a caller who is told that the request
// has not run.
TEST_F(
    forwarder_fixture, a_server_that_crashes_before_the_first_event_is_evidence)
{
    this->part = "deadly";
    this->first.behave = crash(this->first);
    this->second.behave = crash(this->second);
    EXPECT_EQ(this->ask("/talk/x").answer.status, 502U);
    ASSERT_FALSE(this->shared_evidence.empty());
    // One for the part of the prompt, and one for the request.
    ASSERT_EQ(this->shared_evidence[0].crashes.size(), 2U);
    const auto& crash = this->shared_evidence[0].crashes[0];
    EXPECT_EQ(crash.own, part_of("r1"));
    EXPECT_EQ(crash.shared, std::vector{part_of("deadly")});
    const auto& whole = this->shared_evidence[0].crashes[1];
    EXPECT_EQ(whole.shared.size(), 1U);
    EXPECT_NE(whole.shared, crash.shared);
}

// Guards against suspecting requests whose connection broke although their
// server goes on, and those that it had begun to answer.
TEST_F(forwarder_fixture, a_broken_connection_to_a_living_server_is_no_evidence)
{
    this->part = "sound";
    this->first.behave =
        [](const net::http_request& request,
           net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.begin_stream(200, "", server_headers(request));
    };
    this->second.behave = break_off;
    this->ask("/talk/x");
    EXPECT_TRUE(this->shared_evidence.empty());
}

// Guards against requests with a quarantined part that reach a server, and
// against callers who are not told when to return.
TEST_F(forwarder_fixture, a_quarantined_request_is_refused)
{
    this->part = "deadly";
    this->first.behave = stream;
    for (const auto* other : {"r2", "r3", "r4"})
        fleet::note_crash(
            this->quarantine,
            {part_of(other), {part_of("deadly")}},
            {other, 80},
            base::monotonic_now());
    const auto refused = this->ask("/talk/x").answer;
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(this->runs(), 0U);
    const auto found = std::find_if(
        refused.headers.begin(), refused.headers.end(), [](const auto& item) {
            return item.name == "Retry-After";
        });
    ASSERT_NE(found, refused.headers.end());
    EXPECT_GT(std::stod(found->value), 200);
    this->part = "sound";
    EXPECT_EQ(this->ask("/talk/x").answer.status, 200U);
}

// The server of another request with the same part has crashed. Guards against
// the repetition that crashes a third one.
TEST_F(forwarder_fixture, a_request_on_a_suspected_part_is_not_repeated)
{
    this->part = "deadly";
    fleet::note_crash(
        this->quarantine,
        {part_of("r2"), {part_of("deadly")}},
        {"r2", 80},
        base::monotonic_now());
    this->first.behave = crash(this->first);
    this->second.behave = crash(this->second);
    EXPECT_EQ(this->ask("/talk/x").answer.status, 502U);
    EXPECT_EQ(this->runs(), 1U);
}

// Guards against requests that reach a server without a route or a customer,
// and against a final refusal by a gateway that has no table yet: it answers
// 503 with a Retry-After.
TEST_F(forwarder_fixture, requests_that_no_table_allows_reach_no_server)
{
    this->first.behave = answer;
    EXPECT_EQ(this->ask("/none/x").answer.status, 404U);
    this->key = "unknown";
    EXPECT_EQ(this->ask("/once/x").answer.status, 401U);
    EXPECT_EQ(this->runs(), 0U);
    auto fresh = this->make_forwarder();
    const auto refused = this->ask_fresh(fresh, [] {}).answer;
    EXPECT_EQ(refused.status, 503U);
    EXPECT_TRUE(std::any_of(
        refused.headers.begin(), refused.headers.end(), [](const auto& item) {
            return item.name == "Retry-After";
        }));
}

// After a power loss callers return before control has elected a leader. Guards
// against refusing the only try that a caller has left.
TEST_F(forwarder_fixture, callers_wait_a_little_for_the_first_table)
{
    this->first.behave = answer;
    auto fresh = this->make_forwarder();
    const auto outcome =
        this->ask_fresh(fresh, [&] { fresh.set_table(this->index); });
    EXPECT_EQ(outcome.answer.status, 200U);
}

// Guards against a request that is neither served nor forgotten, since its
// method has no body otherwise.
TEST_F(forwarder_fixture, a_body_may_come_with_any_method)
{
    for (const auto* name : {"GET", "DELETE", "TRACE"})
        for (const auto* target : {"/once/x", "/read/x", "/talk/x"}) {
            const auto what = std::string(name) + " " + target;
            this->method = name;
            this->first.behave =
                std::string_view(target) == "/talk/x" ? stream : answer;
            this->second.behave = this->first.behave;
            EXPECT_EQ(this->ask(target).answer.status, 200U) << what;
            this->io.poll();
            EXPECT_EQ(this->forward.in_progress(), 0U) << what;
            for (const auto& [at, health] : this->selector.health)
                EXPECT_EQ(health.in_progress, 0U) << what;
        }
    EXPECT_EQ(this->runs(), 9U);
    for (const auto* server : {&this->first, &this->second})
        for (const auto& seen : server->seen)
            EXPECT_EQ(seen.body(), "body") << seen.method_string();
}

// Guards against customer keys that reach a server and against customers that
// callers choose themselves.
TEST_F(forwarder_fixture, servers_get_the_customer_and_the_time_left)
{
    this->first.behave = answer;
    this->ask("/once/x?y=1");
    ASSERT_EQ(this->first.seen.size(), 1U);
    const auto& seen = this->first.seen[0];
    EXPECT_EQ(seen.target(), "/once/x?y=1");
    EXPECT_EQ(seen.body(), "body");
    EXPECT_EQ(seen["Customer"], "hule");
    EXPECT_EQ(seen["Server"], "firstdesk");
    EXPECT_EQ(seen["Key"], "");
    EXPECT_LE(std::stoi(std::string(seen["Left"])), 2000);
    EXPECT_GT(std::stoi(std::string(seen["Left"])), 0);
}

} // namespace
} // namespace oleanderhinge::gateway
