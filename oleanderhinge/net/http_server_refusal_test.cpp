// Guards against refusals that promise the wrong thing, and against the rest of
// a refused body that is taken as the next request.
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t body_limit = 65536;

http_limits small_limits()
{
    http_limits limits;
    limits.body_bytes = body_limit;
    limits.memory = std::size_t(4) * body_limit;
    return limits;
}

class http_server_refusal : public testing::Test
{
protected:
    http_server_refusal()
        : server(
              io,
              small_limits(),
              [this](http_request request, http_exchange& exchange)
                  -> asio::awaitable<void> {
                  this->handled.emplace_back(request.target());
                  co_await exchange.respond(200, "", "done");
              })
    {
        this->at = base::handle(
            [this] {
                return this->server.listen({"127.0.0.1", 0});
            },
            [](const base::error&) { return wire::endpoint{}; });
        this->running = std::jthread([this] { this->io.run(); });
    }
    ~http_server_refusal() override
    {
        this->server.shutdown();
        this->io.stop();
    }

    tcp::socket connect()
    {
        tcp::socket socket(this->client_io);
        socket.connect({asio::ip::make_address(at.address), at.port});
        return socket;
    }

    // All that the server sends until it closes.
    static std::string read_all(tcp::socket& socket)
    {
        std::string received;
        char bytes[4096];
        boost::system::error_code failed;
        while (!failed) {
            const auto size = socket.read_some(asio::buffer(bytes), failed);
            received.append(bytes, size);
        }
        return received;
    }

    asio::io_context io;
    asio::io_context client_io;
    wire::endpoint at;
    std::vector<std::string> handled;
    http_server server;
    std::jthread running;
};

std::string post(std::size_t length, const std::string& body)
{
    return "POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n" + body;
}

TEST_F(http_server_refusal, the_rest_of_a_body_is_no_request)
{
    std::string inner;
    while (inner.size() < body_limit)
        inner += "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    auto socket = this->connect();
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(post(2 * body_limit, inner)), ignored);
    EXPECT_TRUE(read_all(socket).starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(this->handled.empty());
}

// Bodies that stop short take the memory; the next one gets a promise.
TEST_F(http_server_refusal, a_request_without_memory_has_not_run)
{
    std::vector<tcp::socket> crowd;
    const std::string part(body_limit - 1, 'a');
    bool refused = false;
    boost::system::error_code ignored;
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(this->connect());
        asio::write(crowd.back(), asio::buffer(post(body_limit, part)));
    }
    for (auto& socket : crowd) {
        asio::write(socket, asio::buffer("a", 1), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        const auto answer = read_all(socket);
        if (!answer.starts_with("HTTP/1.1 503"))
            continue;
        refused = true;
        EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
        EXPECT_NE(answer.find("\"execution\":\"not_run\""), std::string::npos);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
    EXPECT_TRUE(refused);
    EXPECT_LT(this->handled.size(), crowd.size());
}

} // namespace
} // namespace oleanderhinge::net
