// A TCP relay between two processes that can be cut like a network.
//
// Example:
//   relay between({"127.0.0.1", port}, {"127.0.0.2", port});
//   between.cut();
//   between.restore();
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace oleanderhinge::tests
{

class relay
{
public:
    relay(const wire::endpoint& listen, const wire::endpoint& target);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    // From now on, nothing passes: connections are accepted and stay open, and
    // what is sent on them is lost, as behind a silent partition.
    void cut() { this->is_cut = true; }
    // New connections work again. Those that have lost bytes stay silent.
    void restore() { this->is_cut = false; }

private:
    struct connection;
    void accept();
    void
    pass_on(const std::shared_ptr<connection>& passed, std::size_t direction);

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    const boost::asio::ip::tcp::endpoint target;
    std::atomic<bool> is_cut{false};
    std::jthread runner;
};

} // namespace oleanderhinge::tests
