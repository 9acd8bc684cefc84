#include "oleanderhinge/net/udp_endpoint.hpp"

#include "oleanderhinge/base/time.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <utility>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
using asio::ip::udp;

struct udp_endpoint::impl : std::enable_shared_from_this<udp_endpoint::impl> {
    impl(
        asio::io_context& io,
        timeline::hybrid_clock& source,
        std::string key,
        handler callback)
        : socket(asio::make_strand(io))
        , clock(source)
        , secret(std::move(key))
        , received(std::move(callback))
    {
    }

    void receive()
    {
        this->socket.async_receive_from(
            asio::buffer(this->buffer),
            this->sender,
            [self = this->shared_from_this()](
                boost::system::error_code failed, std::size_t size) {
                if (!self->socket.is_open() ||
                    failed == asio::error::operation_aborted)
                    return;
                // Other errors, such as a refused earlier datagram, concern
                // one peer and not this socket.
                if (!failed)
                    self->handle({self->buffer.data(), size});
                self->receive();
            });
    }

    void handle(std::string_view datagram)
    {
        this->bytes_received += datagram.size();
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(content, wire::unseal(this->secret, datagram));
                ++this->received_count;
                this->clock.observe(content.sent, base::wall_clock_us());
                this->received(
                    std::move(content.content),
                    {this->sender.address().to_string(), this->sender.port()});
                return {};
            },
            [&](const base::error&) { ++this->refused; });
    }

    udp::socket socket;
    timeline::hybrid_clock& clock;
    const std::string secret;
    const handler received;
    udp::endpoint sender;
    std::array<char, 65536> buffer{};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received_count{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> too_large{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
};

udp_endpoint::udp_endpoint(
    asio::io_context& io,
    timeline::hybrid_clock& clock,
    std::string cluster_secret,
    handler received)
    : state(std::make_shared<impl>(
          io, clock, std::move(cluster_secret), std::move(received)))
{
}

udp_endpoint::~udp_endpoint()
{
    this->shutdown();
}

base::result<wire::endpoint> udp_endpoint::listen(const wire::endpoint& local)
{
    try {
        const udp::endpoint address(
            asio::ip::make_address(local.address), local.port);
        this->state->socket.open(address.protocol());
        this->state->socket.bind(address);
        this->state->receive();
        return wire::endpoint{
            local.address, this->state->socket.local_endpoint().port()};
    } catch (const std::exception& e) {
        return base::fail(
            base::error_code::io,
            "cannot bind UDP " + local.address + ":" +
                std::to_string(local.port) + ": " + e.what());
    }
}

void udp_endpoint::send(const wire::endpoint& to, const wire::message& content)
{
    auto datagram = wire::seal(
        this->state->secret,
        content,
        this->state->clock.tick(base::wall_clock_us()));
    if (datagram.size() > wire::max_datagram) {
        ++this->state->too_large;
        return;
    }
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(to.address, failed);
    if (failed)
        return;
    asio::post(
        this->state->socket.get_executor(),
        [state = this->state,
         datagram = std::move(datagram),
         target = udp::endpoint(address, to.port)] {
            boost::system::error_code ignored;
            const auto size = state->socket.send_to(
                asio::buffer(datagram), target, 0, ignored);
            state->bytes_sent += size;
            ++state->sent;
        });
}

void udp_endpoint::shutdown()
{
    asio::post(this->state->socket.get_executor(), [state = this->state] {
        boost::system::error_code ignored;
        state->socket.close(ignored);
    });
}

udp_counters udp_endpoint::counters() const
{
    udp_counters to;
    to.sent = this->state->sent;
    to.received = this->state->received_count;
    to.refused = this->state->refused;
    to.too_large = this->state->too_large;
    to.bytes_sent = this->state->bytes_sent;
    to.bytes_received = this->state->bytes_received;
    return to;
}

} // namespace oleanderhinge::net
