// Many clients of one port on the loopback address that send what they like and
// stay connected.
//
// Example:
//   crowd clients(port);
//   clients.add(60, {.head = "POST / HTTP/1.1\r\n...", .piece = text});
//   clients.wait_sent();
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace oleanderhinge::tests
{

struct client_script {
    std::string head;
    // Written `pieces` times after the head, each in a write of its own.
    std::string piece;
    std::size_t pieces = 0;
    // The end of the request, which one in so many clients sends; 0: none.
    std::string end;
    std::size_t one_in = 10;
    // Whether answers are read.
    bool reads = true;
};

// The clients leave at the end of its life.
class crowd
{
public:
    explicit crowd(std::uint16_t port);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    void add(std::size_t count, const client_script& script);
    // Waits until each client has sent what it has to send, or cannot send more
    // since its connection is closed. Returns false if that does not happen.
    bool wait_sent() const;
    // Waits until the process has read what was sent to the port, or reads no
    // more of it. Expects that no other process listens there.
    void wait_read() const;

private:
    boost::asio::awaitable<void> run(client_script script, bool ends);

    const std::uint16_t port;
    boost::asio::io_context io;
    std::atomic<std::size_t> sending{0};
    std::jthread thread;
};

} // namespace oleanderhinge::tests
