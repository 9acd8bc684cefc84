// Guards against answers that count only once the server has read the whole
// body, and against bodies that are sent to a server that wants none.
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"
#include "oleanderhinge/net/early_backend_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;
using net::test::early_backend;

struct early_answer {
    const char* target;
    const char* status;
    const char* body;
};

class early_answers : public forwarder_fixture
{
protected:
    early_answers()
        : early(io)
    {
        // The buffers of a connection to `early_backend` hold less.
        this->request_body.assign(max_body_bytes, 'x');
        this->second.behave = [](const net::http_request& request,
                                 net::http_exchange& exchange) {
            return request.target() == "/talk/x" ? stream(request, exchange)
                                                 : answer(request, exchange);
        };
    }

    // `early` takes the place of the first server.
    void restart(
        const std::string& bytes,
        early_backend::then then,
        std::function<bool()> ready = [] { return true; })
    {
        this->early.restart(bytes, then, std::move(ready));
        this->second.seen.clear();
        this->selector.servers = {};
        this->selector.signals = {};
        this->prefer_early();
    }

    void prefer_early()
    {
        this->io.poll();
        this->selector.health.clear();
        ++this->selector.generation;
        this->add_server("first", "near", this->early.address());
        this->add_server("second", "far", this->second);
        this->prefer_first_path();
    }

    // `early` takes the place of the second server.
    void use_early_second()
    {
        this->selector.servers = {};
        ++this->selector.generation;
        this->add_server("first", "near", this->first);
        this->add_server("second", "far", this->early.address());
        this->prefer_first_path();
    }

    // The gateway has read a part of the answer.
    std::function<bool()> part_was_read()
    {
        return [this] { return this->forward.answer_bytes() > 0; };
    }

    // The server of the first attempt sends part of an answer. A route that
    // may run once fails; others have the whole answer of the second server.
    void expect_no_part(const early_answer& row, const std::string& what)
    {
        const std::string target = row.target;
        const auto outcome = this->ask(target);
        EXPECT_EQ(this->early.heads, 1) << target << what;
        const bool once = target == "/once/x";
        EXPECT_EQ(outcome.answer.status, once ? 502U : 200U) << target << what;
        EXPECT_EQ(this->second.seen.size(), once ? 0U : 1U) << target << what;
        if (!once) {
            EXPECT_EQ(
                outcome.answer.body,
                target == "/talk/x" ? three_events : "done")
                << target << what;
        }
        for (const auto& request : this->second.seen)
            EXPECT_EQ(request.body().size(), max_body_bytes) << target << what;
    }

    early_backend early;
};

// Guards against a refusal that is read only after the whole body has been
// written, or not at all since the server closes the connection: the caller
// waits or fails, and other requests still reach the server.
TEST_F(early_answers, a_refusal_counts_before_the_body_has_been_written)
{
    const auto refuse_with = [](const std::string& fields) {
        return with_length("503 Full", "Id: r1\r\nNot-Run: 1\r\n" + fields, "");
    };
    const auto refusal = refuse_with("Retry-After: 50\r\n");
    struct row {
        const char* what;
        std::string bytes;
        early_backend::then then;
    };
    const std::vector<row> rows{
        {"reads no further", refusal, early_backend::then::stop},
        {"after an informational answer",
         "HTTP/1.1 100 Continue\r\n\r\n" + refuse_with("Leaving: 1\r\n"),
         early_backend::then::stop},
        {"closes", refusal, early_backend::then::close},
        {"resets an answer without a length",
         unframed(
             "503 Full", "Id: r1\r\nNot-Run: 1\r\nRetry-After: 50\r\n", "full"),
         early_backend::then::reset}};
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"})
        for (const auto& row : rows) {
            const auto what = std::string(target) + ", " + row.what;
            this->restart(row.bytes, row.then);
            EXPECT_EQ(this->ask(target).answer.status, 200U) << what;
            EXPECT_EQ(this->selector.signals.servers.size(), 1U) << what;
            this->prefer_early();
            EXPECT_EQ(this->ask(target).answer.status, 200U) << what;
            EXPECT_EQ(this->early.heads, 1) << what;
            EXPECT_EQ(this->second.seen.size(), 2U) << what;
            EXPECT_TRUE(this->early.await_close()) << what;
            EXPECT_EQ(this->early.other_bytes, 0U) << what;
        }
}

// Guards against an early answer that gets lost, and against other bytes where
// the rest of the body is due.
TEST_F(early_answers, an_answer_may_come_before_the_body_has_been_read)
{
    const auto whole = with_length("200 OK", genuine, "done");
    const auto events = in_chunks("200 OK", genuine, three_events);
    for (const auto then :
         {early_backend::then::stop, early_backend::then::close})
        for (const std::string target : {"/once/x", "/read/x", "/talk/x"}) {
            const bool streams = target == "/talk/x";
            const auto what = target + ", " + std::to_string(int(then));
            this->restart(streams ? events : whole, then);
            for (int i = 1; i <= 2; ++i) {
                const auto outcome = this->ask(target);
                EXPECT_EQ(outcome.answer.status, 200U) << what;
                EXPECT_EQ(outcome.answer.body, streams ? three_events : "done")
                    << what;
                this->prefer_early();
                EXPECT_EQ(this->early.heads, i) << what;
                EXPECT_TRUE(this->early.await_close()) << what;
            }
            EXPECT_TRUE(this->second.seen.empty()) << what;
            EXPECT_EQ(this->early.other_bytes, 0U) << what;
        }
}

// Parts of answers with neither a length nor chunks, which nothing but the end
// of the connection could show to be whole.
const early_answer parts_of_answers[] = {
    {"/once/x", "200 OK", "part"},
    {"/once/x", "201 Created", "part"},
    {"/once/x", "404 Unknown", "part"},
    {"/once/x", "500 Failed", "part"},
    {"/read/x", "200 OK", "part"},
    {"/read/x", "201 Created", "part"},
    {"/read/x", "404 Unknown", "part"},
    {"/read/x", "500 Failed", "part"},
    {"/talk/x", "200 OK", "id: 1\ndata: x\n\n"},
    {"/talk/x", "200 OK", "id: 1\ndata: x\n\nid: 2\nda"},
    {"/talk/x", "201 Created", "id: 1\ndata: x\n\n"},
    {"/talk/x", "404 Unknown", "part"},
    {"/talk/x", "500 Failed", "part"}};

// A server resets the connection while the request is being written. Guards
// against the part of its answer that has arrived as a whole answer.
TEST_F(early_answers, an_answer_without_a_length_is_not_whole_after_a_reset)
{
    const std::string informational = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const auto& row : parts_of_answers)
        for (const auto then :
             {early_backend::then::close, early_backend::then::reset})
            for (const auto& before : {std::string(), informational}) {
                const auto bytes =
                    before + unframed(row.status, genuine, row.body);
                const auto what = bytes + std::to_string(int(then));
                this->restart(bytes, then);
                this->expect_no_part(row, what + " at once");
                this->restart(bytes, then, this->part_was_read());
                this->expect_no_part(row, what + " after it was read");
            }
}

// Guards against an answer that is refused although its server has ended it in
// order, before it has read the request.
TEST_F(early_answers, an_answer_without_a_length_ends_with_its_connection)
{
    for (const early_answer& row :
         {early_answer{"/once/x", "200 OK", "done"},
          early_answer{"/once/x", "404 Unknown", "done"},
          early_answer{"/read/x", "200 OK", "done"},
          early_answer{"/talk/x", "200 OK", three_events},
          early_answer{"/talk/x", "404 Unknown", "done"}}) {
        this->restart(
            unframed(row.status, genuine, row.body),
            early_backend::then::half_close);
        const auto outcome = this->ask(row.target);
        EXPECT_EQ(
            std::to_string(outcome.answer.status),
            std::string(row.status).substr(0, 3))
            << row.target;
        EXPECT_EQ(outcome.answer.body, row.body) << row.target;
        EXPECT_TRUE(this->second.seen.empty()) << row.target;
    }
}

// Guards against a stream that is continued by an answer which breaks off, and
// that then looks complete.
TEST_F(early_answers, a_resumed_stream_is_not_whole_after_a_reset)
{
    for (const bool at_once : {true, false}) {
        this->first.behave = break_off;
        this->early.restart(
            unframed("200 OK", genuine, event_2),
            early_backend::then::reset,
            at_once ? [] { return true; } : this->part_was_read());
        this->use_early_second();
        EXPECT_EQ(this->ask("/talk/x").failure, net::http_failure::unknown)
            << at_once;
        EXPECT_EQ(this->early.heads, 1) << at_once;
        this->selector.health.clear();
    }
}

// The same for a stream that leaves its server before that one ends.
TEST_F(early_answers, a_stream_taken_over_is_not_whole_after_a_reset)
{
    this->use_early_second();
    this->early.restart(
        unframed("200 OK", genuine, event_2),
        early_backend::then::reset,
        [this] { return this->stats.resumed_streams.Value() > 0; });
    this->first.behave =
        [this](
            const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state")
            co_return (void) co_await exchange.respond(200, "", "", {});
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        note_leaving(
            this->selector.signals, {base::backend_server_id{"firstchat"}, 1});
        ++this->selector.generation;
        asio::steady_timer timer(this->io);
        while (this->stats.resumed_streams.Value() == 0) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->patience = 20s;
    this->start_stall_checks();
    EXPECT_EQ(this->ask("/talk/x").failure, net::http_failure::unknown);
    EXPECT_EQ(this->early.heads, 1);
    EXPECT_EQ(this->stats.resumed_streams.Value(), 1);
}

} // namespace
} // namespace oleanderhinge::gateway
