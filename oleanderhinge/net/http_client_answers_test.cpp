// Guards against an answer that broke off, or that is not what it seems, and is
// taken for a whole one.
#include "oleanderhinge/net/http_client.hpp"

#include "oleanderhinge/net/early_backend_test.hpp"
#include "oleanderhinge/net/odd_head_lines_test.hpp"
#include "oleanderhinge/net/raw_backend_test.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using test::after_answer;
using test::early_backend;
using test::raw_backend;

enum class carrier : std::uint8_t { fresh, kept };

// The outcome of a call whose answer is `bytes`.
http_outcome answered_with(
    const std::string& bytes,
    after_answer then,
    carrier on = carrier::fresh,
    const std::string& method = "GET")
{
    asio::io_context io;
    raw_backend server(io);
    if (on == carrier::kept)
        server.answers = {{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"}};
    server.answers.push_back({bytes, then});
    http_client client(io, 1);
    http_outcome outcome;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            while (!server.answers.empty()) {
                http_call call{method, "/", {}, ""};
                outcome = co_await client.call(
                    server.address(), std::move(call), 5s, reuse::allowed);
            }
            io.stop();
        },
        asio::detached);
    io.run();
    EXPECT_EQ(server.connections, 1);
    return outcome;
}

struct framing {
    const char* head;
    const char* body;
    bool ends_with_connection = false;
};

constexpr framing framings[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "done"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "done", true}};

// Guards against an answer that its server left off and that is taken for a
// whole one.
TEST(http_client, an_answer_cut_after_any_byte_is_not_a_whole_one)
{
    const std::string body = "done";
    for (const auto& f : framings) {
        const std::string head = f.head;
        const auto whole = head + f.body;
        for (const auto on : {carrier::fresh, carrier::kept})
            for (const auto then : {after_answer::close, after_answer::reset})
                for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
                    const auto bytes = whole.substr(0, cut);
                    const auto outcome = answered_with(bytes, then, on);
                    // Without a framing, no byte shows that a plain close is
                    // not the end.
                    const bool open_end = f.ends_with_connection &&
                                          then == after_answer::close &&
                                          cut >= head.size();
                    const auto expected =
                        open_end ? bytes.substr(head.size()) : body;
                    if (outcome.failure == http_failure::none) {
                        EXPECT_TRUE(open_end || cut == whole.size()) << bytes;
                        EXPECT_EQ(outcome.answer.body, expected) << bytes;
                    } else {
                        EXPECT_EQ(outcome.failure, http_failure::unknown);
                        EXPECT_FALSE(
                            cut == whole.size() && then == after_answer::close)
                            << bytes;
                    }
                }
    }
}

// Each row: how a server ends an answer with neither a length nor chunks, which
// it writes before it has read the request. Guards against one that was reset
// and is taken for a whole one.
TEST(http_client, an_early_answer_is_not_whole_after_a_reset)
{
    struct row {
        std::size_t request_size;
        early_backend::then then;
        bool whole;
    };
    const row rows[] = {
        {4, early_backend::then::reset, false},
        {4, early_backend::then::half_close, true},
        {default_max_answer, early_backend::then::reset, false},
        {default_max_answer, early_backend::then::close, false},
        {default_max_answer, early_backend::then::half_close, true}};
    for (const auto& r : rows)
        for (const auto* status : {"200 OK", "201 Created", "404 Unknown"}) {
            asio::io_context io;
            early_backend server(io);
            server.restart(
                std::string("HTTP/1.1 ") + status + "\r\nX: y\r\n\r\ndone",
                r.then);
            http_client client(io, 1);
            http_outcome outcome;
            asio::co_spawn(
                io,
                [&]() -> asio::awaitable<void> {
                    http_call call{
                        "POST", "/", {}, std::string(r.request_size, 'x')};
                    outcome = co_await client.call(
                        server.address(), std::move(call), 5s, reuse::allowed);
                    io.stop();
                },
                asio::detached);
            io.run();
            EXPECT_EQ(
                outcome.failure,
                r.whole ? http_failure::none : http_failure::unknown)
                << r.request_size << ' ' << int(r.then) << status;
            EXPECT_EQ(outcome.answer.body, r.whole ? "done" : "")
                << r.request_size << ' ' << int(r.then) << status;
        }
}

// Guards against a head that broke off, with the head of another answer behind
// it, and that is taken together with the other one's body.
TEST(http_client, a_head_with_another_one_inside_is_no_answer)
{
    const std::string other =
        "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nnope";
    for (const auto& f : framings) {
        const std::string head = f.head;
        for (const auto on : {carrier::fresh, carrier::kept})
            for (std::size_t cut = 1; cut < head.size(); ++cut) {
                const auto bytes = head.substr(0, cut) + other;
                EXPECT_EQ(
                    answered_with(bytes, after_answer::close, on).failure,
                    http_failure::unknown)
                    << bytes;
            }
    }
}

// Each row: an answer with another one inside. Guards against bytes of the
// second one in the outcome of a call or an order.
TEST(http_client, an_answer_with_another_one_inside_is_a_failure)
{
    const std::string second = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    for (const auto& bytes : {
             "HTTP/1.1 200 OK\r\n\r\ndone" + second,
             "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\ndone" + second,
             "HTTP/1.1 200 OK\r\nNote: a" + second,
             "HTTP/1.1 200 O" + second,
         }) {
        const auto outcome = answered_with(bytes, after_answer::close);
        EXPECT_EQ(outcome.failure, http_failure::unknown) << bytes;
        EXPECT_EQ(outcome.answer.body, "") << bytes;
    }
}

// Guards against a line with a blank or a control byte in the name of its
// field, or with no name, that is taken for a part of the field before it.
TEST(http_client, a_line_that_is_no_field_makes_the_head_no_answer)
{
    for (const auto& f : framings) {
        for (const auto& line : test::odd_head_lines())
            for (const auto& head : test::insert_line(f.head, line)) {
                const auto outcome =
                    answered_with(head + f.body, after_answer::close);
                EXPECT_EQ(outcome.failure, http_failure::unknown) << head;
                EXPECT_EQ(outcome.answer.body, "") << head;
            }
        for (const auto& line : test::sound_head_lines())
            for (const auto& head : test::insert_line(f.head, line)) {
                const auto outcome =
                    answered_with(head + f.body, after_answer::close);
                EXPECT_EQ(outcome.failure, http_failure::none) << head;
                EXPECT_EQ(outcome.answer.body, "done") << head;
            }
    }
}

// Guards against an informational answer that is taken for the final one, such
// as for the consent to an order that is refused.
TEST(http_client, an_informational_answer_is_not_the_answer)
{
    const auto outcome = answered_with(
        "HTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",
        after_answer::keep);
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(outcome.answer.body, "1");
}

// Each row: a status. Guards against a status that HTTP does not define and
// that is taken for one below 300, so for consent, and against an answer in the
// body of one that is taken for a head without a body.
TEST(http_client, an_answer_with_an_undefined_status_is_none)
{
    struct row {
        const char* status;
        unsigned accepted;
    };
    const row rows[] = {
        {"000", 0},
        {"001", 0},
        {"099", 0},
        // Nobody asked for another protocol.
        {"101", 0},
        {"200", 200},
        {"299", 299},
        {"404", 404},
        {"599", 599},
        {"600", 0},
        {"999", 0}};
    for (const auto& r : rows) {
        const auto outcome = answered_with(
            std::string("HTTP/1.1 ") + r.status +
                " x\r\nContent-Length: 4\r\n\r\ndone",
            after_answer::close);
        EXPECT_EQ(
            outcome.failure,
            r.accepted != 0 ? http_failure::none : http_failure::unknown)
            << r.status;
        EXPECT_EQ(outcome.answer.status, r.accepted) << r.status;
        EXPECT_EQ(outcome.answer.body, r.accepted != 0 ? "done" : "")
            << r.status;
    }
}

// Guards against a call that never ends, since its method has no body
// otherwise.
TEST(http_client, a_body_may_come_with_any_method)
{
    for (const std::string method :
         {"POST", "GET", "HEAD", "DELETE", "TRACE"}) {
        asio::io_context io;
        raw_backend server(io);
        server.answers = {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
        http_client client(io, 1);
        http_outcome outcome;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                http_call call{method, "/", {}, "body"};
                outcome = co_await client.call(
                    server.address(), std::move(call), 5s, reuse::allowed);
            },
            [&](const std::exception_ptr& thrown) {
                EXPECT_FALSE(thrown) << method;
                io.stop();
            });
        io.run();
        EXPECT_EQ(outcome.answer.status, 200U) << method;
        ASSERT_EQ(server.seen.size(), 1U) << method;
        EXPECT_EQ(server.seen[0].body(), "body") << method;
    }
}

// Guards against coded bytes that are taken for the body.
TEST(http_client, an_answer_with_a_transfer_coding_but_chunked_is_none)
{
    const std::string chunks = "4\r\ndone\r\n0\r\n\r\n";
    struct row {
        std::string fields;
        std::string body;
        bool accepted;
    };
    const row rows[] = {
        {"Transfer-Encoding: chunked\r\n", chunks, true},
        {"Transfer-Encoding: Chunked\r\n", chunks, true},
        {"Transfer-Encoding: gzip, chunked\r\n", chunks, false},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         chunks,
         false},
        {"Transfer-Encoding: chunked, gzip\r\n", "done", false},
        {"Transfer-Encoding: gzip\r\n", "done", false},
        {"Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", "done", false},
        {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunks, false},
        {"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunks, false}};
    for (const auto& r : rows) {
        const auto outcome = answered_with(
            "HTTP/1.1 200 OK\r\n" + r.fields + "\r\n" + r.body,
            after_answer::close);
        EXPECT_EQ(
            outcome.failure,
            r.accepted ? http_failure::none : http_failure::unknown)
            << r.fields;
        EXPECT_EQ(outcome.answer.body, r.accepted ? "done" : "") << r.fields;
    }
}

// Guards against a wait for the body that the answer to HEAD does not have.
TEST(http_client, an_answer_to_head_ends_with_its_head)
{
    for (const char* field :
         {"Content-Length: 4", "Transfer-Encoding: chunked", "X: y"}) {
        const auto outcome = answered_with(
            "HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n\r\n",
            after_answer::keep,
            carrier::fresh,
            "HEAD");
        EXPECT_EQ(outcome.failure, http_failure::none) << field;
        EXPECT_EQ(outcome.answer.status, 200U) << field;
    }
}

} // namespace
} // namespace oleanderhinge::net
