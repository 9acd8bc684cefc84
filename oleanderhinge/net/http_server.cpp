#include "oleanderhinge/net/http_server.hpp"

#include "oleanderhinge/net/framing_limits.hpp"
#include "oleanderhinge/net/internal/listen.hpp"
#include "oleanderhinge/net/internal/stream_exchange.hpp"
#include "oleanderhinge/net/request_head.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <bit>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace oleanderhinge::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using internal::stream_exchange;

namespace
{

// Completes with the error code instead of throwing.
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

// Removes the empty lines that a client may send before a request (RFC 9112,
// section 2.2). Returns their size in bytes.
std::size_t remove_empty_lines(beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    const std::string_view unread(
        static_cast<const char*>(bytes.data()), bytes.size());
    std::size_t size = 0;
    while (unread.substr(size).starts_with("\r\n") ||
           unread.substr(size).starts_with('\n'))
        size += unread[size] == '\r' ? 2 : 1;
    buffer.consume(size);
    return size;
}

// Whether the buffer holds the beginning of a request. Expects no empty lines
// before it; one may lack its end.
bool holds_request(const beast::flat_buffer& buffer)
{
    const auto bytes = buffer.data();
    return bytes.size() > 1 || (bytes.size() == 1 && *static_cast<const char*>(
                                                         bytes.data()) != '\r');
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
    impl(asio::io_context& context, http_limits bounds, http_handler callback)
        : io(context)
        , acceptor(asio::make_strand(context))
        , accept_timer(this->acceptor.get_executor())
        , limits(bounds)
        , handler(std::move(callback))
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
                if (self->open < self->limits.max_connections)
                    self->serve(std::move(socket));
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

    void serve(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor,
            run(this->shared_from_this(), std::move(socket)),
            asio::detached);
    }

    static asio::awaitable<void>
    run(std::shared_ptr<impl> self, tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        const auto id = self->register_stream(stream);
        beast::flat_buffer buffer(
            self->limits.header_bytes + max_unparsed_bytes);
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        while (co_await self->exchange(id, stream, buffer)) {
        }
        self->unregister(id);
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Reads until a request has begun. Returns false if the client leaves, is
    // idle for too long or sends too many empty lines, or if a stop finds no
    // request.
    asio::awaitable<bool> await_request(
        std::uint64_t id, beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        // Empty lines do not prolong it.
        stream.expires_after(this->limits.idle_timeout);
        auto skipped = remove_empty_lines(buffer);
        while (!holds_request(buffer)) {
            if (skipped > this->limits.header_bytes ||
                (this->draining && !has_bytes(stream)))
                co_return false;
            this->set_idle(id, true);
            const auto [failed, size] =
                co_await stream.async_read_some(buffer.prepare(4096), as_pair);
            this->set_idle(id, false);
            if (failed)
                co_return false;
            buffer.commit(size);
            skipped += remove_empty_lines(buffer);
        }
        co_return true;
    }

    // Empty if there is no request to handle; one that is malformed has been
    // answered.
    asio::awaitable<std::optional<http_request>>
    read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(std::uint32_t(this->limits.header_bytes));
        parser.body_limit(this->limits.body_bytes);
        stream.expires_after(this->limits.read_timeout);
        const auto [failed, size] =
            co_await http::async_read(stream, buffer, parser, as_pair);
        if (failed) {
            co_await this->refuse_malformed(stream, failed);
            co_return std::nullopt;
        }
        const auto framing = check_framing(parser.get().base());
        if (framing == request_framing::valid)
            co_return parser.release();
        const bool ambiguous = framing == request_framing::ambiguous;
        const std::string detail =
            ambiguous ? "ambiguous framing" : "unsupported transfer coding";
        co_await this->refuse(stream, ambiguous ? 400 : 501, detail);
        co_return std::nullopt;
    }

    // Serves one request; returns whether the connection can be kept.
    asio::awaitable<bool> exchange(
        std::uint64_t id, beast::tcp_stream& stream, beast::flat_buffer& buffer)
    {
        if (!co_await this->await_request(id, stream, buffer))
            co_return false;
        auto request = co_await this->read_request(stream, buffer);
        if (!request)
            co_return false;
        stream_exchange exchange(
            stream,
            this->limits,
            this->closing,
            request->method(),
            request->version(),
            request->keep_alive());
        ++this->in_progress;
        stream.expires_never();
        try {
            co_await this->handler(std::move(*request), exchange);
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
            stream.socket().close(ignored);
        co_return exchange.reusable();
    }

    asio::awaitable<void> refuse_malformed(
        beast::tcp_stream& stream, boost::system::error_code failed)
    {
        if (failed == http::error::end_of_stream ||
            failed.category() !=
                boost::system::error_code(http::error::bad_method).category())
            co_return;
        const bool large = failed == http::error::body_limit ||
                           failed == http::error::header_limit ||
                           failed == http::error::buffer_overflow;
        const auto detail = "malformed request: " + failed.message();
        co_await this->refuse(stream, large ? 413 : 400, detail);
    }

    // Answers a request that is not handled; the connection closes.
    asio::awaitable<void>
    refuse(beast::tcp_stream& stream, unsigned status, std::string detail)
    {
        stream_exchange exchange(
            stream,
            this->limits,
            this->closing,
            http::verb::unknown,
            11,
            false);
        const auto failure = base::not_run(
            base::failure_code::invalid_request, std::move(detail));
        co_await exchange.respond(
            status, "application/problem+json", problem_json(failure), {});
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

    std::uint64_t register_stream(beast::tcp_stream& stream)
    {
        const std::lock_guard lock(this->mutex);
        ++this->open;
        this->streams.emplace(this->next_id, connection{&stream});
        return this->next_id++;
    }

    void set_idle(std::uint64_t id, bool idle)
    {
        const std::lock_guard lock(this->mutex);
        this->streams.at(id).idle = idle;
    }

    static bool has_bytes(beast::tcp_stream& stream)
    {
        boost::system::error_code failed;
        return stream.socket().available(failed) > 0 && !failed;
    }

    // Ends the present operation of the connections, or of the idle ones on
    // which no request has arrived.
    void cancel(bool only_idle)
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [id, kept] : this->streams)
            asio::post(
                kept.stream->get_executor(),
                [self = this->shared_from_this(), id = id, only_idle] {
                    const std::lock_guard inner(self->mutex);
                    const auto found = self->streams.find(id);
                    if (found == self->streams.end())
                        return;
                    auto& [stream, idle] = found->second;
                    if (!only_idle || (idle && !has_bytes(*stream)))
                        stream->cancel();
                });
    }

    void unregister(std::uint64_t id)
    {
        const std::lock_guard lock(this->mutex);
        --this->open;
        this->streams.erase(id);
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    const http_limits limits;
    const http_handler handler;
    std::atomic<bool> draining{false};
    std::atomic<bool> closing{false};
    std::atomic<std::size_t> open{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<std::uint64_t> handler_failures{0};
    std::mutex mutex;
    std::uint64_t next_id = 1;
    struct connection {
        beast::tcp_stream* stream = nullptr;
        // Waits for the first byte of a request.
        bool idle = false;
    };
    std::unordered_map<std::uint64_t, connection> streams;
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
    this->state->cancel(true);
}

void http_server::stop_keeping()
{
    this->state->closing = true;
}

void http_server::shutdown()
{
    this->drain();
    this->state->cancel(false);
}

std::size_t http_server::active() const
{
    return this->state->in_progress;
}

std::size_t http_server::connections() const
{
    return this->state->open;
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
    std::vector<wire::header> headers;
    if (failure.retry_after.count() > 0) {
        // The header counts whole seconds; the exact wait is in the body.
        const auto seconds = (failure.retry_after.count() + 999) / 1000;
        headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    co_return co_await exchange.respond(
        base::http_status(failure),
        "application/problem+json",
        problem_json(failure),
        std::move(headers));
}

} // namespace oleanderhinge::net
