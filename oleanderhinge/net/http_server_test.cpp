// Guards against requests on kept connections that a stop takes and does not
// answer.
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace oleanderhinge::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string request = "POST / HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 4\r\n\r\nbody";

class http_server_stop : public testing::Test
{
protected:
    http_server_stop()
        : server(
              io,
              {},
              [this](http_request, http_exchange& exchange)
                  -> asio::awaitable<void> {
                  ++this->handled;
                  if (this->before_answer)
                      this->before_answer();
                  co_await exchange.begin_stream(200, "");
                  if (this->in_answer)
                      this->in_answer();
                  co_await exchange.write_chunk("done");
                  co_await exchange.end_stream();
              })
        , client(io)
    {
        const auto at = base::handle(
            [this] {
                return this->server.listen({"127.0.0.1", 0});
            },
            [](const base::error&) { return wire::endpoint{}; });
        this->client.connect({asio::ip::make_address(at.address), at.port});
        this->client.non_blocking(true);
        this->client.set_option(tcp::no_delay(true));
        while (this->server.connections() == 0)
            this->io.run_one();
        this->io.poll();
    }

    void send(const std::string& bytes)
    {
        asio::write(this->client, asio::buffer(bytes));
    }

    static int answers_in(const std::string& received)
    {
        int count = 0;
        for (auto at = received.find("done\r\n0\r\n\r\n");
             at != std::string::npos;
             at = received.find("done\r\n0\r\n\r\n", at + 1))
            ++count;
        return count;
    }

    // Runs the server until it has sent this many answers or closed the
    // connection; returns what it sent.
    std::string read(int answers)
    {
        std::string received;
        while (answers_in(received) < answers) {
            this->io.poll();
            char bytes[1024];
            boost::system::error_code failed;
            const auto size =
                this->client.read_some(asio::buffer(bytes), failed);
            if (failed && failed != asio::error::would_block)
                break;
            received.append(bytes, failed ? 0 : size);
        }
        return received;
    }

    asio::io_context io;
    std::function<void()> before_answer;
    std::function<void()> in_answer;
    int handled = 0;
    http_server server;
    tcp::socket client;
};

// The value: empty lines, the last of which may lack its end.
class http_server_empty_lines : public http_server_stop,
                                public testing::WithParamInterface<std::string>
{
protected:
    // Whether the server closes the connection without waiting for a time
    // limit or for more bytes.
    bool closes()
    {
        for (int polls = 0; polls < 1000 && this->server.connections() > 0;
             ++polls)
            this->io.poll();
        return this->server.connections() == 0;
    }
};

INSTANTIATE_TEST_SUITE_P(
    http,
    http_server_empty_lines,
    testing::Values("\r", "\n", "\r\n", "\r\n\r", "\r\n\r\n"));

// Guards against an answer that promises to keep the connection, which then
// closes: the caller's next request is sent as it closes and gets no answer.
TEST_F(http_server_stop, an_answer_that_begins_in_a_stop_announces_the_close)
{
    this->before_answer = [this] { this->server.stop_keeping(); };
    this->send(request);
    const auto received = this->read(1);
    EXPECT_EQ(answers_in(received), 1);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against a request that is reset although it has arrived.
TEST_F(http_server_stop, a_request_that_has_arrived_is_answered)
{
    this->send(request);
    this->server.drain();
    EXPECT_EQ(answers_in(this->read(1)), 1);
}

// Guards against a request that is read with the one before it and dropped,
// when the stop begins after the answer has promised to keep the connection.
TEST_F(http_server_stop, a_request_that_was_read_ahead_is_answered)
{
    this->in_answer = [this] { this->server.drain(); };
    this->send(request + request);
    EXPECT_EQ(answers_in(this->read(2)), 2);
}

// Guards against a request that arrives before the end of such an answer and is
// reset, since it was not read ahead.
TEST_F(http_server_stop, a_request_that_arrives_during_an_answer_is_answered)
{
    this->in_answer = [this] {
        if (this->handled == 1)
            this->send(request);
        this->server.drain();
    };
    this->send(request);
    EXPECT_EQ(answers_in(this->read(2)), 2);
}

// Guards against a stop that waits for connections without a request.
TEST_F(http_server_stop, idle_connections_are_closed)
{
    this->server.drain();
    this->io.poll();
    EXPECT_EQ(this->server.connections(), 0U);
}

// Guards against a request that is cut off while it is read.
TEST_F(http_server_stop, a_request_that_is_half_read_is_answered)
{
    this->send(request.substr(0, request.size() - 2));
    this->io.poll();
    this->server.drain();
    this->io.poll();
    this->send(request.substr(request.size() - 2));
    const auto received = this->read(1);
    EXPECT_EQ(answers_in(received), 1);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against an answer that no request asked for, and against a stop that
// waits for the request behind empty lines, of which nothing has arrived.
TEST_P(http_server_empty_lines, are_no_request)
{
    this->send(request + GetParam());
    auto received = this->read(1);
    this->io.poll();
    this->server.drain();
    EXPECT_TRUE(this->closes());
    received += this->read(1);
    EXPECT_EQ(answers_in(received), 1);
    EXPECT_EQ(received.rfind("HTTP/1.1 "), 0U) << received;
}

// Guards against the same for lines that are not read yet as the stop begins.
TEST_P(http_server_empty_lines, are_no_request_when_a_stop_reads_them)
{
    this->send(GetParam());
    this->server.drain();
    EXPECT_TRUE(this->closes());
    EXPECT_EQ(this->read(1), "");
}

// Guards against a request that is refused for the empty lines before it, or
// that a stop drops with them before it is wholly read.
TEST_P(http_server_empty_lines, are_no_part_of_the_next_request)
{
    const std::string end = GetParam().ends_with('\r') ? "\n" : "";
    const auto bytes = GetParam() + end + request;
    const auto half = bytes.size() - request.size() / 2;
    for (std::size_t part = 0; part <= half; ++part) {
        this->send(bytes.substr(0, part));
        this->io.poll();
        if (part == half)
            this->server.drain();
        this->io.poll();
        this->send(bytes.substr(part));
        EXPECT_EQ(answers_in(this->read(1)), 1) << part;
    }
}

} // namespace
} // namespace oleanderhinge::net
