// Guards against memory that grows with framing that a peer writes without end,
// until the time for the message is over.
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

// What comes without end: a field, an extension of a chunk, a trailer.
std::vector<std::string> beginnings(const std::string& first_line)
{
    const auto chunks = first_line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        first_line + "Note: ",
        chunks + "4;a=",
        chunks + "4\r\ndone\r\n0\r\nNote: "};
}

// Whether the peer closes the connection before it has read all.
asio::awaitable<bool>
is_cut_short(tcp::socket& socket, std::string begin, std::string_view rest)
{
    constexpr std::size_t size_of_all = std::size_t(64) << 20;
    begin.reserve(size_of_all + rest.size());
    while (begin.size() < size_of_all)
        begin.append(rest);
    const auto [failed, size] =
        co_await asio::async_write(socket, asio::buffer(begin), as_pair);
    co_return failed.failed();
}

struct endless_answer {
    std::string begin;
    std::string_view rest;
};

std::vector<endless_answer> endless_answers()
{
    std::vector<endless_answer> rows;
    for (const auto& begin : beginnings("HTTP/1.1 200 OK\r\n"))
        rows.push_back({begin, "x"});
    rows.push_back({"", "HTTP/1.1 103 Hints\r\n\r\n"});
    rows.push_back({"HTTP/1.1 200 OK\r\n\r\n", "x"});
    rows.push_back(
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\ndone\r\n"});
    return rows;
}

// Guards against a client whose memory grows until the time of the call ends.
TEST(http_framing_limits, a_client_reads_no_answer_without_end)
{
    constexpr std::size_t max_answer = 65536;
    for (const auto& [begin, rest] : endless_answers()) {
        asio::io_context io;
        tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        bool cut_short = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                auto [failed, socket] = co_await acceptor.async_accept(as_pair);
                cut_short = co_await is_cut_short(socket, begin, rest);
            },
            asio::detached);
        http_client client(io, 1, max_answer);
        http_outcome outcome;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const wire::endpoint server{
                    "127.0.0.1", acceptor.local_endpoint().port()};
                http_call call{"GET", "/", {}, ""};
                outcome = co_await client.call(
                    server,
                    std::move(call),
                    std::chrono::seconds(20),
                    reuse::never);
            },
            asio::detached);
        io.run();
        EXPECT_TRUE(cut_short) << begin << rest;
        EXPECT_EQ(outcome.failure, http_failure::unknown) << begin << rest;
    }
}

// Guards against a server whose memory any caller can fill.
TEST(http_framing_limits, a_server_reads_no_request_without_end)
{
    auto rows = beginnings("POST / HTTP/1.1\r\nHost: x\r\n");
    rows.emplace_back("\n");
    for (const auto& begin : rows) {
        asio::io_context io;
        int served = 0;
        http_server server(
            io,
            http_limits{},
            [&](http_request, http_exchange&) -> asio::awaitable<void> {
                ++served;
                co_return;
            });
        const auto port = server.listen({"127.0.0.1", 0}).value().port;
        bool cut_short = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                tcp::socket socket(io);
                const tcp::endpoint to(asio::ip::address_v4::loopback(), port);
                co_await socket.async_connect(to, as_pair);
                cut_short = co_await is_cut_short(
                    socket, begin, begin.ends_with('\n') ? "\n" : "x");
                io.stop();
            },
            asio::detached);
        io.run();
        EXPECT_TRUE(cut_short) << begin;
        EXPECT_EQ(served, 0) << begin;
    }
}

} // namespace
} // namespace oleanderhinge::net
