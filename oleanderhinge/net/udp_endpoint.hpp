// A UDP socket for sealed datagrams (wire/frame.hpp).
//
// Example:
//   udp_endpoint udp{io, clock, "secret", [](auto& m, auto& from) { ... }};
//   udp.listen({"127.0.0.1", 7302});
//   udp.send({"127.0.0.1", 7303}, message);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/timeline/hybrid_clock.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace oleanderhinge::net
{

struct udp_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    // Wrong tag or malformed.
    std::uint64_t refused = 0;
    // Larger than wire::max_datagram.
    std::uint64_t too_large = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

// Thread-safe. Datagrams are received one after the other.
class udp_endpoint
{
public:
    using handler =
        std::function<void(wire::message, const wire::endpoint& from)>;

    udp_endpoint(
        boost::asio::io_context& io,
        timeline::hybrid_clock& clock,
        std::string cluster_secret,
        handler received);
    ~udp_endpoint();
    udp_endpoint(const udp_endpoint&) = delete;
    udp_endpoint& operator=(const udp_endpoint&) = delete;

    // Returns the endpoint with the port that was chosen for port 0.
    base::result<wire::endpoint> listen(const wire::endpoint& local);
    // Sends without waiting; a datagram that does not fit is counted and
    // dropped.
    void send(const wire::endpoint& to, const wire::message& content);
    void shutdown();

    udp_counters counters() const;

private:
    struct impl;
    std::shared_ptr<impl> state;
};

} // namespace oleanderhinge::net
