#include "tests/harness/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace oleanderhinge::tests
{

namespace
{

namespace asio = boost::asio;

// Ports that the kernel gives to outgoing connections begin at 32768; one of
// those could be taken before its process has bound it.
constexpr std::uint32_t first_port = 20000;
constexpr std::uint32_t port_count = 12000;

bool is_free(std::uint16_t port)
{
    const auto address = asio::ip::address_v4::loopback();
    boost::system::error_code tcp_failed;
    boost::system::error_code udp_failed;
    asio::io_context io;
    asio::ip::tcp::acceptor tcp(io, asio::ip::tcp::v4());
    tcp.bind({address, port}, tcp_failed);
    asio::ip::udp::socket udp(io, asio::ip::udp::v4());
    udp.bind({address, port}, udp_failed);
    return !tcp_failed && !udp_failed;
}

} // namespace

port_allocator::port_allocator(std::uint32_t seed)
    : next(seed * 61)
{
}

std::uint16_t port_allocator::take()
{
    while (true) {
        const auto port = std::uint16_t(first_port + this->next++ % port_count);
        if (is_free(port))
            return port;
    }
}

} // namespace oleanderhinge::tests
