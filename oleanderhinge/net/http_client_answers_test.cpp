// Guards against an answer that broke off, or that is not what it seems, and is
// taken for a whole one.
#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

enum class ending : std::uint8_t { keep, close, reset };
enum class carrier : std::uint8_t { fresh, kept };

// Answers the last request of `expected` with `bytes`, and those before it with
// a whole answer.
asio::awaitable<void>
serve(tcp::acceptor& acceptor, int expected, std::string bytes, ending then)
{
    auto [failed, socket] = co_await acceptor.async_accept(as_pair);
    std::string received;
    for (int left = expected; !failed && left > 0; --left) {
        const auto [cut, size] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), "\r\n\r\n", as_pair);
        if (cut)
            co_return;
        received.erase(0, size);
        const auto& text =
            left > 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" : bytes;
        co_await asio::async_write(socket, asio::buffer(text), as_pair);
    }
    if (then == ending::reset)
        socket.set_option(tcp::socket::linger(true, 0));
    if (then == ending::keep)
        co_await socket.async_wait(tcp::socket::wait_read, as_pair);
    socket.close();
}

// The outcome of a call whose answer is `bytes`.
http_outcome answered_with(
    const std::string& bytes,
    ending then,
    carrier on = carrier::fresh,
    const std::string& method = "GET")
{
    asio::io_context io;
    tcp::acceptor acceptor(
        io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const wire::endpoint server{"127.0.0.1", acceptor.local_endpoint().port()};
    http_client client(io, 1);
    const int calls = on == carrier::kept ? 2 : 1;
    http_outcome outcome;
    asio::co_spawn(io, serve(acceptor, calls, bytes, then), asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (int i = 0; i < calls; ++i) {
                http_call call{method, "/", {}, ""};
                outcome = co_await client.call(
                    server, std::move(call), 5s, reuse::allowed);
            }
            io.stop();
        },
        asio::detached);
    io.run();
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
            for (const auto then : {ending::close, ending::reset})
                for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
                    const auto bytes = whole.substr(0, cut);
                    const auto outcome = answered_with(bytes, then, on);
                    // Without a framing, no byte shows that a plain close is
                    // not the end.
                    const bool open_end = f.ends_with_connection &&
                                          then == ending::close &&
                                          cut >= head.size();
                    const auto expected =
                        open_end ? bytes.substr(head.size()) : body;
                    if (outcome.failure == http_failure::none) {
                        EXPECT_TRUE(open_end || cut == whole.size()) << bytes;
                        EXPECT_EQ(outcome.answer.body, expected) << bytes;
                    } else {
                        EXPECT_EQ(outcome.failure, http_failure::unknown);
                        EXPECT_FALSE(
                            cut == whole.size() && then == ending::close)
                            << bytes;
                    }
                }
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
                    answered_with(bytes, ending::close, on).failure,
                    http_failure::unknown)
                    << bytes;
            }
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
            "HTTP/1.1 200 OK\r\n" + r.fields + "\r\n" + r.body, ending::close);
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
            ending::keep,
            carrier::fresh,
            "HEAD");
        EXPECT_EQ(outcome.failure, http_failure::none) << field;
        EXPECT_EQ(outcome.answer.status, 200U) << field;
    }
}

} // namespace
} // namespace oleanderhinge::net
