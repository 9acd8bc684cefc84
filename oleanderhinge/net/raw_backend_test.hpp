// A backend server that writes its answers byte by byte as a test says, so that
// they need not be valid HTTP. For tests only.
//
// Example:
//   raw_backend server(io);
//   server.answers = {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::net::test
{

// What the server does with a connection after an answer.
enum class after_answer : std::uint8_t { keep, close, reset };

struct raw_answer {
    std::string bytes;
    after_answer then = after_answer::keep;
    // Written before `bytes` on a connection that has carried an answer: a late
    // second copy of that one.
    std::string late_copy = {};
    // The server pauses after so many bytes, so that they are read by
    // themselves; 0: it does not pause.
    std::size_t pause_after = 0;
};

class raw_backend
{
public:
    explicit raw_backend(boost::asio::io_context& io_in)
        : io(io_in)
        , acceptor(io_in, {boost::asio::ip::address_v4::loopback(), 0})
    {
        boost::asio::co_spawn(this->io, this->accept(), boost::asio::detached);
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    // Writes bytes that no request asked for on the newest connection, which
    // must be open.
    void write(const std::string& bytes)
    {
        boost::asio::write(*this->newest.lock(), boost::asio::buffer(bytes));
    }

    // One for each request; further requests get no answer.
    std::deque<raw_answer> answers;
    std::vector<boost::beast::http::request<boost::beast::http::string_body>>
        seen;
    int connections = 0;
    // Whether the connection was closed before the last answer was written.
    std::optional<bool> cut_short;

private:
    using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;

    static constexpr auto as_pair =
        boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_pair);
            if (failed)
                co_return;
            ++this->connections;
            const auto opened = std::make_shared<boost::asio::ip::tcp::socket>(
                std::move(socket));
            this->newest = opened;
            boost::asio::co_spawn(
                this->io, this->serve(opened), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(socket_pointer held)
    {
        auto& socket = *held;
        boost::beast::flat_buffer buffer;
        for (bool answered = false;; answered = true) {
            boost::beast::http::request<boost::beast::http::string_body>
                request;
            const auto [failed, size] = co_await boost::beast::http::async_read(
                socket, buffer, request, as_pair);
            if (failed)
                co_return;
            this->seen.push_back(std::move(request));
            if (this->answers.empty())
                continue;
            const auto answer = std::move(this->answers.front());
            this->answers.pop_front();
            const auto bytes =
                (answered ? answer.late_copy : std::string()) + answer.bytes;
            const auto part = std::min(answer.pause_after, bytes.size());
            if (part != 0) {
                co_await boost::asio::async_write(
                    socket, boost::asio::buffer(bytes, part), as_pair);
                boost::asio::steady_timer pause(
                    this->io, std::chrono::milliseconds(1));
                co_await pause.async_wait(as_pair);
            }
            const auto [cut, sent] = co_await boost::asio::async_write(
                socket, boost::asio::buffer(bytes) + part, as_pair);
            this->cut_short = cut.failed();
            if (answer.then == after_answer::keep)
                continue;
            if (answer.then == after_answer::reset)
                socket.set_option(
                    boost::asio::ip::tcp::socket::linger(true, 0));
            // The destructor would not reset the connection.
            socket.close();
            co_return;
        }
    }

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::weak_ptr<boost::asio::ip::tcp::socket> newest;
};

} // namespace oleanderhinge::net::test
