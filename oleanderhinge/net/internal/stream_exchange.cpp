#include "oleanderhinge/net/internal/stream_exchange.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace oleanderhinge::net::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

// Completes with the error code instead of throwing.
constexpr auto as_pair = asio::as_tuple(asio::use_awaitable);

} // namespace

stream_exchange::stream_exchange(
    beast::tcp_stream& connection,
    const http_limits& bounds,
    const std::atomic<bool>& server_closing,
    http::verb request_method,
    unsigned http_version,
    bool keep)
    : stream(connection)
    , limits(bounds)
    , closing(server_closing)
    , method(request_method)
    , version(http_version)
    , keep_alive(keep)
{
}

template <class Answer>
void stream_exchange::set_headers(
    Answer& answer,
    std::string_view content_type,
    const std::vector<wire::header>& headers)
{
    if (this->limits.names_itself)
        answer.set(http::field::server, "oleanderhinge");
    if (!content_type.empty())
        answer.set(http::field::content_type, content_type);
    for (const auto& field : headers)
        answer.insert(field.name, field.value);
    // A stop may have begun since the request was read.
    this->keep_alive = this->keep_alive && !this->closing;
    answer.keep_alive(this->keep_alive);
}

template <class Answer>
asio::awaitable<bool> stream_exchange::write_head(Answer& answer)
{
    http::response_serializer<typename Answer::body_type> serializer(answer);
    const auto [failed, size] =
        co_await http::async_write_header(this->stream, serializer, as_pair);
    co_return this->ok(failed);
}

void stream_exchange::reset_on_close(bool reset)
{
    boost::system::error_code ignored;
    this->stream.socket().set_option(tcp::socket::linger(reset, 0), ignored);
}

void stream_exchange::set_place(caller_place& counted, std::size_t held)
{
    this->place = &counted;
    this->request_bytes = held;
}

// The time for the answer begins anew with each part of it that the client
// takes, as far as that is progress.
asio::awaitable<bool>
stream_exchange::write_whole(http::response<http::string_body> answer)
{
    http::response_serializer<http::string_body> serializer(answer);
    if (this->place != nullptr)
        this->place->enter(caller_stage::sending);
    while (!serializer.is_done()) {
        auto limit = std::chrono::duration_cast<base::duration>(
            this->limits.write_timeout);
        if (this->place != nullptr)
            limit -= this->place->silence();
        this->stream.expires_after(
            std::max<base::duration>(limit, std::chrono::milliseconds(1)));
        const auto [failed, size] =
            co_await http::async_write_some(this->stream, serializer, as_pair);
        if (!this->ok(failed))
            co_return false;
        if (this->place != nullptr)
            this->place->note_bytes(size);
    }
    co_return true;
}

bool stream_exchange::ok(boost::system::error_code failed)
{
    if (failed)
        this->failed_write = true;
    return !failed;
}

asio::awaitable<bool> stream_exchange::respond(
    unsigned status,
    std::string_view content_type,
    std::string body,
    std::vector<wire::header> headers)
{
    const auto needed = this->request_bytes + body.capacity();
    if (this->limits.counts_answers && this->place != nullptr &&
        !this->place->hold_to_serve(needed)) {
        status = 503;
        body.clear();
        body.shrink_to_fit();
        headers.clear();
        this->keep_alive = false;
    }
    http::response<http::string_body> answer(
        http::status(status), this->version);
    this->set_headers(answer, content_type, headers);
    this->answered = true;
    this->stream.expires_after(this->limits.write_timeout);
    if (this->is_head()) {
        // The length of the answer to GET is not known without a body.
        if (!body.empty())
            answer.content_length(body.size());
        co_return co_await this->write_head(answer);
    }
    answer.body() = std::move(body);
    answer.prepare_payload();
    co_return co_await this->write_whole(std::move(answer));
}

asio::awaitable<bool> stream_exchange::begin_stream(
    unsigned status,
    std::string_view content_type,
    std::vector<wire::header> headers)
{
    http::response<http::empty_body> answer(
        http::status(status), this->version);
    if (!this->has_chunks()) {
        this->keep_alive = false;
        this->reset_on_close(true);
    }
    this->set_headers(answer, content_type, headers);
    answer.chunked(this->has_chunks());
    this->answered = true;
    this->streaming = true;
    this->stream.expires_after(this->limits.write_timeout);
    co_return co_await this->write_head(answer);
}

asio::awaitable<bool> stream_exchange::write_chunk(std::string_view data)
{
    if (this->failed_write)
        co_return false;
    if (this->is_head())
        co_return true;
    this->stream.expires_after(this->limits.write_timeout);
    const auto bytes = asio::buffer(data.data(), data.size());
    if (!this->has_chunks()) {
        const auto [failed, size] =
            co_await asio::async_write(this->stream, bytes, as_pair);
        co_return this->ok(failed);
    }
    const auto [failed, size] = co_await asio::async_write(
        this->stream, http::make_chunk(bytes), as_pair);
    co_return this->ok(failed);
}

asio::awaitable<bool> stream_exchange::end_stream()
{
    if (this->failed_write)
        co_return false;
    this->streaming = false;
    if (!this->has_chunks()) {
        this->reset_on_close(false);
        co_return true;
    }
    if (this->is_head())
        co_return true;
    this->stream.expires_after(this->limits.write_timeout);
    const auto [failed, size] = co_await asio::async_write(
        this->stream, http::make_chunk_last(), as_pair);
    co_return this->ok(failed);
}

bool stream_exchange::client_gone()
{
    if (this->failed_write)
        return true;
    auto& socket = this->stream.socket();
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    return failed && failed != asio::error::would_block &&
           failed != asio::error::try_again;
}

void stream_exchange::watch_client(std::function<void()> callback)
{
    this->leave = std::make_shared<std::function<void()>>(std::move(callback));
    // The wait may outlive the exchange; it then finds no callback.
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        [this,
         held = std::weak_ptr(this->leave)](boost::system::error_code failed) {
            const auto notify = held.lock();
            if (notify && !failed && this->client_gone())
                (*notify)();
        });
}

} // namespace oleanderhinge::net::internal
