#include "oleanderhinge/net/link_table.hpp"

#include "oleanderhinge/net/internal/link_session.hpp"
#include "oleanderhinge/net/internal/listen.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// Interval at which all links are checked; a quarter of the shortest limit
// that matters keeps detection within the stated silence limit plus this.
constexpr auto sweep_interval = std::chrono::milliseconds(60);

} // namespace

const char* to_string(close_reason reason)
{
    switch (reason) {
    case close_reason::local:
        return "local";
    case close_reason::connect_failed:
        return "connect_failed";
    case close_reason::handshake_failed:
        return "handshake_failed";
    case close_reason::peer_closed:
        return "peer_closed";
    case close_reason::silent:
        return "silent";
    case close_reason::malformed:
        return "malformed";
    case close_reason::shutdown:
        return "shutdown";
    }
    return "unknown";
}

struct link_table::impl : std::enable_shared_from_this<link_table::impl> {
    impl(
        asio::io_context& context,
        timeline::hybrid_clock& source,
        link_options chosen,
        link_events handlers)
        : io(context)
        , acceptor(context)
        , accept_timer(context)
        , sweep_timer(context)
        , shared(std::make_shared<internal::link_shared>(
              source, std::move(chosen), std::move(handlers)))
    {
    }

    using session_ptr = std::shared_ptr<internal::link_session>;

    session_ptr find(link_id id) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->sessions.find(id);
        return found == this->sessions.end() ? nullptr : found->second;
    }

    session_ptr add(tcp::socket socket, bool accepted)
    {
        const std::lock_guard lock(this->mutex);
        const link_id id{this->next_id++};
        auto session = std::make_shared<internal::link_session>(
            id, std::move(socket), this->shared, accepted);
        this->sessions.emplace(id, session);
        return session;
    }

    void remove(link_id id)
    {
        const std::lock_guard lock(this->mutex);
        this->sessions.erase(id);
    }

    std::vector<session_ptr> all() const
    {
        const std::lock_guard lock(this->mutex);
        std::vector<session_ptr> found;
        found.reserve(this->sessions.size());
        for (const auto& [id, session] : this->sessions)
            found.push_back(session);
        return found;
    }

    void accept()
    {
        this->acceptor.async_accept(
            asio::make_strand(this->io),
            [self = this->shared_from_this()](
                boost::system::error_code failed, tcp::socket socket) {
                if (!self->acceptor.is_open())
                    return;
                if (failed)
                    return self->accept_later();
                self->admit(std::move(socket));
                self->accept();
            });
    }

    void accept_later()
    {
        this->accept_timer.expires_after(internal::accept_retry_wait);
        this->accept_timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code) {
                if (self->acceptor.is_open())
                    self->accept();
            });
    }

    void admit(tcp::socket socket)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->sessions.size() >= this->shared->options.max_accepted)
                return;
        }
        this->add(std::move(socket), true)->start();
    }

    void sweep()
    {
        this->sweep_timer.expires_after(sweep_interval);
        this->sweep_timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failed) {
                const auto self = weak.lock();
                if (failed || !self || self->stopped)
                    return;
                const auto now = base::monotonic_now();
                for (const auto& session : self->all())
                    session->check(now);
                self->sweep();
            });
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    asio::steady_timer sweep_timer;
    // Also held by the sessions, which may outlive the table.
    const std::shared_ptr<internal::link_shared> shared;
    std::atomic<bool> stopped{false};
    mutable std::mutex mutex;
    std::uint64_t next_id = 1;
    std::unordered_map<link_id, session_ptr> sessions;
};

link_table::link_table(
    asio::io_context& io,
    timeline::hybrid_clock& clock,
    link_options options,
    link_events events)
    : state(std::make_shared<impl>(
          io, clock, std::move(options), std::move(events)))
{
    this->state->shared->remove =
        [weak = std::weak_ptr<impl>(this->state)](link_id id) {
            if (const auto table = weak.lock())
                table->remove(id);
        };
    this->state->sweep();
}

link_table::~link_table()
{
    this->shutdown();
}

base::result<wire::endpoint> link_table::listen(const wire::endpoint& local)
{
    BOOST_LEAF_AUTO(
        bound, internal::open_acceptor(this->state->acceptor, local));
    this->state->accept();
    return bound;
}

link_id link_table::connect(const wire::endpoint& peer)
{
    auto session = this->state->add(
        tcp::socket(asio::make_strand(this->state->io)), false);
    session->connect(peer);
    return session->id;
}

send_status link_table::send(link_id id, const wire::message& content)
{
    const auto session = this->state->find(id);
    return session ? session->send(this->state->shared->encode(content))
                   : send_status::closed;
}

std::vector<link_id>
link_table::send(const std::vector<link_id>& ids, const wire::message& content)
{
    std::vector<link_id> full;
    if (ids.empty())
        return full;
    const auto frame = this->state->shared->encode(content);
    for (const auto id : ids)
        if (const auto session = this->state->find(id);
            session && session->send(frame) == send_status::full)
            full.push_back(id);
    return full;
}

void link_table::set_busy(link_id id, bool busy)
{
    if (const auto session = this->state->find(id))
        session->busy = busy;
}

void link_table::close(link_id id)
{
    if (const auto session = this->state->find(id))
        session->close(close_reason::local);
}

void link_table::shutdown()
{
    if (this->state->stopped.exchange(true))
        return;
    asio::post(this->state->io, [state = this->state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
        state->sweep_timer.cancel();
    });
    for (const auto& session : this->state->all())
        session->close(close_reason::shutdown);
}

std::size_t link_table::size() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->sessions.size();
}

link_counters link_table::counters() const
{
    const auto& from = this->state->shared->counters;
    link_counters to;
    to.opened = from.opened;
    to.closed = from.closed;
    to.silent = from.silent;
    to.malformed = from.malformed;
    to.handshake_failed = from.handshake_failed;
    to.bytes_sent = from.bytes_sent;
    to.bytes_received = from.bytes_received;
    to.pings_sent = from.pings_sent;
    return to;
}

} // namespace oleanderhinge::net
