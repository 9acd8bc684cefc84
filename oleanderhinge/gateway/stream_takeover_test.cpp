// Guards against a stream that loses its attempt before another server has
// begun to continue it.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

class stream_takeover : public forwarder_fixture
{
protected:
    void leave(const char* id)
    {
        note_leaving(this->selector.signals, {base::backend_server_id{id}, 1});
        ++this->selector.generation;
    }

    // `first` announces its end after the first event, writes the second one
    // when `second` has been asked, and ends the stream if it keeps it.
    void
    expect_stream(const backend::behaviour& other, const std::string& expected)
    {
        this->prefer_first_path();
        this->first.behave =
            [&](const net::http_request& request,
                net::http_exchange& exchange) -> asio::awaitable<void> {
            if (request.target() == "/state")
                co_return (void) co_await exchange.respond(200, "", "", {});
            co_await exchange.begin_stream(200, "", server_headers(request));
            co_await exchange.write_chunk("id: 1\ndata: x\n\n");
            this->leave("firstchat");
            asio::steady_timer timer(this->io);
            const auto pause = [&] {
                timer.expires_after(5ms);
                return timer.async_wait(asio::use_awaitable);
            };
            while (this->second.seen.empty())
                co_await pause();
            co_await exchange.write_chunk("id: 2\ndata: held\n\n");
            co_await pause();
            this->held_written = true;
            while (this->stats.resumed_streams.Value() +
                       this->stats.failed_takeovers.Value() ==
                   0)
                co_await pause();
            co_await exchange.write_chunk("id: 3\ndata: x\n\n");
            co_await exchange.end_stream();
        };
        this->second.behave =
            [&](const net::http_request& request,
                net::http_exchange& exchange) -> asio::awaitable<void> {
            asio::steady_timer timer(this->io);
            while (!this->held_written) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await other(request, exchange);
        };
        this->patience = 20s;
        this->start_stall_checks();
        EXPECT_EQ(this->ask("/talk/x").answer.body, expected);
    }

    // The event that `first` writes after `second` has been asked is on its
    // way.
    bool held_written = false;
};

// Guards against a stream that is given up as its server is silent for a while
// and no other has room.
TEST_F(stream_takeover, a_refused_takeover_leaves_the_stream_as_it_was)
{
    this->prefer_first_path();
    this->first.behave =
        pause_after_first_event(this->io, "", this->state_queries, [this] {
            return this->second.seen.size() >= 2;
        });
    this->second.behave = refuse;
    this->patience = 20s;
    this->start_stall_checks();
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.failure, net::http_failure::none);
    EXPECT_EQ(outcome.answer.body, three_events);
    EXPECT_EQ(this->stats.resumed_streams.Value(), 0);
}

// The first server of a path announces its end and still writes events. Guards
// against a stream that ends with it, events that come twice or are lost, and a
// stream that is given up although the other server refuses it.
TEST_F(stream_takeover, a_stream_leaves_a_first_server_that_ends)
{
    this->expect_stream(stream, three_events);
    EXPECT_EQ(this->second.seen.front()["After"], "1");
    EXPECT_EQ(this->second.seen.front().body(), this->request_body);
    EXPECT_EQ(this->stats.resumed_streams.Value(), 1);
}

TEST_F(stream_takeover, a_stream_stays_at_a_first_server_that_ends)
{
    this->expect_stream(
        refuse, "id: 1\ndata: x\n\nid: 2\ndata: held\n\nid: 3\ndata: x\n\n");
    EXPECT_EQ(this->stats.resumed_streams.Value(), 0);
}

// A later server of the path announces its end. Guards against a stream that
// runs on it until it ends, and is read again from the start.
TEST_F(stream_takeover, a_stream_leaves_a_later_server_that_ends)
{
    this->stall_behind_first("lost");
    this->protocol.parse_stalls = [](const std::string&) {
        return std::vector<stalled_request>{};
    };
    std::string changed_to;
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/order/r1") {
            changed_to = request.body();
            co_return (void) co_await exchange.respond(202, "", "", {});
        }
        co_await exchange.begin_stream(200, "", server_headers(request));
        this->leave("lost");
        asio::steady_timer timer(this->io);
        for (int id = 1; id <= 3; ++id) {
            const auto event = "id: " + std::to_string(id) + "\ndata: x\n\n";
            co_await exchange.write_chunk(event);
            while (id == 1 && changed_to.empty()) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
        }
        co_await exchange.end_stream();
    };
    this->start_stall_checks();
    EXPECT_EQ(this->ask("/talk/x").answer.body, three_events);
    EXPECT_EQ(changed_to, "head,other");
    EXPECT_EQ(this->stats.attempts.Value(), 1);
}

} // namespace
} // namespace oleanderhinge::gateway
