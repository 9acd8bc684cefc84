#include "tests/harness/crowd.hpp"

#include "tests/harness/http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <fstream>
#include <sstream>

namespace oleanderhinge::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

asio::awaitable<bool> write_all(tcp::socket& socket, const std::string& bytes)
{
    const auto [failed, size] =
        co_await asio::async_write(socket, asio::buffer(bytes), as_pair);
    co_return !failed;
}

asio::awaitable<bool>
write_script(tcp::socket& socket, const client_script& script, bool ends)
{
    if (!co_await write_all(socket, script.head))
        co_return false;
    for (std::size_t i = 0; i < script.pieces; ++i)
        if (!co_await write_all(socket, script.piece))
            co_return false;
    co_return !ends || co_await write_all(socket, script.end);
}

// Bytes that have arrived at connections to the port and have not been read, by
// the kernel's table of sockets.
std::size_t unread_bytes(std::uint16_t port)
{
    std::ifstream in("/proc/net/tcp");
    std::size_t sum = 0;
    std::string line;
    std::getline(in, line);
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr int hexadecimal = 16;
        const auto behind_colon = [](const std::string& text) {
            return std::stoull(
                text.substr(text.find(':') + 1), nullptr, hexadecimal);
        };
        constexpr const char* established = "01";
        if (state == established && behind_colon(local) == port)
            sum += behind_colon(queues);
    }
    return sum;
}

asio::awaitable<void> read_all(tcp::socket& socket)
{
    std::array<char, 4096> bytes{};
    while (true) {
        const auto [failed, size] =
            co_await socket.async_read_some(asio::buffer(bytes), as_pair);
        if (failed)
            co_return;
    }
}

} // namespace

crowd::crowd(std::uint16_t at)
    : port(at)
    , thread([this] {
        const auto work = asio::make_work_guard(this->io);
        this->io.run();
    })
{
}

crowd::~crowd()
{
    this->io.stop();
}

void crowd::add(std::size_t count, const client_script& script)
{
    this->sending += count;
    for (std::size_t i = 0; i < count; ++i) {
        const bool ends = script.one_in != 0 && i % script.one_in == 0;
        asio::co_spawn(this->io, this->run(script, ends), asio::detached);
    }
}

asio::awaitable<void> crowd::run(client_script script, bool ends)
{
    tcp::socket socket(this->io);
    const auto [refused] = co_await socket.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), this->port),
        asio::as_tuple(asio::use_awaitable));
    const bool sent = !refused && co_await write_script(socket, script, ends);
    --this->sending;
    if (!sent)
        co_return;
    if (script.reads)
        co_return co_await read_all(socket);
    asio::steady_timer forever(this->io, asio::steady_timer::time_point::max());
    co_await forever.async_wait(as_pair);
}

void crowd::wait_read() const
{
    constexpr int steady_polls = 25;
    std::size_t last = 0;
    int same = 0;
    wait_until([&] {
        const auto unread = unread_bytes(this->port);
        same = unread == last ? same + 1 : 0;
        last = unread;
        return same >= steady_polls;
    });
}

bool crowd::wait_sent() const
{
    return wait_until([this] { return this->sending == 0; });
}

} // namespace oleanderhinge::tests
