// Guards against streams of services without engines that are passed on as
// plain calls: whole whatever their events say, and only once they have ended.
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

const std::string event_1 = "id: 1\ndata: x\n\n";

struct broken_stream {
    const char* what;
    std::string body;
    // What the caller gets of it: its whole events.
    std::string events;
};

std::vector<broken_stream> broken_streams()
{
    return {
        {"ends inside a field", event_1 + "id: 2\nda", event_1},
        {"ends in front of an empty line",
         event_1 + "id: 2\ndata: x\n",
         event_1},
        {"goes on with what is no event", event_1 + "no memory\n\n", event_1},
        {"ends inside its first event", "id: 1\nda", ""},
        {"has no event", "", ""}};
}

class plain_streams : public raw_answers_fixture
{
protected:
    // `raw` is preferred to the second server, which sends a whole stream.
    void use_broken_server(const std::string& answer)
    {
        // The request before counts in what `use_raw_server` clears.
        while (this->forward.in_progress() != 0)
            this->io.run_one();
        this->use_raw_server(true);
        this->selector.servers = {};
        this->selector.home = base::data_centre_id{"near"};
        this->add_server("first", "near", this->raw.address());
        this->add_server("second", "far", this->second);
        this->raw.answers = {{answer, after_answer::close}};
        this->second.behave = stream;
        this->second.seen.clear();
    }

    std::uint32_t failures_of(const wire::endpoint& server) const
    {
        const auto found = this->selector.health.find(server);
        return found == this->selector.health.end()
                   ? 0
                   : found->second.failures_in_a_row;
    }
};

// Guards against a part of a stream that its caller takes for the whole one, as
// nothing but its events shows that it broke off.
TEST_F(plain_streams, a_stream_that_ends_inside_an_event_is_not_complete)
{
    for (const auto& row : broken_streams())
        for (const auto frame : {with_length, in_chunks, unframed}) {
            const auto answer = frame("200 OK", genuine, row.body);
            this->use_broken_server(answer);
            const auto view = this->watch("/news-once/x");
            EXPECT_FALSE(view.status == 200 && view.complete)
                << row.what << answer;
            EXPECT_EQ(view.status, row.events.empty() ? 502U : 200U)
                << row.what << answer;
            if (!row.events.empty()) {
                EXPECT_EQ(view.body, row.events) << row.what << answer;
            }
            EXPECT_TRUE(this->second.seen.empty()) << row.what << answer;
        }
}

// Guards against a stream that waits until its caller leaves for a repetition
// that its route forbids.
TEST_F(plain_streams, one_that_may_run_once_ends_as_soon_as_it_breaks_off)
{
    this->use_broken_server(unframed("200 OK", genuine, event_1 + "id: 2\n"));
    const auto outcome = this->ask("/news-once/x");
    EXPECT_NE(outcome.failure, net::http_failure::none);
    EXPECT_EQ(this->stats.resumed_streams.Value(), 0);
    EXPECT_EQ(this->forward.in_progress(), 0U);
}

// Guards against a caller that has to resume a stream by itself although its
// route allows another attempt, and against a server that goes on getting
// requests although its streams break off.
TEST_F(plain_streams, a_stream_that_broke_off_goes_on_after_its_last_event)
{
    for (const auto& row : broken_streams())
        for (const auto frame : {with_length, in_chunks, unframed}) {
            const auto answer = frame("200 OK", genuine, row.body);
            this->use_broken_server(answer);
            const auto view = this->watch("/news/x");
            EXPECT_EQ(view.status, 200U) << row.what << answer;
            EXPECT_TRUE(view.complete) << row.what << answer;
            EXPECT_EQ(view.body, three_events) << row.what << answer;
            EXPECT_EQ(this->failures_of(this->raw.address()), 1U)
                << row.what << answer;
            ASSERT_EQ(this->second.seen.size(), 1U) << row.what << answer;
            EXPECT_EQ(
                this->second.seen[0]["After"], row.events.empty() ? "" : "1")
                << row.what << answer;
        }
}

// Guards against events that wait for the end of their stream: its caller has
// left by then.
TEST_F(plain_streams, events_are_passed_on_as_they_arrive)
{
    this->first.behave =
        [this](
            const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk(event_1);
        asio::steady_timer timer(this->io);
        while (this->stats.events.Value() == 0) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.write_chunk(event_2 + "id: 3\ndata: x\n\n");
        co_await exchange.end_stream();
    };
    this->second.behave = stream;
    EXPECT_EQ(this->ask("/news/x").answer.body, three_events);
    EXPECT_TRUE(this->second.seen.empty());
}

// Guards against a silent server that keeps its stream or goes on getting
// requests, and against the queries of engines, which other servers do not
// know.
TEST_F(plain_streams, a_silent_server_is_left_and_not_asked_for_its_state)
{
    EXPECT_EQ(this->ask_paused_server("", "/news/x"), three_events);
    EXPECT_EQ(this->failures_of(this->first.address), 1U);
    EXPECT_EQ(this->state_queries, 0);
}

// Guards against a second run of a stream whose first event takes long, for no
// server is known to be faster.
TEST_F(plain_streams, a_server_that_begins_late_keeps_its_stream)
{
    this->first.behave =
        [this](
            const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        const auto begin = steady_now() + 2 * min_wait_for_start;
        asio::steady_timer timer(this->io);
        while (steady_now() < begin) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await stream(request, exchange);
    };
    this->second.behave = stream;
    this->patience = 20s;
    this->start_stall_checks();
    EXPECT_EQ(this->ask("/news/x").answer.body, three_events);
    EXPECT_TRUE(this->second.seen.empty());
}

// Guards against a path in the request, which only engines know.
TEST_F(plain_streams, a_request_names_no_path)
{
    this->first.behave = stream;
    for (const auto* target : {"/news/x", "/talk/x"}) {
        this->prefer_first_path();
        ASSERT_EQ(this->ask(target).answer.body, three_events);
    }
    ASSERT_EQ(this->first.seen.size(), 2U);
    EXPECT_EQ(this->first.seen[0]["Path"], "");
    EXPECT_EQ(this->first.seen[1]["Path"], "firstchat");
}

// Guards against requests for engines that are refused since another service
// of the data centre takes long to begin its streams.
TEST_F(plain_streams, their_waits_are_not_those_of_engines)
{
    this->first.behave = stream;
    ASSERT_EQ(this->ask("/news/x").answer.body, three_events);
    EXPECT_TRUE(this->selector.ended_waits.waits.empty());
}

} // namespace
} // namespace oleanderhinge::gateway
