// All TCP links of a process to other processes of the system.
//
// A link carries frames (wire/frame.hpp) in both directions after a handshake
// in which both ends prove that they know the cluster secret. Links are
// addressed by id. The table watches each link (net/link_health.hpp) and
// closes it when a direction goes silent.
//
// Example:
//   link_table links{io, clock, options, events};
//   link_id id = links.connect({"127.0.0.1", 7301});
//   if (links.send(id, message) != send_status::queued) ...
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/net/link_health.hpp"
#include "oleanderhinge/timeline/hybrid_clock.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhinge::net
{

using link_id = base::strong<struct link_tag, std::uint64_t>;

enum class send_status : std::uint8_t {
    // Will be written; a link that is still connecting keeps it until then.
    queued,
    // There is no such link; nothing was written.
    closed,
    // The peer reads too slowly; nothing was written.
    full,
};

enum class close_reason : std::uint8_t {
    local,
    connect_failed,
    handshake_failed,
    peer_closed,
    silent,
    malformed,
    shutdown,
};

const char* to_string(close_reason reason);

struct link_options {
    std::string cluster_secret;
    // The challenge is filled in for each link.
    wire::hello self;
    link_timing timing;
    // Bytes that may wait for a slow peer.
    std::size_t max_outbound = std::size_t(16) << 20;
    // Links that peers may open in total.
    std::size_t max_accepted = 8192;
};

// Callbacks. They run on the io_context's threads without a lock of the table;
// those of one link run one after the other.
struct link_events {
    // The handshake succeeded.
    std::function<void(link_id, const wire::hello& peer)> opened;
    // Not called for ping and pong.
    std::function<void(link_id, wire::message)> received;
    // `was_open` is false if the handshake never succeeded; then no message
    // has reached the peer.
    std::function<void(link_id, close_reason, bool was_open)> closed;
};

// Numbers since the start, for metrics.
struct link_counters {
    std::uint64_t opened = 0;
    std::uint64_t closed = 0;
    std::uint64_t silent = 0;
    std::uint64_t malformed = 0;
    std::uint64_t handshake_failed = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t pings_sent = 0;
};

// Thread-safe.
class link_table
{
public:
    link_table(
        boost::asio::io_context& io,
        timeline::hybrid_clock& clock,
        link_options options,
        link_events events);
    ~link_table();
    link_table(const link_table&) = delete;
    link_table& operator=(const link_table&) = delete;

    // Commands.

    // Accepts links; returns the endpoint with the port that was chosen for
    // port 0. Fails with `io`.
    base::result<wire::endpoint> listen(const wire::endpoint& local);
    // Starts a connection. `closed` is called if it fails.
    link_id connect(const wire::endpoint& peer);
    send_status send(link_id id, const wire::message& content);
    // Sends one message on several links; it is serialized once and shared by
    // their queues. Returns the links whose status is `full`.
    std::vector<link_id>
    send(const std::vector<link_id>& ids, const wire::message& content);
    // States whether requests are outstanding, which selects the heartbeat.
    void set_busy(link_id id, bool busy);
    void close(link_id id);
    // Closes everything; no callback runs after the io_context has stopped.
    void shutdown();

    // Queries.

    std::size_t size() const;
    link_counters counters() const;

private:
    struct impl;
    std::shared_ptr<impl> state;
};

} // namespace oleanderhinge::net
