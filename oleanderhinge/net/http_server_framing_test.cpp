// Guards against answers that a caller cannot delimit.
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto npos = std::string::npos;
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

// /whole answers at once, /stream in two chunks, /broken leaves off after them.
asio::awaitable<void> serve(http_request request, http_exchange& exchange)
{
    if (request.target() == "/whole") {
        co_await exchange.respond(200, "text/plain", "one two", {});
        co_return;
    }
    co_await exchange.begin_stream(200, "text/plain", {});
    co_await exchange.write_chunk("one ");
    co_await exchange.write_chunk("two");
    if (request.target() == "/stream")
        co_await exchange.end_stream();
}

struct received {
    std::string head;
    std::string body;
    // Whether the connection ended with a plain close.
    bool closed = false;
};

// All bytes that the server sends until it ends the connection.
received ask(const std::string& requests)
{
    asio::io_context io;
    http_server server(io, {}, serve);
    const auto local = base::handle(
        [&] {
            return server.listen({"127.0.0.1", 0});
        },
        [](const base::error&) { return wire::endpoint(); });
    received got;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            tcp::socket socket(io);
            co_await socket.async_connect(
                {asio::ip::address_v4::loopback(), local.port}, as_pair);
            co_await asio::async_write(socket, asio::buffer(requests), as_pair);
            std::string bytes;
            const auto [failed, size] = co_await asio::async_read(
                socket, asio::dynamic_buffer(bytes), as_pair);
            got.closed = failed == asio::error::eof;
            const auto end = bytes.find("\r\n\r\n");
            got.head = bytes.substr(0, end);
            if (end != std::string::npos)
                got.body = bytes.substr(end + 4);
            io.stop();
        },
        asio::detached);
    io.run();
    return got;
}

// Guards against chunks in the body of a caller that knows none, and against a
// stream that broke off and looks complete to it.
TEST(http_server, a_stream_to_a_caller_of_http_1_0_ends_with_its_connection)
{
    for (const char* fields : {"", "Connection: keep-alive\r\n"}) {
        const auto tail = " HTTP/1.0\r\n" + std::string(fields) + "\r\n";
        const auto whole = ask("GET /stream" + tail);
        EXPECT_EQ(whole.head.find("chunked"), std::string::npos);
        EXPECT_EQ(whole.head.find("keep-alive"), std::string::npos);
        EXPECT_EQ(whole.body, "one two");
        EXPECT_TRUE(whole.closed);
        EXPECT_FALSE(ask("GET /broken" + tail).closed);
    }
}

// Guards against a body behind the answer to HEAD, which the caller takes for
// the next answer.
TEST(http_server, an_answer_to_head_has_no_body)
{
    for (const char* target : {"/whole", "/stream"}) {
        const auto got =
            ask("HEAD " + std::string(target) +
                " HTTP/1.1\r\nConnection: close\r\n\r\n");
        EXPECT_EQ(got.body, "") << got.head;
        EXPECT_TRUE(got.closed);
    }
    EXPECT_NE(
        ask("HEAD /whole HTTP/1.1\r\nConnection: close\r\n\r\n")
            .head.find("Content-Length: 7"),
        std::string::npos);
    const auto kept = ask("HEAD /stream HTTP/1.1\r\n\r\n"
                          "GET /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(kept.body.starts_with("HTTP/1.1 200 OK")) << kept.body;
}

// Each row: the fields of a request whose body is in chunks, with another
// request behind it. Guards against coded bytes that are taken for the body,
// and against a body whose end another server on the way would see elsewhere,
// so that part of it counts as a request.
TEST(http_server, a_request_with_unclear_framing_is_refused)
{
    struct row {
        const char* version;
        const char* fields;
        unsigned status;
    };
    const row rows[] = {
        {"1.1", "Transfer-Encoding: chunked\r\n", 200},
        {"1.1", "Transfer-Encoding: Chunked \r\n", 200},
        {"1.1", "Transfer-Encoding: gzip, chunked\r\n", 501},
        {"1.1",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         501},
        {"1.1", "Transfer-Encoding: gzip\r\n", 400},
        {"1.1", "Transfer-Encoding: identity\r\n", 400},
        {"1.1", "Transfer-Encoding: \r\n", 400},
        {"1.1", "Transfer-Encoding: xchunked\r\n", 400},
        {"1.1", "Transfer-Encoding: chunked, gzip\r\n", 400},
        {"1.1", "Transfer-Encoding: chunked, chunked\r\n", 400},
        {"1.1", "Transfer-Encoding: gzip, chunked;a=b\r\n", 400},
        {"1.1", "Transfer-Encoding: chunked;a=b\r\n", 400},
        {"1.1", "Transfer-Encoding: \"chunked\"\r\n", 400},
        {"1.1", "Transfer-Encoding : chunked\r\n", 400},
        {"1.1",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         400},
        {"1.1",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
         400},
        {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", 400},
        {"1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400},
        {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", 400},
        {"1.1", "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n", 400},
        {"1.1",
         "Transfer-Encoding: gzip, chunked\r\nContent-Length: 4\r\n",
         400},
        {"1.1", "Transfer-Encoding: \r\nContent-Length: 4\r\n", 400},
        {"1.1", "Content-Length: 4\r\nContent-Length: 5\r\n", 400},
        {"1.0", "Transfer-Encoding: chunked\r\n", 400}};
    for (const auto& r : rows) {
        const auto got =
            ask("POST /whole HTTP/" + std::string(r.version) + "\r\n" +
                r.fields + "\r\n4\r\ndone\r\n0\r\n\r\n" +
                "GET /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
        EXPECT_NE(got.head.find(' ' + std::to_string(r.status) + ' '), npos)
            << r.fields << got.head;
        EXPECT_EQ(got.body.find("HTTP/1.1") != npos, r.status == 200)
            << r.fields << got.body;
        EXPECT_TRUE(got.closed) << r.fields;
    }
}

} // namespace
} // namespace oleanderhinge::net
