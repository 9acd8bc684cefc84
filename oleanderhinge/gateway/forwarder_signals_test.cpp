// Guards against requests that reach a server after it has said that it leaves
// or that it wants no requests for a time.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"
#include "oleanderhinge/net/raw_backend_test.hpp"

#include <algorithm>
#include <iostream>

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;
using net::test::after_answer;
using net::test::raw_backend;

const wire::header leaving{"Leaving", "1"};

// Answers with this status and these fields beside the server's own.
backend::behaviour
answer_with(unsigned status, const std::vector<wire::header>& fields)
{
    return [=](const net::http_request& request,
               net::http_exchange& exchange) -> asio::awaitable<void> {
        auto headers = server_headers(request);
        headers.insert(headers.end(), fields.begin(), fields.end());
        co_await exchange.respond(status, "", "done", std::move(headers));
    };
}

backend::behaviour refuse_with(std::vector<wire::header> fields)
{
    fields.push_back({"Not-Run", "1"});
    return answer_with(503, fields);
}

asio::awaitable<void>
stream_and_leave(const net::http_request& request, net::http_exchange& exchange)
{
    auto headers = server_headers(request);
    headers.push_back(leaving);
    co_await exchange.begin_stream(200, "", std::move(headers));
    co_await exchange.write_chunk(three_events);
    co_await exchange.end_stream();
}

std::string retry_after_of(const net::http_outcome& outcome)
{
    const auto& headers = outcome.answer.headers;
    const auto found = std::ranges::find_if(headers, [](const auto& item) {
        return boost::beast::iequals(item.name, "Retry-After");
    });
    return found == headers.end() ? "" : found->value;
}

class forwarder_signals : public forwarder_fixture
{
protected:
    // Makes `first` the preferred server again, whatever it has answered.
    void forget_health()
    {
        // Requests whose callers have their answers may not have ended yet.
        this->io.poll();
        this->selector.health.clear();
        ++this->selector.generation;
        this->prefer_first_path();
    }

    net::http_outcome ask_preferring_first(const std::string& target)
    {
        this->forget_health();
        return this->ask(target);
    }

    void reset()
    {
        this->selector.signals = {};
        this->first.seen.clear();
        this->second.seen.clear();
    }

    // Makes `count` requests at the same time.
    std::vector<net::http_outcome>
    ask_at_once(const std::string& target, std::size_t count)
    {
        std::vector<net::http_outcome> outcomes;
        for (std::size_t i = 0; i < count; ++i)
            asio::co_spawn(
                this->io,
                [&]() -> asio::awaitable<void> {
                    net::http_call call{
                        "POST", target, {{"Id", "r1"}, {"Key", "key"}}, ""};
                    outcomes.push_back(co_await this->client.call(
                        this->address,
                        std::move(call),
                        20s,
                        net::reuse::never));
                },
                asio::detached);
        while (outcomes.size() < count)
            this->io.run_one();
        return outcomes;
    }
};

// Guards against a signal that counts on some kinds of answers only, and
// against an answer that is lost because its server leaves.
TEST_F(forwarder_signals, a_server_that_leaves_gets_no_further_request)
{
    struct row {
        const char* what;
        const char* target;
        backend::behaviour first;
        backend::behaviour second;
        // Of the answer to the first request.
        unsigned status;
        const char* body;
    };
    const std::vector<row> rows{
        {"success",
         "/read/x",
         answer_with(200, {leaving}),
         answer,
         200,
         "done"},
        {"error", "/once/x", answer_with(500, {leaving}), answer, 500, "done"},
        {"refusal", "/once/x", refuse_with({leaving}), answer, 200, "done"},
        {"head of a stream",
         "/talk/x",
         stream_and_leave,
         stream,
         200,
         three_events},
        {"refused stream",
         "/talk/x",
         refuse_with({leaving}),
         stream,
         200,
         three_events},
    };
    for (const auto& row : rows) {
        this->reset();
        this->first.behave = row.first;
        this->second.behave = row.second;
        const auto outcome = this->ask_preferring_first(row.target);
        EXPECT_EQ(outcome.answer.status, row.status) << row.what;
        EXPECT_EQ(outcome.answer.body, row.body) << row.what;
        EXPECT_EQ(this->first.seen.size(), 1U) << row.what;
        EXPECT_EQ(this->ask_preferring_first(row.target).answer.status, 200U)
            << row.what;
        EXPECT_EQ(this->first.seen.size(), 1U) << row.what;
    }
}

// A stream pauses, and its server says in the answer to the state query that it
// leaves. Guards against a signal that only answers to callers carry, and
// against a stream that is cut because its server leaves.
TEST_F(forwarder_signals, a_server_may_say_in_a_probe_that_it_leaves)
{
    int queries = 0;
    this->first.behave =
        [&](const net::http_request& request,
            net::http_exchange& exchange) -> asio::awaitable<void> {
        if (request.target() == "/state") {
            ++queries;
            std::vector<wire::header> headers{leaving};
            co_return (void) co_await exchange.respond(
                200, "", "", std::move(headers));
        }
        co_await exchange.begin_stream(200, "", server_headers(request));
        co_await exchange.write_chunk("id: 1\ndata: x\n\n");
        asio::steady_timer timer(this->io);
        while (queries < 2) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.write_chunk("id: 2\ndata: x\n\nid: 3\ndata: x\n\n");
        co_await exchange.end_stream();
    };
    this->second.behave = stream;
    this->patience = 20s;
    this->start_stall_checks();
    EXPECT_EQ(this->ask_preferring_first("/talk/x").answer.body, three_events);
    EXPECT_TRUE(this->second.seen.empty());
    EXPECT_EQ(this->ask_preferring_first("/talk/x").answer.body, three_events);
    EXPECT_EQ(this->second.seen.size(), 1U);
}

// Guards against a report of a leaving server that makes it usable again, and
// against a new process at its address that is excluded in its place.
TEST_F(forwarder_signals, only_a_restart_makes_a_leaving_server_usable)
{
    this->first.behave = answer_with(200, {leaving});
    this->second.behave = answer;
    this->ask_preferring_first("/read/x");
    auto record =
        this->selector.servers.servers.at(base::backend_server_id{"firstdesk"})
            .record;
    record.sequence = 2;
    record.slots = 7;
    apply_record(this->selector, record, base::monotonic_now());
    this->ask_preferring_first("/read/x");
    EXPECT_EQ(this->first.seen.size(), 1U);
    record.started_ms = 2;
    record.sequence = 1;
    apply_record(this->selector, record, base::monotonic_now());
    this->ask_preferring_first("/read/x");
    EXPECT_EQ(this->first.seen.size(), 2U);
}

// A server leaves while the connection for a request to it is being opened.
// Guards against a request that was chosen before the signal and is sent after.
TEST_F(forwarder_signals, a_request_is_withheld_if_its_server_leaves_meanwhile)
{
    this->second.behave = answer;
    this->first.behave = answer;
    // Called between the choice of the server and the connect.
    const auto prepare = this->protocol.prepare_headers;
    this->protocol.prepare_headers = [&](auto& fields, const auto& metadata) {
        note_leaving(
            this->selector.signals, {base::backend_server_id{"firstdesk"}, 1});
        prepare(fields, metadata);
    };
    EXPECT_EQ(this->ask_preferring_first("/once/x").answer.status, 200U);
    EXPECT_TRUE(this->first.seen.empty());
    EXPECT_EQ(this->second.seen.size(), 1U);
    EXPECT_EQ(this->stats.withheld.Value(), 1);
}

// Guards against requests to a server that asked for none, a long time too, and
// against a server that one malformed field takes out of service.
TEST_F(forwarder_signals, a_server_is_in_backoff_as_long_as_it_asks)
{
    struct row {
        std::vector<std::string> values;
        // Zero: the field is ignored.
        base::duration least;
    };
    const std::vector<row> rows{
        {{"2"}, 2s},
        {{"0.4"}, 400ms},
        {{"90"}, 90s},
        {{"86400"}, 24h},
        {{"1e9"}, 0s},
        {{"-1"}, 0s},
        {{"Wed, 21 Oct"}, 0s},
        {{"2", "2"}, 0s},
    };
    for (const auto* target : {"/once/x", "/talk/x"})
        for (const auto& row : rows) {
            const auto what = target + (" " + row.values.front());
            this->reset();
            std::vector<wire::header> fields;
            for (const auto& value : row.values)
                fields.push_back({"Retry-After", value});
            this->first.behave = refuse_with(fields);
            this->second.behave = answer;
            if (std::string_view(target) == "/talk/x")
                this->second.behave = stream;
            const auto before = base::monotonic_now();
            EXPECT_EQ(this->ask_preferring_first(target).answer.status, 200U)
                << what;
            const auto after = base::monotonic_now();
            const auto& signals = this->selector.signals.servers;
            ASSERT_EQ(signals.size(), row.least.count() == 0 ? 0U : 1U) << what;
            if (signals.empty())
                continue;
            const auto until = signals.begin()->second.backoff_until.value();
            EXPECT_GE(until, before + row.least) << what;
            EXPECT_LE(
                until, after + std::min(row.least * 11 / 10, row.least + 3s))
                << what;
        }
}

// A server writes an answer to another request, of unknown age. Guards against
// a back-off that begins anew with each copy of a refusal.
TEST_F(forwarder_signals, an_answer_to_another_request_begins_no_backoff)
{
    this->first.behave =
        [](const net::http_request&,
           net::http_exchange& exchange) -> asio::awaitable<void> {
        std::vector<wire::header> headers{
            {"Id", "other"}, {"Not-Run", "1"}, {"Retry-After", "50"}, leaving};
        co_await exchange.respond(503, "", "", std::move(headers));
    };
    this->second.behave = answer;
    this->ask_preferring_first("/read/x");
    ASSERT_EQ(this->selector.signals.servers.size(), 1U);
    const auto& signal = this->selector.signals.servers.begin()->second;
    EXPECT_TRUE(signal.leaving);
    EXPECT_EQ(signal.backoff_until, std::nullopt);
}

// Guards against callers that wait, or are refused without being told when to
// return, and against requests that reach servers which asked for none.
TEST_F(forwarder_signals, all_servers_ask_for_a_pause_under_load)
{
    constexpr std::size_t before_signals = 20;
    constexpr std::size_t within_backoff = 300;
    struct row {
        const char* target;
        const char* pause;
    };
    const std::vector<row> rows{
        {"/once/x", "50"},
        {"/talk/x", "50"},
        {"/once/x", "86400"},
        {"/talk/x", "86400"}};
    for (const auto& [target, pause] : rows) {
        this->reset();
        this->first.behave = refuse_with({{"Retry-After", pause}});
        this->second.behave = this->first.behave;
        // These may all reach a server before its first answer is read.
        this->ask_at_once(target, before_signals);
        EXPECT_EQ(this->selector.signals.servers.size(), 2U);
        this->first.seen.clear();
        this->second.seen.clear();
        this->forget_health();
        std::vector<double> told;
        for (const auto& outcome : this->ask_at_once(target, within_backoff)) {
            EXPECT_EQ(outcome.answer.status, 503U);
            told.push_back(std::stod("0" + retry_after_of(outcome)));
        }
        // More than that of a refusal for another reason, but no day, since
        // other servers may start meanwhile.
        EXPECT_GT(std::ranges::min(told), 1);
        EXPECT_LE(std::ranges::max(told), 31);
        std::cout << target << ", " << pause << " s: of " << within_backoff
                  << " requests within the back-off, "
                  << this->first.seen.size() << " reached the first server and "
                  << this->second.seen.size() << " the second\n";
        EXPECT_LE(this->first.seen.size(), 2U);
        EXPECT_LE(this->second.seen.size(), 2U);
    }
}

// Guards against a Retry-After that is only read with the rest of the answer,
// or only where the server states that it has not run the request.
TEST_F(forwarder_signals, the_head_of_a_refusal_begins_the_backoff)
{
    const std::string head = "HTTP/1.1 503 Full\r\nId: r1\r\n"
                             "Retry-After: 3600\r\n";
    struct row {
        const char* what;
        std::string bytes;
        after_answer then;
    };
    const std::vector<row> rows{
        {"no mark", head + "Content-Length: 0\r\n\r\n", after_answer::keep},
        {"not run, the body does not end",
         head + "Not-Run: 1\r\nContent-Length: 9\r\n\r\nfu",
         after_answer::keep},
        {"the body does not end",
         head + "Content-Length: 9\r\n\r\nfu",
         after_answer::keep},
        {"the body breaks off",
         head + "Content-Length: 9\r\n\r\nfu",
         after_answer::close},
        {"the channel is reset",
         head + "Transfer-Encoding: chunked\r\n\r\n9\r\nfu",
         after_answer::reset},
        {"the server leaves too",
         head + "Leaving: 1\r\nContent-Length: 0\r\n\r\n",
         after_answer::keep}};
    this->patience = 200ms;
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"})
        for (const auto& row : rows) {
            const auto what = std::string(target) + ", " + row.what;
            raw_backend raw(this->io);
            raw.answers = {{row.bytes, row.then}};
            this->reset();
            this->selector.servers = {};
            this->add_server("first", "near", raw.address());
            this->add_server("second", "far", this->second);
            this->second.behave = answer;
            if (std::string_view(target) == "/talk/x")
                this->second.behave = stream;
            this->ask_preferring_first(target);
            const auto& signals = this->selector.signals.servers;
            ASSERT_EQ(signals.size(), 1U) << what;
            EXPECT_TRUE(signals.begin()->second.backoff_until) << what;
            EXPECT_EQ(this->ask_preferring_first(target).answer.status, 200U)
                << what;
            EXPECT_EQ(raw.seen.size(), 1U) << what;
        }
}

// A server refuses before it has read the id of a request. Guards against a
// pause that counts on new connections only.
TEST_F(forwarder_signals, a_refusal_without_an_id_begins_the_backoff)
{
    raw_backend raw(this->io);
    raw.answers = {
        {"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: 1\r\n"
         "Content-Length: 0\r\n\r\n"},
        {"HTTP/1.1 503 Full\r\nRetry-After: 3600\r\n"
         "Content-Length: 0\r\n\r\n"}};
    this->selector.servers = {};
    this->add_server("first", "near", raw.address());
    this->add_server("second", "far", this->second);
    this->second.behave = answer;
    this->patience = 200ms;
    this->ask_preferring_first("/read/x");
    this->ask_preferring_first("/read/x");
    EXPECT_EQ(raw.seen.size(), 2U);
    EXPECT_EQ(raw.connections, 1);
    ASSERT_EQ(this->selector.signals.servers.size(), 1U);
    EXPECT_TRUE(this->selector.signals.servers.begin()->second.backoff_until);
}

// Guards against a caller that waits as long as one server asked this gateway
// to wait, while another server is free.
TEST_F(forwarder_signals, a_relayed_refusal_has_the_retry_after_of_the_gateway)
{
    this->first.behave = answer_with(503, {{"Retry-After", "50"}});
    const auto outcome = this->ask_preferring_first("/once/x");
    EXPECT_EQ(outcome.answer.status, 503U);
    EXPECT_EQ(outcome.answer.body, "done");
    EXPECT_GT(std::stod("0" + retry_after_of(outcome)), 0);
    EXPECT_LT(std::stod("0" + retry_after_of(outcome)), 1);
}

} // namespace
} // namespace oleanderhinge::gateway
