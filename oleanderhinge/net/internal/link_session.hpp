// One link of a link_table. Not for use outside net/.
#pragma once

#include "oleanderhinge/net/link_table.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oleanderhinge::net::internal
{

struct atomic_counters {
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> closed{0};
    std::atomic<std::uint64_t> silent{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> handshake_failed{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> pings_sent{0};
};

// A serialized frame; links that get the same message share it.
using frame_pointer = std::shared_ptr<const std::string>;

// What all links of a table share.
struct link_shared {
    link_shared(
        timeline::hybrid_clock& source,
        link_options chosen,
        link_events handlers)
        : clock(source)
        , options(std::move(chosen))
        , events(std::move(handlers))
    {
    }

    // Serializes a message with the present stamp.
    frame_pointer encode(const wire::message& content) const;

    timeline::hybrid_clock& clock;
    link_options options;
    link_events events;
    atomic_counters counters;
    std::function<void(link_id)> remove;
};

// Socket operations run on the socket's strand; `send` may be called from any
// thread and only takes the mutex of the outbound queue.
class link_session : public std::enable_shared_from_this<link_session>
{
public:
    link_session(
        link_id number,
        boost::asio::ip::tcp::socket connection,
        std::shared_ptr<link_shared> table,
        bool from_peer);

    void connect(const wire::endpoint& peer);
    void start();
    send_status send(frame_pointer frame);
    void close(close_reason reason);
    void check(base::time_point now);

    const link_id id;
    std::atomic<bool> busy{false};

private:
    enum class phase : std::uint8_t { connecting, greeting, proving, open };

    void greet();
    void read_header();
    void read_payload(wire::frame_header header);
    bool handle(wire::message content);
    bool handle_hello(const wire::hello& content);
    bool handle_proof(const wire::proof& content);
    void open();
    // Writes a frame ahead of messages that wait for the handshake.
    void send_now(const wire::message& content);
    void write();
    void finish(close_reason reason);

    boost::asio::ip::tcp::socket socket;
    const std::shared_ptr<link_shared> shared;
    const bool accepted;
    const base::time_point created;

    // Used on the strand only.
    phase stage = phase::connecting;
    wire::hello own;
    wire::hello peer;
    link_health health;
    std::array<char, wire::header_size> header_bytes{};
    std::string payload;
    bool writing = false;
    std::vector<frame_pointer> in_flight;

    std::mutex mutex;
    std::deque<frame_pointer> handshake_frames;
    std::deque<frame_pointer> frames;
    std::size_t waiting_bytes = 0;
    bool finished = false;
    bool is_open = false;
    std::atomic<std::int64_t> last_sent_us{0};
};

} // namespace oleanderhinge::net::internal
