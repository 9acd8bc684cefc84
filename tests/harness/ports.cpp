#include "tests/harness/ports.hpp"

#include <boost/asio/ip/udp.hpp>

#include <fcntl.h>
#include <stdexcept>

namespace oleanderhinge::tests
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// Ports that the kernel gives to outgoing connections begin at 32768; one of
// those could be taken before its process has bound it.
constexpr std::uint16_t first_port = 20000;
constexpr std::uint16_t range_size = 200;
constexpr std::uint32_t range_count = 60;

const auto loopback = asio::ip::address_v4::loopback();

// Without SO_REUSEADDR, so that only one process can bind the port.
bool bind(tcp::acceptor& acceptor, std::uint16_t port)
{
    boost::system::error_code failed;
    acceptor.open(tcp::v4());
    acceptor.bind({loopback, port}, failed);
    return !failed;
}

bool is_free(asio::io_context& io, std::uint16_t port)
{
    tcp::acceptor tcp_probe(io);
    udp::socket udp_probe(io, udp::v4());
    boost::system::error_code udp_failed;
    udp_probe.bind({loopback, port}, udp_failed);
    return bind(tcp_probe, port) && !udp_failed;
}

} // namespace

port_allocator::port_allocator(std::uint32_t seed)
    : candidate(seed)
{
}

std::uint16_t port_allocator::take()
{
    while (true) {
        if (this->next == this->end)
            this->claim_range();
        const auto port = this->next++;
        if (is_free(this->io, port))
            return port;
    }
}

void port_allocator::claim_range()
{
    for (std::uint32_t i = 0; i < range_count; ++i) {
        const auto first = std::uint16_t(
            first_port + this->candidate++ % range_count * range_size);
        tcp::acceptor claim(this->io);
        if (!bind(claim, first))
            continue;
        // Processes that a test leaves behind must not keep its ranges.
        ::fcntl(claim.native_handle(), F_SETFD, FD_CLOEXEC);
        this->claims.push_back(std::move(claim));
        this->next = std::uint16_t(first + 1);
        this->end = std::uint16_t(first + range_size);
        return;
    }
    throw std::runtime_error("no range of ports is free");
}

} // namespace oleanderhinge::tests
