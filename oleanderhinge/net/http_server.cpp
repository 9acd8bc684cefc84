#include "oleanderhinge/net/http_server.hpp"

#include "oleanderhinge/net/framing_limits.hpp"
#include "oleanderhinge/net/internal/caller_registry.hpp"
#include "oleanderhinge/net/internal/listen.hpp"
#include "oleanderhinge/net/internal/request_reader.hpp"
#include "oleanderhinge/net/internal/stream_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <bit>
#include <optional>
#include <utility>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using internal::caller_connection;
using internal::stream_exchange;

namespace
{

// The header counts whole seconds; the exact wait is in the body.
std::vector<wire::header> retry_after_of(const base::verdict& failure)
{
    if (failure.retry_after.count() == 0)
        return {};
    const auto seconds = (failure.retry_after.count() + 999) / 1000;
    return {{"Retry-After", std::to_string(seconds)}};
}

// The address of a client that has left is empty.
std::string address_of(const tcp::socket& socket)
{
    boost::system::error_code failed;
    const auto peer = socket.remote_endpoint(failed);
    return failed ? std::string() : peer.address().to_string();
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
    impl(asio::io_context& context, http_limits bounds, http_handler callback)
        : io(context)
        , acceptor(asio::make_strand(context))
        , accept_timer(this->acceptor.get_executor())
        , limits(bounds)
        , handler(std::move(callback))
        , callers(std::make_shared<internal::caller_registry>(
              bounds.max_connections, bounds.memory))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(
            asio::make_strand(this->io),
            [self = this->shared_from_this()](
                boost::system::error_code failed, tcp::socket socket) {
                if (self->draining)
                    return;
                if (failed)
                    return self->accept_later();
                if (const auto id = self->callers->admit(address_of(socket)))
                    self->serve(*id, std::move(socket));
                self->accept();
            });
    }

    void accept_later()
    {
        this->accept_timer.expires_after(internal::accept_retry_wait);
        this->accept_timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code) {
                if (!self->draining)
                    self->accept();
            });
    }

    void serve(caller_id id, tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor,
            run(this->shared_from_this(), id, std::move(socket)),
            asio::detached);
    }

    static asio::awaitable<void>
    run(std::shared_ptr<impl> self, caller_id id, tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        internal::caller_place place(self->callers, id, stream);
        beast::flat_buffer buffer(
            self->limits.header_bytes + max_unparsed_bytes);
        caller_connection connection{stream, buffer, place, self->limits};
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        place.enter(caller_stage::new_connection);
        while (co_await self->exchange(connection)) {
            place.enter(caller_stage::idle);
            if (buffer.size() == 0)
                buffer.shrink_to_fit();
            place.hold(buffer.capacity());
        }
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Serves one request; returns whether the connection can be kept.
    asio::awaitable<bool> exchange(caller_connection& connection)
    {
        if (!co_await internal::await_request(connection, this->draining))
            co_return false;
        auto arrived = co_await internal::read_request(connection);
        if (arrived.request) {
            const auto size = arrived.request->body().capacity();
            const auto held = size * this->limits.serving_cost;
            if (connection.place.hold_to_serve(held))
                co_return co_await this->serve_request(
                    connection, std::move(*arrived.request), held);
            arrived = {std::nullopt, internal::no_memory()};
        }
        if (arrived.refusal) {
            // The body is gone.
            connection.place.hold(connection.buffer.capacity());
            co_await this->refuse(connection, *arrived.refusal);
            if (!this->draining)
                co_await internal::drop_rest(connection);
        }
        co_return false;
    }

    asio::awaitable<bool> serve_request(
        caller_connection& connection, http_request request, std::size_t held)
    {
        stream_exchange exchange(
            connection.stream,
            this->limits,
            this->closing,
            request.method(),
            request.version(),
            request.keep_alive());
        exchange.set_place(connection.place, held);
        ++this->in_progress;
        connection.place.enter(caller_stage::serving);
        connection.stream.expires_never();
        try {
            co_await this->handler(std::move(request), exchange);
        } catch (const std::exception& failure) {
            this->note_handler_failure(failure);
        }
        if (!exchange.has_answered())
            co_await respond_problem(
                exchange,
                base::may_have_run(
                    base::failure_code::internal, "internal error"));
        --this->in_progress;
        boost::system::error_code ignored;
        // Not shut down first, which would look like the end of the stream.
        if (exchange.is_unended_stream())
            connection.stream.socket().close(ignored);
        co_return exchange.reusable();
    }

    // Answers a request that is not handled; the connection closes.
    asio::awaitable<void> refuse(
        caller_connection& connection, const internal::request_refusal& refusal)
    {
        stream_exchange exchange(
            connection.stream,
            this->limits,
            this->closing,
            http::verb::unknown,
            11,
            false);
        co_await exchange.respond(
            refusal.status,
            "application/problem+json",
            problem_json(refusal.why),
            retry_after_of(refusal.why));
    }

    // The volume of the log stays bounded if every request fails.
    void note_handler_failure(const std::exception& failure)
    {
        const auto count = ++this->handler_failures;
        if (std::has_single_bit(count))
            spdlog::error(
                "event=handler_failed count={} reason=\"{}\"",
                count,
                failure.what());
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    const http_limits limits;
    const http_handler handler;
    std::atomic<bool> draining{false};
    std::atomic<bool> closing{false};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<std::uint64_t> handler_failures{0};
    const std::shared_ptr<internal::caller_registry> callers;
};

http_server::http_server(
    asio::io_context& io, http_limits limits, http_handler handler)
    : state(std::make_shared<impl>(io, limits, std::move(handler)))
{
}

http_server::~http_server()
{
    this->shutdown();
}

base::result<wire::endpoint> http_server::listen(const wire::endpoint& local)
{
    BOOST_LEAF_AUTO(
        bound, internal::open_acceptor(this->state->acceptor, local));
    this->state->accept();
    return bound;
}

void http_server::drain()
{
    this->state->closing = true;
    this->state->draining = true;
    asio::post(this->state->acceptor.get_executor(), [state = this->state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
    this->state->callers->cancel(true);
}

void http_server::stop_keeping()
{
    this->state->closing = true;
}

void http_server::shutdown()
{
    this->drain();
    this->state->callers->cancel(false);
}

std::size_t http_server::active() const
{
    return this->state->in_progress;
}

std::size_t http_server::connections() const
{
    return this->state->callers->size();
}

std::size_t http_server::held_bytes() const
{
    return this->state->callers->held_bytes();
}

caller_counters http_server::limited() const
{
    return this->state->callers->counters();
}

std::string problem_json(const base::verdict& failure)
{
    const std::string code = base::to_string(failure.code);
    boost::json::object body{
        {"type", "urn:oleanderhinge:problem:" + code},
        {"title", code},
        {"status", base::http_status(failure)},
        {"code", code},
        {"execution", base::to_string(failure.state)},
        {"detail", failure.detail}};
    if (failure.retry_after.count() > 0)
        body["retry_after_ms"] = failure.retry_after.count();
    return boost::json::serialize(body);
}

asio::awaitable<bool>
respond_problem(http_exchange& exchange, const base::verdict& failure)
{
    co_return co_await exchange.respond(
        base::http_status(failure),
        "application/problem+json",
        problem_json(failure),
        retry_after_of(failure));
}

} // namespace oleanderhinge::net
