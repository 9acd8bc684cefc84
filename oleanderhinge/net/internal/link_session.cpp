#include "oleanderhinge/net/internal/link_session.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <openssl/rand.h>

#include <cstring>
#include <utility>

namespace oleanderhinge::net::internal
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// A frame is written with the ones behind it up to this size in one call.
constexpr std::size_t write_batch = 64 * 1024;

// Frames above this size are refused until the peer has proved the secret.
constexpr std::size_t max_handshake_payload = 1024;

wire::nonce random_nonce()
{
    wire::nonce value{};
    RAND_bytes(value.data(), int(value.size()));
    return value;
}

// Tag over the peer's challenge, the sender's own hello and the side of the
// connection. Without the side, a peer could return our own hello and proof to
// us and pass.
wire::digest proof_tag(
    const std::string& secret,
    const wire::nonce& challenge,
    const wire::hello& sender,
    bool sender_accepted)
{
    std::string text(
        reinterpret_cast<const char*>(challenge.data()), challenge.size());
    text += sender_accepted ? 'A' : 'C';
    text += wire::to_bytes(sender);
    return base::hmac_sha256(secret, text);
}

} // namespace

frame_pointer link_shared::encode(const wire::message& content) const
{
    return std::make_shared<const std::string>(
        wire::encode(content, this->clock.tick(base::wall_clock_us())));
}

link_session::link_session(
    link_id number,
    tcp::socket connection,
    std::shared_ptr<link_shared> table,
    bool from_peer)
    : id(number)
    , socket(std::move(connection))
    , shared(std::move(table))
    , accepted(from_peer)
    , created(base::monotonic_now())
    , own(this->shared->options.self)
    , health(healthy_since(this->created))
{
    this->own.challenge = random_nonce();
}

void link_session::connect(const wire::endpoint& target)
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(target.address, failed);
    auto self = this->shared_from_this();
    if (failed) {
        asio::post(this->socket.get_executor(), [self] {
            self->finish(close_reason::connect_failed);
        });
        return;
    }
    this->socket.async_connect(
        tcp::endpoint(address, target.port),
        [self](boost::system::error_code error) {
            if (error)
                self->finish(close_reason::connect_failed);
            else
                self->greet();
        });
}

void link_session::start()
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->greet();
    });
}

void link_session::greet()
{
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->stage = phase::greeting;
    this->send_now(this->own);
    this->read_header();
}

void link_session::read_header()
{
    asio::async_read(
        this->socket,
        asio::buffer(this->header_bytes),
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t) {
            if (error)
                return self->finish(close_reason::peer_closed);
            const auto header = base::handle(
                [&]() -> base::result<std::optional<wire::frame_header>> {
                    BOOST_LEAF_AUTO(
                        found,
                        wire::decode_header(
                            {self->header_bytes.data(), wire::header_size}));
                    return std::optional(found);
                },
                [](const base::error&) -> std::optional<wire::frame_header> {
                    return std::nullopt;
                });
            if (!header || (self->stage != phase::open &&
                            header->payload_size > max_handshake_payload))
                return self->finish(close_reason::malformed);
            self->read_payload(*header);
        });
}

void link_session::read_payload(wire::frame_header header)
{
    this->payload.resize(header.payload_size);
    asio::async_read(
        this->socket,
        asio::buffer(this->payload),
        [self = this->shared_from_this(),
         header](boost::system::error_code error, std::size_t) {
            if (error)
                return self->finish(close_reason::peer_closed);
            self->shared->counters.bytes_received +=
                wire::header_size + header.payload_size;
            self->shared->clock.observe(header.sent, base::wall_clock_us());
            const bool go_on = base::handle(
                [&]() -> base::result<bool> {
                    BOOST_LEAF_AUTO(
                        content,
                        wire::decode_payload(header.type, self->payload));
                    return self->handle(std::move(content));
                },
                [&](const base::error&) {
                    self->finish(close_reason::malformed);
                    return false;
                });
            if (go_on)
                self->read_header();
        });
}

bool link_session::handle(wire::message content)
{
    const auto now = base::monotonic_now();
    if (const auto* greeting = std::get_if<wire::hello>(&content))
        return this->handle_hello(*greeting);
    if (const auto* evidence = std::get_if<wire::proof>(&content))
        return this->handle_proof(*evidence);
    if (this->stage != phase::open) {
        this->finish(close_reason::handshake_failed);
        return false;
    }
    on_received(this->health, now);
    if (const auto* request = std::get_if<wire::ping>(&content))
        this->send_now(wire::pong{request->number});
    else if (const auto* answer = std::get_if<wire::pong>(&content))
        on_pong(this->health, answer->number, now);
    else
        this->shared->events.received(this->id, std::move(content));
    return true;
}

bool link_session::handle_hello(const wire::hello& content)
{
    if (this->stage != phase::greeting) {
        this->finish(close_reason::handshake_failed);
        return false;
    }
    this->peer = content;
    this->stage = phase::proving;
    this->send_now(wire::proof{proof_tag(
        this->shared->options.cluster_secret,
        content.challenge,
        this->own,
        this->accepted)});
    return true;
}

bool link_session::handle_proof(const wire::proof& content)
{
    const auto expected = proof_tag(
        this->shared->options.cluster_secret,
        this->own.challenge,
        this->peer,
        !this->accepted);
    if (this->stage != phase::proving ||
        !base::equal_constant_time(expected, content.tag)) {
        this->finish(close_reason::handshake_failed);
        return false;
    }
    this->open();
    return true;
}

void link_session::open()
{
    this->stage = phase::open;
    this->health = healthy_since(base::monotonic_now());
    {
        const std::lock_guard lock(this->mutex);
        this->is_open = true;
    }
    ++this->shared->counters.opened;
    this->shared->events.opened(this->id, this->peer);
    this->write();
}

send_status link_session::send(frame_pointer frame)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->finished)
            return send_status::closed;
        if (this->waiting_bytes + frame->size() >
            this->shared->options.max_outbound)
            return send_status::full;
        this->waiting_bytes += frame->size();
        this->frames.push_back(std::move(frame));
    }
    this->last_sent_us = base::monotonic_now().time_since_epoch().count();
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->write();
    });
    return send_status::queued;
}

void link_session::send_now(const wire::message& content)
{
    auto frame = this->shared->encode(content);
    {
        const std::lock_guard lock(this->mutex);
        this->waiting_bytes += frame->size();
        this->handshake_frames.push_back(std::move(frame));
    }
    this->write();
}

void link_session::write()
{
    if (this->writing || this->stage == phase::connecting)
        return;
    this->in_flight.clear();
    std::size_t size_in_flight = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (this->finished)
            return;
        const auto take = [&](std::deque<frame_pointer>& from) {
            while (!from.empty() && size_in_flight < write_batch) {
                size_in_flight += from.front()->size();
                this->in_flight.push_back(std::move(from.front()));
                from.pop_front();
            }
        };
        take(this->handshake_frames);
        if (this->is_open)
            take(this->frames);
        this->waiting_bytes -= size_in_flight;
    }
    if (this->in_flight.empty())
        return;
    this->writing = true;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(this->in_flight.size());
    for (const auto& frame : this->in_flight)
        buffers.push_back(asio::buffer(*frame));
    asio::async_write(
        this->socket,
        buffers,
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t size) {
            self->writing = false;
            if (error)
                return self->finish(close_reason::peer_closed);
            self->shared->counters.bytes_sent += size;
            self->write();
        });
}

void link_session::close(close_reason reason)
{
    asio::post(
        this->socket.get_executor(),
        [self = this->shared_from_this(), reason] { self->finish(reason); });
}

void link_session::check(base::time_point now)
{
    asio::post(
        this->socket.get_executor(), [self = this->shared_from_this(), now] {
            const auto& timing = self->shared->options.timing;
            if (self->stage != phase::open) {
                if (now - self->created >= timing.handshake)
                    self->finish(
                        self->accepted ? close_reason::handshake_failed
                                       : close_reason::connect_failed);
                return;
            }
            const base::time_point sent{
                base::duration(self->last_sent_us.load())};
            if (sent > self->health.last_sent)
                on_sent(self->health, sent);
            switch (net::check(self->health, timing, self->busy, now)) {
            case link_action::none:
                break;
            case link_action::send_ping:
                ++self->shared->counters.pings_sent;
                self->send_now(wire::ping{on_ping(self->health, now)});
                break;
            case link_action::close:
                self->finish(close_reason::silent);
                break;
            }
        });
}

void link_session::finish(close_reason reason)
{
    bool was_open = false;
    {
        const std::lock_guard lock(this->mutex);
        if (std::exchange(this->finished, true))
            return;
        was_open = this->is_open;
        this->frames.clear();
        this->handshake_frames.clear();
    }
    auto& counters = this->shared->counters;
    ++counters.closed;
    if (reason == close_reason::silent)
        ++counters.silent;
    if (reason == close_reason::malformed)
        ++counters.malformed;
    if (reason == close_reason::handshake_failed)
        ++counters.handshake_failed;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->shared->remove(this->id);
    this->shared->events.closed(this->id, reason, was_open);
}

} // namespace oleanderhinge::net::internal
