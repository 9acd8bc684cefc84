// An exchange over a connection of the HTTP server. Not for use outside net/.
//
// Example:
//   stream_exchange exchange(stream, limits, closing, method, 11, true);
//   co_await handler(request, exchange);
//   if (!exchange.reusable()) co_return;
#pragma once

#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/internal/caller_registry.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

#include <atomic>

namespace oleanderhinge::net::internal
{

class stream_exchange final : public http_exchange
{
public:
    stream_exchange(
        boost::beast::tcp_stream& connection,
        const http_limits& bounds,
        const std::atomic<bool>& server_closing,
        boost::beast::http::verb request_method,
        unsigned http_version,
        bool keep);

    boost::asio::awaitable<bool> respond(
        unsigned status,
        std::string_view content_type,
        std::string body,
        std::vector<wire::header> headers) override;
    boost::asio::awaitable<bool> begin_stream(
        unsigned status,
        std::string_view content_type,
        std::vector<wire::header> headers) override;
    boost::asio::awaitable<bool> write_chunk(std::string_view data) override;
    boost::asio::awaitable<bool> end_stream() override;
    bool client_gone() override;
    void watch_client(std::function<void()> callback) override;

    // The place of the connection, which holds so many bytes for the request.
    // Where whole answers count, one for which there is no memory is replaced
    // by an empty 503.
    void set_place(caller_place& place, std::size_t held);

    // A stream without its end must not look complete, so the connection is
    // closed then.
    bool reusable() const
    {
        return this->answered && !this->streaming && !this->failed_write &&
               this->keep_alive;
    }
    bool has_answered() const { return this->answered; }
    bool is_unended_stream() const { return this->streaming; }

private:
    template <class Answer>
    void set_headers(
        Answer& answer,
        std::string_view content_type,
        const std::vector<wire::header>& headers);
    template <class Answer>
    boost::asio::awaitable<bool> write_head(Answer& answer);
    bool is_head() const
    {
        return this->method == boost::beast::http::verb::head;
    }
    // A stream to a caller of HTTP/1.0 has none and ends with its connection.
    bool has_chunks() const { return this->version >= 11; }
    boost::asio::awaitable<bool> write_whole(
        boost::beast::http::response<boost::beast::http::string_body> answer);
    // A reset shows the caller that a stream without chunks broke off.
    void reset_on_close(bool reset);
    bool ok(boost::system::error_code failed);

    boost::beast::tcp_stream& stream;
    const http_limits& limits;
    // Whether connections close after their present exchange.
    const std::atomic<bool>& closing;
    const boost::beast::http::verb method;
    const unsigned version;
    bool keep_alive;
    caller_place* place = nullptr;
    std::size_t request_bytes = 0;
    std::shared_ptr<std::function<void()>> leave;
    bool answered = false;
    bool streaming = false;
    bool failed_write = false;
};

} // namespace oleanderhinge::net::internal
