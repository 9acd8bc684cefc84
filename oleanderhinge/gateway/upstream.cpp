#include "oleanderhinge/gateway/upstream.hpp"

#include "oleanderhinge/net/answer_head.hpp"
#include "oleanderhinge/net/framing_limits.hpp"
#include "oleanderhinge/net/idle_connection.hpp"
#include "oleanderhinge/net/second_answer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_size = 8192;

} // namespace

upstream_connection::upstream_connection(
    asio::io_context& io, wire::endpoint server, bool fresh_in)
    : stream(io)
    , peer(std::move(server))
    , is_new(fresh_in)
    , progress(io, steady_time::max())
    , buffer(net::max_unparsed_bytes)
{
}

asio::awaitable<error_code> upstream_connection::connect(steady_time limit)
{
    if (!this->is_new)
        co_return error_code{};
    error_code failed;
    const auto address = asio::ip::make_address(this->peer.address, failed);
    if (failed)
        co_return failed;
    this->stream.expires_at(limit);
    const auto [refused] = co_await this->stream.async_connect(
        tcp::endpoint(address, this->peer.port), as_pair);
    if (!refused)
        this->stream.socket().set_option(tcp::no_delay(true), failed);
    co_return this->cancelled ? asio::error::operation_aborted : refused;
}

asio::awaitable<error_code>
upstream_connection::send(backend_request request, steady_time limit)
{
    if (this->cancelled)
        co_return asio::error::operation_aborted;
    this->head_alone = request.method() == http::verb::head;
    this->send_began = base::monotonic_now();
    this->outgoing = std::move(request);
    this->written.reset();
    this->stream.expires_at(limit);
    http::async_write(
        this->stream,
        *this->outgoing,
        [self = this->shared_from_this()](error_code failed, std::size_t) {
            self->outgoing.reset();
            self->written = failed;
            self->progress.cancel();
        });
    // Whether bytes have arrived or the server has closed the connection; unset
    // while waiting for that.
    std::optional<bool> readable;
    asio::cancellation_signal stop;
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        asio::bind_cancellation_slot(
            stop.slot(),
            [self = this->shared_from_this(), &readable](error_code failed) {
                readable = !failed;
                self->progress.cancel();
            }));
    while (!this->written && !readable.value_or(false))
        co_await this->progress.async_wait(as_pair);
    stop.emit(asio::cancellation_type::terminal);
    while (!readable)
        co_await this->progress.async_wait(as_pair);
    // A server that answers and closes the connection may fail the write.
    error_code closed;
    if (this->sent() || this->stream.socket().available(closed) > 0)
        co_return error_code{};
    co_return this->written.value_or(asio::error::eof);
}

asio::awaitable<error_code> upstream_connection::read_head(steady_time limit)
{
    if (this->cancelled)
        co_return asio::error::operation_aborted;
    this->stream.expires_at(limit);
    for (int heads = 0; heads <= net::max_informational_heads; ++heads) {
        this->answer.emplace();
        this->answer->body_limit(boost::none);
        this->answer->skip(this->head_alone);
        const auto failed =
            co_await net::read_head(this->stream, this->buffer, *this->answer);
        if (failed)
            co_return failed;
        const auto kind = net::kind_of(this->answer->get().base());
        if (kind == net::head_kind::undefined)
            co_return http::error::bad_status;
        if (kind == net::head_kind::final_answer)
            co_return this->check_head();
    }
    co_return http::error::header_limit;
}

error_code upstream_connection::check_head()
{
    this->head = this->answer->get().base();
    if (net::holds_second_answer(this->answer->get().base()))
        return http::error::bad_value;
    if (!net::has_plain_framing(this->answer->get().base()))
        return http::error::bad_transfer_encoding;
    return error_code{};
}

asio::awaitable<error_code>
upstream_connection::read_body(std::string& text, steady_time limit)
{
    if (this->cancelled)
        co_return asio::error::operation_aborted;
    if (this->answer->is_done())
        co_return this->end_error();
    std::array<char, read_size> bytes{};
    auto& body = this->answer->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    this->stream.expires_at(limit);
    auto [failed, size] = co_await http::async_read_some(
        this->stream, this->buffer, *this->answer, as_pair);
    text.append(bytes.data(), bytes.size() - body.size);
    if (failed == http::error::need_buffer)
        failed = {};
    if (!failed && this->answer->is_done())
        failed = this->end_error();
    co_return failed;
}

// A socket reports a reset once, to the operation that meets it first. After a
// failed write, reads see the end of the connection instead, which would be
// that of an answer without a length.
error_code upstream_connection::end_error() const
{
    if (this->ends_with_connection() && this->written)
        return *this->written;
    return error_code{};
}

void upstream_connection::cancel()
{
    this->cancelled = true;
    error_code ignored;
    this->stream.socket().close(ignored);
}

bool upstream_connection::sent() const
{
    return this->written && !this->written->failed();
}

unsigned upstream_connection::status() const
{
    return this->answer->get().result_int();
}

bool upstream_connection::complete() const
{
    return this->answer && this->answer->is_done() && !this->end_error();
}

bool upstream_connection::ends_with_connection() const
{
    return this->answer->need_eof();
}

std::string_view upstream_connection::framing() const
{
    if (this->ends_with_connection())
        return "connection";
    return this->answer->chunked() ? "chunks" : "length";
}

bool upstream_connection::holds_second_answer(std::string_view body) const
{
    return net::holds_second_answer(
        body,
        this->ends_with_connection(),
        boost::beast::buffers_to_string(this->buffer.data()));
}

bool upstream_connection::reusable()
{
    // Bytes after a complete answer belong to no request.
    return !this->cancelled && this->sent() && this->complete() &&
           this->answer->keep_alive() && this->buffer.size() == 0;
}

upstream_pool::upstream_pool(
    asio::io_context& context, std::size_t connection_limit)
    : io(context)
    , max_connections(connection_limit)
    , counted(std::make_shared<const char>('\0'))
{
}

upstream_pointer
upstream_pool::take(const wire::endpoint& server, net::reuse allowed)
{
    auto& kept = this->idle[server];
    const auto now = std::chrono::steady_clock::now();
    while (allowed == net::reuse::allowed && !kept.empty()) {
        auto candidate = std::move(kept.back());
        kept.pop_back();
        if (now - candidate.since < max_idle_time &&
            net::is_quiet(candidate.connection->stream.socket()))
            return candidate.connection;
    }
    if (this->open_count() >= this->max_connections)
        this->drop_one();
    auto made = std::make_shared<upstream_connection>(this->io, server, true);
    made->counted = this->counted;
    return made;
}

void upstream_pool::keep(upstream_pointer connection)
{
    if (!connection->reusable())
        return connection->cancel();
    connection->stream.expires_never();
    connection->is_new = false;
    connection->answer.reset();
    const auto now = std::chrono::steady_clock::now();
    auto& kept = this->idle[connection->peer];
    drop_old(kept, now);
    if (kept.size() < max_idle_connections &&
        this->open_count() < this->max_connections)
        kept.push_back({std::move(connection), now});
}

void upstream_pool::drop_idle(steady_time now)
{
    for (auto& [server, kept] : this->idle)
        drop_old(kept, now);
    std::erase_if(
        this->idle, [](const auto& item) { return item.second.empty(); });
}

std::size_t upstream_pool::open_count() const
{
    return std::size_t(this->counted.use_count()) - 1;
}

void upstream_pool::drop_one()
{
    auto oldest = this->idle.end();
    for (auto item = this->idle.begin(); item != this->idle.end(); ++item)
        if (!item->second.empty() &&
            (oldest == this->idle.end() ||
             item->second.front().since < oldest->second.front().since))
            oldest = item;
    if (oldest != this->idle.end())
        oldest->second.erase(oldest->second.begin());
}

std::size_t upstream_pool::idle_count() const
{
    std::size_t count = 0;
    for (const auto& [server, kept] : this->idle)
        count += kept.size();
    return count;
}

void upstream_pool::drop_old(
    std::vector<kept_connection>& kept, steady_time now)
{
    std::erase_if(kept, [now](const kept_connection& item) {
        return now - item.since >= max_idle_time;
    });
}

} // namespace oleanderhinge::gateway
