// Guards against answers that hold bytes of another answer, of a server's error
// or of no answer at all.
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

// Breaks off inside the first event.
asio::awaitable<void> break_off_in_first_event(
    const net::http_request& request, net::http_exchange& exchange)
{
    co_await exchange.begin_stream(200, "", server_headers(request));
    co_await exchange.write_chunk("id: 1\nda");
}

asio::awaitable<void> answer_with_status_000(
    const net::http_request& request, net::http_exchange& exchange)
{
    co_await exchange.respond(0, "", "nothing", server_headers(request));
}

class mixed_answers : public raw_answers_fixture
{
};

// Guards against a piece of the first server's answer in front of the second
// one's, when the first breaks off inside its first event.
TEST_F(mixed_answers, part_of_a_first_event_is_not_joined_to_the_next_answer)
{
    this->prefer_first_path();
    this->first.behave = break_off_in_first_event;
    this->second.behave = stream;
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(outcome.answer.body, three_events);
    EXPECT_EQ(this->runs(), 2U);
}

// Guards against a piece of a stream in front of the error that the second
// server answers with.
TEST_F(mixed_answers, part_of_a_first_event_is_not_joined_to_an_error)
{
    this->use_raw_server(false);
    this->first.behave = break_off_in_first_event;
    this->raw.answers = {{with_length("500 Failed", genuine, "no memory")}};
    const auto view = this->watch("/talk/x");
    EXPECT_EQ(view.status, 500U);
    EXPECT_EQ(view.body, "no memory");
}

// A stream has begun and breaks off; each row: what the next server sends.
// Guards against the text or the head of a server's error in the middle of a
// stream, and against a stream that then looks complete.
TEST_F(mixed_answers, nothing_but_events_follows_a_stream_that_broke_off)
{
    struct row {
        const char* what;
        raw_answer next;
    };
    const std::vector<row> rows{
        {"an error", {in_chunks("500 Failed", genuine, event_2)}},
        {"an error that ends with its connection",
         {unframed("500 Failed", genuine, event_2), after_answer::close}},
        {"a refusal",
         {with_length("503 Full", "Not-Run: 1\r\n" + genuine, "full")}},
        {"a refusal with events",
         {in_chunks("503 Full", "Not-Run: 1\r\n" + genuine, event_2)}},
        {"no server's mark", {in_chunks("200 OK", "Id: r1\r\n", event_2)}},
        {"a content coding",
         {in_chunks(
             "200 OK", "Content-Encoding: gzip\r\n" + genuine, event_2)}},
        {"another success", {in_chunks("202 Accepted", genuine, event_2)}},
        {"another request's answer",
         {in_chunks("200 OK", "Id: r0\r\nSeal: 1\r\n", event_2),
          after_answer::close}},
        {"no answer", {event_2, after_answer::close}},
        {"a head in the place of the body",
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + genuine +
              "\r\n" + with_length("500 Failed", genuine, event_2),
          after_answer::close}},
        {"a head in a body that ends with its connection",
         {unframed("200 OK", genuine, with_length("503 Full", genuine, "")),
          after_answer::close}},
        {"a head inside an event",
         {unframed(
              "200 OK",
              genuine,
              "id: 2\nda" + with_length("503 Full", genuine, "")),
          after_answer::close}},
        {"a head inside the text of an event",
         {in_chunks(
              "200 OK",
              genuine,
              "id: 2\ndata: x" + with_length("503 Full", genuine, "")),
          after_answer::close}},
        {"text", {in_chunks("200 OK", genuine, "out of memory\n\n")}},
        {"no event before the end of the connection",
         {unframed("200 OK", genuine, ""), after_answer::close}},
        {"an end inside an event",
         {unframed("200 OK", genuine, "id: 2\nda"), after_answer::close}},
        {"a reset", {unframed("200 OK", genuine, ""), after_answer::reset}},
    };
    for (const auto& row : rows) {
        this->use_raw_server(false);
        this->first.behave = break_off;
        this->raw.answers = {row.next};
        const auto view = this->watch("/talk/x");
        EXPECT_EQ(view.body, "id: 1\ndata: a\n\n") << row.what;
        EXPECT_FALSE(view.complete) << row.what;
        EXPECT_GE(this->raw.seen.size(), 1U) << row.what;
    }
}

// Guards against a second answer behind a stream that ends with its connection.
TEST_F(mixed_answers, a_stream_ends_before_the_head_of_a_second_answer)
{
    this->use_raw_server(true);
    const auto copy = with_length("200 OK", "Id: r0\r\nSeal: 1\r\n", "copy");
    this->raw.answers = {
        {unframed("200 OK", genuine, three_events + copy),
         after_answer::close}};
    EXPECT_EQ(this->watch("/talk/x").body, three_events);
}

// Guards against events that a caller has already, which it names when it
// resumes a stream by itself.
TEST_F(mixed_answers, a_resuming_caller_gets_no_event_twice)
{
    this->use_raw_server(true);
    this->raw.answers = {{in_chunks("200 OK", genuine, three_events)}};
    this->last_event = "1";
    EXPECT_EQ(
        this->watch("/talk/x").body, "id: 2\ndata: x\n\nid: 3\ndata: x\n\n");
}

// The server of the first attempt still reports the request as stalled. Guards
// against a path change, or the end, of the second attempt at another server.
TEST_F(mixed_answers, a_report_of_the_earlier_server_is_ignored)
{
    this->prefer_first_path();
    this->patience = 20s;
    this->protocol.parse_stalls = [](const std::string& body) {
        std::vector<stalled_request> found;
        if (body == "stalled")
            found.push_back({"r1", {"lost", 80}});
        return found;
    };
    int reports = 0;
    int orders = 0;
    const auto await_reports = [&]() -> asio::awaitable<void> {
        asio::steady_timer timer(this->io);
        while (reports < 4) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state") {
            ++reports;
            co_return (void) co_await exchange.respond(200, "", "stalled", {});
        }
        if (request["Id"] == "r1")
            co_return co_await break_off(request, exchange);
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        co_await await_reports();
        co_await exchange.end_stream();
    };
    this->second.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state")
            co_return (void) co_await exchange.respond(200, "", "", {});
        if (request.target() == "/order/r1") {
            ++orders;
            co_return (void) co_await exchange.respond(409, "", "", {});
        }
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk("id: 2\ndata: x\n\n");
        co_await await_reports();
        co_await exchange.write_chunk("id: 3\ndata: x\n\n");
        co_await exchange.end_stream();
    };
    // Another request stalls at the first server, which is therefore asked.
    bool over = false;
    const auto stall = [&]() -> asio::awaitable<void> {
        net::http_client other(this->io, 0);
        net::http_call call{
            "POST", "/talk/x", {{"Id", "r2"}, {"Key", this->key}}, "body"};
        co_await other.call(
            this->address, std::move(call), 10s, net::reuse::never);
        over = true;
    };
    asio::co_spawn(this->io, stall(), asio::detached);
    this->start_stall_checks();
    EXPECT_EQ(
        this->watch("/talk/x").body,
        "id: 1\ndata: a\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n");
    EXPECT_EQ(orders, 0);
    while (!over)
        this->io.run_one();
}

// Each row: what a server writes on a kept connection before its answer to the
// next request. Guards against an answer to an earlier request, and against
// "not run" for a request that its server runs.
TEST_F(mixed_answers, a_late_copy_on_a_kept_connection_answers_no_request)
{
    const std::string own = with_length("200 OK", genuine, "own");
    const std::string refusal = "Not-Run: 1\r\n";
    struct row {
        const char* what;
        std::string late_copy;
    };
    const std::vector<row> rows{
        {"none", ""},
        {"an answer", with_length("200 OK", "Id: r0\r\nSeal: 1\r\n", "copy")},
        {"an answer without an id",
         with_length("200 OK", "Seal: 1\r\n", "copy")},
        {"a refusal", with_length("503 Full", "Id: r0\r\n" + refusal, "full")},
        {"a refusal without an id", with_length("503 Full", refusal, "full")},
        {"an error without an id", with_length("500 Failed", "", "copy")},
    };
    for (const auto& row : rows) {
        this->use_raw_server(true);
        this->request_id = "r0";
        this->raw.answers = {
            {with_length("200 OK", "Id: r0\r\nSeal: 1\r\n", "first")},
            {own, after_answer::keep, row.late_copy}};
        EXPECT_EQ(this->watch("/read/x").body, "first") << row.what;
        const auto connections = this->raw.connections;
        this->request_id = "r1";
        const auto view = this->watch("/read/x");
        EXPECT_EQ(view.status, 200U) << row.what;
        EXPECT_EQ(view.body, "own") << row.what;
        EXPECT_EQ(this->raw.seen.size(), 2U) << row.what;
        EXPECT_EQ(this->raw.connections, connections) << row.what;
    }
}

// Guards against a late copy that is taken for the answer to a request which
// may run once at most, or to one without an id.
TEST_F(mixed_answers, answers_that_no_id_tells_apart_need_a_new_connection)
{
    const auto copy = with_length("503 Full", "Not-Run: 1\r\n", "full");
    for (const auto* id : {"r1", ""}) {
        this->use_raw_server(true);
        this->request_id = "r0";
        this->raw.answers = {
            {with_length("200 OK", "Id: r0\r\nSeal: 1\r\n", "first")},
            {with_length("200 OK", "Seal: 1\r\n", "own"),
             after_answer::keep,
             copy}};
        EXPECT_EQ(this->watch("/read/x").body, "first");
        const auto connections = this->raw.connections;
        this->request_id = id;
        const auto view =
            this->watch(this->request_id.empty() ? "/read/x" : "/once/x");
        EXPECT_EQ(view.body, "own") << id;
        EXPECT_EQ(this->raw.connections, connections + 1) << id;
    }
}

// A server answers a state query twice and then refuses to change the path.
// Guards against the second copy in the place of the refusal: the stream would
// wait for a path that it doesn't have.
TEST_F(mixed_answers, a_late_copy_is_not_the_answer_to_a_path_change)
{
    this->use_raw_server(true);
    this->stall_behind(this->raw.address(), "lost");
    const auto begin = "HTTP/1.1 200 OK\r\n" + genuine + "\r\n";
    const auto state = with_length("200 OK", "", "{}");
    this->raw.answers = {
        {begin + "id: 1\ndata: x\n\n"},
        {state},
        {with_length("409 Conflict", "", ""), after_answer::keep, state},
        {begin + "id: 2\ndata: x\n\nid: 3\ndata: x\n\n", after_answer::close}};
    this->start_stall_checks();
    EXPECT_EQ(this->watch("/talk/x").body, three_events);
    EXPECT_EQ(this->stats.changed_paths.Value(), 0);
    EXPECT_EQ(this->stats.attempts.Value(), 2);
}

// Each row: a status that HTTP does not define, or one that needs the caller's
// consent. Guards against such an answer that reaches the caller, and against
// one in its body that is taken for the server's.
TEST_F(mixed_answers, an_undefined_status_is_no_answer)
{
    const auto within = with_length("200 OK", genuine, "smuggled");
    for (const auto* status : {"000", "001", "099", "101", "600", "999"})
        for (const auto* target : {"/once/x", "/talk/x"}) {
            this->use_raw_server(true);
            this->raw.answers = {
                {with_length(status + std::string(" x"), genuine, within),
                 after_answer::close}};
            const auto view = this->watch(target);
            EXPECT_EQ(view.status, 502U) << status << ' ' << target;
            EXPECT_EQ(view.seals, 0U) << status << ' ' << target;
            EXPECT_EQ(view.body.find("smuggled"), std::string::npos)
                << status << ' ' << target;
        }
}

// Guards against a request that may be repeated and that is given up because
// one server answers with an undefined status.
TEST_F(mixed_answers, an_undefined_status_is_followed_by_another_attempt)
{
    this->use_raw_server(false);
    this->first.behave = answer_with_status_000;
    this->raw.answers = {{with_length("200 OK", genuine, "done")}};
    const auto view = this->watch("/read/x");
    EXPECT_EQ(view.status, 200U);
    EXPECT_EQ(view.body, "done");
}

// Each row: an answer with neither a length nor chunks. Guards against one that
// looks complete although its connection was reset.
TEST_F(mixed_answers, an_answer_that_ends_with_its_connection)
{
    struct row {
        const char* target;
        std::string body;
        after_answer then;
        unsigned status;
    };
    const std::vector<row> rows{
        {"/read/x", "done", after_answer::close, 200},
        {"/once/x", "done", after_answer::close, 200},
        {"/once/x", "do", after_answer::reset, 502},
        {"/talk/x", three_events, after_answer::close, 200},
        {"/talk/x", "id: 1\nda", after_answer::close, 502},
    };
    for (const auto& row : rows) {
        this->use_raw_server(true);
        this->raw.answers = {{unframed("200 OK", genuine, row.body), row.then}};
        const auto view = this->watch(row.target);
        EXPECT_EQ(view.status, row.status) << row.target << row.body;
        EXPECT_EQ(view.body == row.body, row.status == 200)
            << row.target << row.body;
    }
}

} // namespace
} // namespace oleanderhinge::gateway
