// Guards against a planned stop that passes on requests which it then cuts off,
// and against one that refuses requests which would end in time.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace test;

// Routes that promise an answer within `target`. A drain that has `late` left
// ends before it, one that has `early` left does not.
constexpr auto target = 20s;
constexpr auto late = 5s;
constexpr auto early = 60s;

class drain : public forwarder_fixture
{
protected:
    drain()
    {
        auto table = this->index->table();
        for (auto& route : table.routes) {
            route.target_latency_ms = 20000;
            route.timeout_ms = 100000;
        }
        auto& other = table.services.emplace_back(table.services[1]);
        other.name = "other";
        table.routes.push_back(table.routes.back());
        table.routes.back().path_prefix = "/other/";
        table.routes.back().targets = {{"other", 1}};
        this->index = std::make_shared<route_index>(table);
        this->forward.set_table(this->index);
        this->add_server_of_other("first", this->first);
        this->patience = 100s;
        this->first.behave = answer;
        this->second.behave = answer;
    }

    void add_server_of_other(const char* id, const backend& server)
    {
        wire::server_record record;
        record.id = base::backend_server_id{id};
        record.started_ms = 1;
        record.sequence = 1;
        record.service = "other";
        record.address = server.address.address;
        record.port = server.address.port;
        record.kind = "card";
        record.layers = {base::layer_index{0}, base::layer_index{4}};
        apply_record(this->selector, record, base::monotonic_now());
    }

    void begin_drain(base::duration left)
    {
        this->forward.begin_drain(base::monotonic_now() + left);
    }

    // Answers as `then` and begins a drain that is late by then.
    backend::behaviour and_drain(const backend::behaviour& then)
    {
        return [this, then](
                   const net::http_request& request,
                   net::http_exchange& exchange) -> asio::awaitable<void> {
            this->begin_drain(late);
            co_await then(request, exchange);
        };
    }

    std::string retry_after(const net::http_outcome& outcome) const
    {
        for (const auto& field : outcome.answer.headers)
            if (field.name == "Retry-After")
                return field.value;
        return "";
    }
};

// Guards against calls and streams that are passed on although the process ends
// before their answer, when no answer has shown yet how long they take, and
// against refusals of requests that end in time.
TEST_F(drain, requests_that_would_outlast_it_are_refused_as_not_run)
{
    struct row {
        const char* what;
        const char* target;
        base::duration left;
        std::chrono::milliseconds patience;
        bool served;
    };
    const std::vector<row> rows{
        {"a call, early", "/once/x", early, 100s, true},
        {"a stream, early", "/talk/x", early, 100s, true},
        {"a call, late", "/once/x", late, 100s, false},
        {"a call that may be repeated, late", "/read/x", late, 100s, false},
        {"a stream, late", "/talk/x", late, 100s, false},
        {"a call that gets an answer or 504 by then",
         "/once/x",
         late,
         2s,
         true},
        {"a call at the end", "/once/x", 0s, 2s, false},
    };
    for (const auto& row : rows) {
        // Nothing is known about the service.
        this->forward.set_table(
            std::make_shared<route_index>(wire::forwarding_table{}));
        this->forward.set_table(this->index);
        this->first.seen.clear();
        this->second.seen.clear();
        this->begin_drain(row.left);
        this->patience = row.patience;
        const auto streams = std::string_view(row.target) == "/talk/x";
        this->first.behave = streams ? stream : answer;
        this->second.behave = this->first.behave;
        const auto outcome = this->ask(row.target);
        EXPECT_EQ(outcome.answer.status, row.served ? 200U : 503U) << row.what;
        EXPECT_EQ(this->runs(), row.served ? 1U : 0U) << row.what;
        if (row.served)
            continue;
        EXPECT_NE(this->retry_after(outcome), "") << row.what;
        EXPECT_NE(outcome.answer.body.find("server_leaving"), std::string::npos)
            << row.what;
        EXPECT_NE(
            outcome.answer.body.find("\"execution\":\"not_run\""),
            std::string::npos)
            << row.what;
    }
}

// The answers so far were short, and this one may be long. Guards against a
// stream that is accepted by the time of earlier ones and cut off midway, and
// against a caller that waits before another gateway serves it.
TEST_F(drain, a_stream_that_may_outlast_it_is_refused_whatever_the_others_took)
{
    struct row {
        const char* what;
        std::optional<std::uint32_t> tokens;
        double slowness;
        // That others have for their first event.
        base::duration wait;
        bool served;
    };
    const std::vector<row> rows{
        {"length not stated", std::nullopt, 1, 0s, true},
        {"a short answer", 100, 1, 0s, true},
        {"a long answer", 6000, 1, 0s, false},
        {"a usual answer on a slow path", 600, 10, 0s, false},
        {"more tokens than a time can hold", 4294967295, 1000, 0s, false},
        {"one that ends in time unless servers slow down", 3600, 1, 0s, false},
        {"one that ends in time without a wait", 2600, 1, 0s, true},
        {"one that does not with it", 2600, 1, 1s, false},
    };
    this->first.behave = stream;
    this->second.behave = stream;
    for (const auto& row : rows) {
        this->begin_drain(early);
        this->answer_tokens.reset();
        ASSERT_EQ(this->ask("/talk/x").answer.status, 200U) << row.what;
        for (const auto* id : {"firstchat", "secondchat"})
            fleet::note_load(
                this->selector.servers,
                base::backend_server_id{id},
                {.slowness = row.slowness,
                 .layers = {base::layer_index{0}, base::layer_index{4}}});
        ++this->selector.generation;
        for (const auto* server : {&this->first, &this->second})
            this->selector.first_event_waits[server->address] = row.wait;
        this->first.seen.clear();
        this->second.seen.clear();
        this->begin_drain(late);
        this->answer_tokens = row.tokens;
        const auto outcome = this->ask("/talk/x");
        EXPECT_EQ(outcome.answer.status, row.served ? 200U : 503U) << row.what;
        EXPECT_EQ(this->runs(), row.served ? 1U : 0U) << row.what;
        EXPECT_EQ(this->retry_after(outcome), row.served ? "" : "0.01")
            << row.what;
    }
}

// The stop begins while a stream waits for its first event. Guards against an
// attempt that is given up for another one, which the drain then refuses.
TEST_F(drain, a_stream_that_waits_keeps_its_attempt)
{
    auto table = this->index->table();
    for (auto& route : table.routes)
        route.target_latency_ms = 200;
    this->index = std::make_shared<route_index>(table);
    this->forward.set_table(this->index);
    this->second.behave = stream;
    this->first.behave = stream;
    ASSERT_EQ(this->ask("/talk/x").answer.status, 200U);
    this->first.seen.clear();
    this->second.seen.clear();
    this->prefer_first_path();
    ++this->selector.generation;
    this->answer_tokens = 4000;
    this->first.behave =
        [this](
            const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state")
            co_return (void) co_await exchange.respond(200, "", "", {});
        this->begin_drain(late);
        asio::steady_timer timer(this->io, 1500ms);
        co_await timer.async_wait(asio::use_awaitable);
        co_await stream(request, exchange);
    };
    this->start_stall_checks();
    EXPECT_EQ(this->ask("/talk/x").answer.status, 200U);
    EXPECT_EQ(this->stats.left_paths.Value(), 0);
}

// Guards against the times of one service that decide for another one, and
// against refusals, late in a drain, of requests that end fast.
TEST_F(drain, the_times_of_a_service_decide_for_it_alone)
{
    this->first.behave = stream;
    this->second.behave = stream;
    EXPECT_EQ(this->ask("/other/x").answer.status, 200U);
    this->begin_drain(late);
    EXPECT_EQ(this->ask("/talk/x").answer.status, 503U);
    EXPECT_EQ(this->ask("/other/x").answer.status, 200U);
    EXPECT_EQ(this->runs(), 2U);
}

// A server refuses or fails late in the drain. Guards against a second attempt
// that is cut off, and against the verdict `not_run` for a request whose first
// attempt may have run.
TEST_F(drain, no_further_attempt_begins_late)
{
    struct row {
        const char* what;
        const char* target;
        backend::behaviour first;
        unsigned status;
        const char* execution;
    };
    const std::vector<row> rows{
        {"a call, refused", "/once/x", refuse, 503, "\"not_run\""},
        {"a stream, refused", "/talk/x", refuse, 503, "\"not_run\""},
        {"a call, broken off", "/read/x", break_off, 502, "\"may_have_run\""},
    };
    for (const auto& row : rows) {
        this->selector.health.clear();
        ++this->selector.generation;
        this->first.seen.clear();
        this->second.seen.clear();
        this->begin_drain(early);
        this->prefer_first_path();
        this->first.behave = this->and_drain(row.first);
        this->second.behave = this->first.behave;
        const auto outcome = this->ask(row.target);
        EXPECT_EQ(outcome.answer.status, row.status) << row.what;
        EXPECT_EQ(this->runs(), 1U) << row.what;
        EXPECT_NE(outcome.answer.body.find(row.execution), std::string::npos)
            << row.what;
    }
}

// The stop begins while a request waits for its connection. Guards against a
// request that is sent after the decision has become untrue.
TEST_F(drain, a_request_that_waits_for_its_connection_is_not_sent_late)
{
    auto fresh = this->make_forwarder();
    fresh.set_table(this->index);
    const auto outcome = this->ask_fresh(
        fresh, [&] { fresh.begin_drain(base::monotonic_now() + late); });
    EXPECT_EQ(outcome.answer.status, 503U);
    EXPECT_EQ(this->runs(), 0U);
}

// The stop begins while a request waits for the first table. Guards against a
// wait until the process ends, without an answer.
TEST_F(drain, a_request_without_a_table_is_answered_before_the_end)
{
    auto fresh = this->make_forwarder();
    bool ended = false;
    asio::steady_timer process_end(this->io, 500ms);
    process_end.async_wait(
        [&](const boost::system::error_code&) { ended = true; });
    const auto end = base::monotonic_now() + 500ms;
    const auto outcome =
        this->ask_fresh(fresh, [&] { fresh.begin_drain(end); });
    EXPECT_FALSE(ended);
    EXPECT_EQ(outcome.answer.status, 503U);
    EXPECT_NE(outcome.answer.body.find("not_ready"), std::string::npos);
    EXPECT_EQ(this->runs(), 0U);
}

// A server takes longer than the drain. Guards against a request that was
// accepted before it and is cut off without an answer.
TEST_F(drain, a_request_that_does_not_end_in_time_gets_an_answer)
{
    struct row {
        const char* target;
        unsigned status;
    };
    for (const auto& row : {
             row{"/once/x", 504U},
             row{"/read/x", 504U},
             row{"/talk/x", 502U},
         }) {
        this->begin_drain(early);
        int sent = 0;
        bool ended = false;
        asio::steady_timer process_end(this->io);
        this->first.behave =
            [&](const net::http_request& request,
                net::http_exchange& exchange) -> asio::awaitable<void> {
            if (request.target() == "/state")
                co_return (void) co_await exchange.respond(200, "", "", {});
            ++sent;
            this->begin_drain(1s);
            process_end.expires_after(1s);
            co_await process_end.async_wait(asio::use_awaitable);
            ended = true;
        };
        this->second.behave = this->first.behave;
        this->start_stall_checks();
        const auto outcome = this->ask(row.target);
        EXPECT_FALSE(ended) << row.target;
        EXPECT_EQ(outcome.answer.status, row.status) << row.target;
        EXPECT_NE(
            outcome.answer.body.find("\"may_have_run\""), std::string::npos)
            << row.target;
        EXPECT_EQ(sent, 1) << row.target;
        while (!ended)
            this->io.run_one();
    }
}

// Guards against a stream that is cut off while its caller gets events, since
// requests without an answer are ended before the process.
TEST_F(drain, a_stream_that_has_begun_is_not_ended_early)
{
    this->prefer_first_path();
    this->first.behave =
        pause_after_first_event(this->io, "", this->state_queries, [this] {
            if (this->stats.events.Value() == 0)
                return false;
            this->begin_drain(100ms);
            this->forward.tick();
            return true;
        });
    this->second.behave = this->first.behave;
    EXPECT_EQ(this->ask("/talk/x").answer.body, three_events);
    EXPECT_EQ(this->runs(), 1U);
}

// Guards against a stream that is not resumed late in a stop, although its
// caller has events already.
TEST_F(drain, a_stream_that_has_begun_is_resumed_late)
{
    this->begin_drain(early);
    this->prefer_first_path();
    this->first.behave = this->and_drain(break_off);
    this->second.behave = stream;
    EXPECT_EQ(
        this->ask("/talk/x").answer.body,
        "id: 1\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
}

// SIGINT, or a pause of the process, ends the drain without a further
// tick. Guards against requests that are cut off without an answer by it.
TEST_F(drain, requests_get_an_answer_if_it_ends_at_once)
{
    for (const auto* path : {"/once/x", "/read/x", "/talk/x"}) {
        this->begin_drain(early);
        bool answered = false;
        this->first.behave = [&](const net::http_request&,
                                 net::http_exchange&) -> asio::awaitable<void> {
            asio::post(this->io, [this] { this->forward.end_drain(); });
            asio::steady_timer timer(this->io);
            while (!answered) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
        };
        this->second.behave = this->first.behave;
        const auto outcome = this->ask(path);
        EXPECT_NE(
            outcome.answer.body.find("\"may_have_run\""), std::string::npos)
            << path;
        answered = true;
        while (this->first.server.active() + this->second.server.active() > 0)
            this->io.run_one();
        EXPECT_EQ(this->ask(path).answer.status, 503U) << path;
    }
    EXPECT_EQ(this->runs(), 3U);
}

// The process of a server ends while the stop ends its request. Guards against
// evidence of a crash in an attempt that the gateway itself ended, and against
// an answer that waits for a probe of the server until the process has ended.
TEST_F(drain, a_request_that_is_ended_shows_no_crash)
{
    bool answered = false;
    this->first.behave = [&](const net::http_request&,
                             net::http_exchange&) -> asio::awaitable<void> {
        this->first.server.drain();
        this->second.server.drain();
        this->begin_drain(200ms);
        asio::steady_timer timer(this->io);
        while (!answered) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->second.behave = this->first.behave;
    this->start_stall_checks();
    EXPECT_EQ(this->ask("/talk/x").answer.status, 502U);
    EXPECT_EQ(this->runs(), 1U);
    EXPECT_EQ(this->stats.crashes.Value(), 0);
    EXPECT_TRUE(this->shared_evidence.empty());
    answered = true;
}

} // namespace
} // namespace oleanderhinge::gateway
