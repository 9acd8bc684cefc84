// Ports for the processes that a test starts:
//
//   port_allocator ports(::getpid());
//   const auto port = ports.take();
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <vector>

namespace oleanderhinge::tests
{

// Hands out ports that are free for TCP and UDP on the loopback address. They
// come from ranges that no other allocator of this machine uses, in whichever
// process, until this one is destroyed.
class port_allocator
{
public:
    // `seed` says where the search for a range begins.
    explicit port_allocator(std::uint32_t seed);

    std::uint16_t take();

private:
    void claim_range();

    boost::asio::io_context io;
    // Each holds the first port of a range, which claims the range.
    std::vector<boost::asio::ip::tcp::acceptor> claims;
    std::uint32_t candidate;
    std::uint16_t next = 0;
    std::uint16_t end = 0;
};

} // namespace oleanderhinge::tests
