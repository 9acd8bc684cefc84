// A backend server that answers each request after its head and a part of its
// body. For tests only.
//
// Example:
//   early_backend server(io);
//   server.restart(bytes, early_backend::then::reset);
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace oleanderhinge::net::test
{

class early_backend
{
public:
    // What the server does with the connection after an answer. All but
    // `half_close` leave bytes of the request unread.
    enum class then : std::uint8_t {
        // Reads on when the test ends.
        stop,
        // The unread bytes make it a reset.
        close,
        reset,
        // Ends its own side and reads the rest of the request.
        half_close
    };

    explicit early_backend(boost::asio::io_context& io_in)
        : io(io_in)
        , acceptor(io_in)
    {
        using boost::asio::ip::tcp;
        this->acceptor.open(tcp::v4());
        // Accepted connections inherit it, so that a long body does not fit.
        this->acceptor.set_option(tcp::socket::receive_buffer_size(4096));
        this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        this->acceptor.listen();
        boost::asio::co_spawn(this->io, this->accept(), boost::asio::detached);
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    // From now on, answers each request with these bytes, and waits until
    // `ready` before it does what is next.
    void restart(
        const std::string& answer_in,
        then next_in,
        std::function<bool()> ready_in = [] { return true; })
    {
        this->connections.clear();
        this->answer = answer_in;
        this->next = next_in;
        this->ready = std::move(ready_in);
        this->heads = 0;
        this->other_bytes = 0;
    }

    // Reads until the peer closes its connections. False if one stays open.
    bool await_close()
    {
        for (auto& [number, socket] : this->connections)
            boost::asio::co_spawn(
                this->io, this->drain(number), boost::asio::detached);
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!this->connections.empty() &&
               std::chrono::steady_clock::now() < limit)
            this->io.run_one_for(std::chrono::milliseconds(100));
        return this->connections.empty();
    }

    int heads = 0;
    // Bytes after a head that are not of a body, which consists of 'x'.
    std::size_t other_bytes = 0;

private:
    static constexpr auto as_pair =
        boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> accept()
    {
        for (int number = 0;; ++number) {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_pair);
            if (failed)
                co_return;
            this->connections.emplace(number, std::move(socket));
            boost::asio::co_spawn(
                this->io, this->serve(number), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(int number)
    {
        auto& socket = this->connections.at(number);
        std::string head;
        const auto [failed, size] = co_await boost::asio::async_read_until(
            socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", as_pair);
        if (failed)
            co_return (void) this->connections.erase(number);
        ++this->heads;
        const auto [cut, sent] = co_await boost::asio::async_write(
            socket, boost::asio::buffer(this->answer), as_pair);
        const bool written = !cut;
        const auto is_open = [&] {
            return written && this->connections.contains(number);
        };
        boost::asio::steady_timer timer(this->io);
        while (is_open() && !this->ready()) {
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(as_pair);
        }
        if (is_open() && this->next == then::stop)
            co_return;
        if (is_open() && this->next == then::half_close) {
            boost::system::error_code ignored;
            socket.shutdown(
                boost::asio::ip::tcp::socket::shutdown_send, ignored);
            co_return co_await this->drain(number);
        }
        if (is_open() && this->next == then::reset) {
            socket.set_option(boost::asio::ip::tcp::socket::linger(true, 0));
            // The destructor would not reset the connection.
            socket.close();
        }
        this->connections.erase(number);
    }

    // Reads until the peer closes the connection.
    boost::asio::awaitable<void> drain(int number)
    {
        std::array<char, 65536> part{};
        while (true) {
            const auto [failed, size] =
                co_await this->connections.at(number).async_read_some(
                    boost::asio::buffer(part), as_pair);
            this->other_bytes +=
                size -
                std::size_t(std::count(
                    part.begin(), part.begin() + std::ptrdiff_t(size), 'x'));
            if (failed)
                break;
        }
        this->connections.erase(number);
    }

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<int, boost::asio::ip::tcp::socket> connections;
    std::string answer;
    then next = then::stop;
    std::function<bool()> ready;
};

} // namespace oleanderhinge::net::test
