// Guards against an answer that is taken for the answer to the next request on
// a kept connection, since its server has sent it twice.
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

enum class second_copy : std::uint8_t { none, with_the_answer, later };

// Answers each request with its number, and may send a copy of the answer.
class copying_server
{
public:
    copying_server(asio::io_context& io_in, second_copy when_in)
        : io(io_in)
        , when(when_in)
        , acceptor(io_in, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(this->io, this->accept(), asio::detached);
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    // Sends the copy of the last answer.
    void send_copy()
    {
        asio::write(*this->last_socket, asio::buffer(this->last_answer));
    }

    void stop() { this->acceptor.close(); }

    int connections = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_pair);
            if (failed)
                co_return;
            ++this->connections;
            asio::co_spawn(
                this->io,
                this->serve(std::make_shared<tcp::socket>(std::move(socket))),
                asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string received;
        while (true) {
            const auto [failed, size] = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(received), "\r\n\r\n", as_pair);
            if (failed)
                co_return;
            received.erase(0, size);
            this->last_socket = socket;
            this->last_answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                                std::to_string(++this->requests);
            auto sent = this->last_answer;
            if (this->when == second_copy::with_the_answer)
                sent += this->last_answer;
            co_await asio::async_write(*socket, asio::buffer(sent), as_pair);
        }
    }

    asio::io_context& io;
    const second_copy when;
    tcp::acceptor acceptor;
    std::shared_ptr<tcp::socket> last_socket;
    std::string last_answer;
    int requests = 0;
};

TEST(http_client, a_second_copy_of_an_answer_is_not_the_next_answer)
{
    struct row {
        second_copy when;
        int connections;
    };
    constexpr row rows[] = {
        {second_copy::none, 1},
        {second_copy::with_the_answer, 2},
        {second_copy::later, 2}};
    for (const auto& r : rows) {
        asio::io_context io;
        copying_server server(io, r.when);
        http_client client(io, 1);
        std::vector<std::string> answers;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                for (int i = 0; i < 2; ++i) {
                    http_call call{"GET", "/", {}, ""};
                    const auto outcome = co_await client.call(
                        server.address(), std::move(call), 5s, reuse::allowed);
                    answers.push_back(outcome.answer.body);
                    if (r.when == second_copy::later)
                        server.send_copy();
                }
                server.stop();
                io.stop();
            },
            asio::detached);
        io.run();
        EXPECT_EQ(answers, (std::vector<std::string>{"1", "2"}));
        EXPECT_EQ(server.connections, r.connections);
    }
}

// Guards against an answer to a call that needs a new connection and is taken
// for the answer to a later one.
TEST(http_client, a_connection_of_a_call_that_needs_a_new_one_is_not_kept)
{
    asio::io_context io;
    copying_server server(io, second_copy::none);
    http_client client(io, 1);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (const auto connection : {reuse::never, reuse::allowed}) {
                http_call call{"GET", "/", {}, ""};
                co_await client.call(
                    server.address(), std::move(call), 5s, connection);
            }
            server.stop();
            io.stop();
        },
        asio::detached);
    io.run();
    EXPECT_EQ(server.connections, 2);
}

} // namespace
} // namespace oleanderhinge::net
