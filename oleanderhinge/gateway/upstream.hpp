// HTTP/1.1 connections to backend servers, one request at a time on each.
//
// Not thread-safe: used on the gateway's thread.
//
// Example:
//   auto connection = pool.take(server, net::reuse::allowed);
//   if (auto failed = co_await connection->connect(limit)) ...
//   if (auto failed = co_await connection->send(std::move(request), limit)) ...
//   if (auto failed = co_await connection->read_head(limit)) ...
//   while (!connection->complete())
//       if (auto failed = co_await connection->read_body(text, limit)) ...
//   pool.keep(std::move(connection));
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/gateway/protocol_adapter.hpp"
#include "oleanderhinge/gateway/steady_time.hpp"
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/net/shared_body.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Limit on a buffered answer body: the body limit of the platform.
inline constexpr std::size_t max_answer_bytes = std::size_t(4) << 20;
// Idle connections are reused only within this time. Servers close them after a
// few seconds, and a request on a connection that is being closed is lost.
inline constexpr auto max_idle_time = std::chrono::seconds(4);
// Limit on idle connections to one server.
inline constexpr std::size_t max_idle_connections = 64;
inline constexpr std::size_t no_connection_limit =
    std::numeric_limits<std::size_t>::max();

// Shares the body of the caller's request.
using backend_request = boost::beast::http::request<net::shared_body>;

// Must be owned by an `upstream_pointer` when it sends.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(
        boost::asio::io_context& io, wire::endpoint server, bool fresh);

    // Each operation ends with an error at `limit` or after `cancel`.

    // Does nothing on a connection that was kept.
    boost::asio::awaitable<boost::system::error_code>
    connect(steady_time limit);
    // Ends early if an answer begins before the request has been written, as a
    // server may refuse a long body before it has read it. The rest is written
    // while the answer is read, until `limit` or `cancel`.
    boost::asio::awaitable<boost::system::error_code>
    send(backend_request request, steady_time limit);
    // Reads status and fields of the next answer; skips informational ones, at
    // most `net::max_informational_heads`.
    boost::asio::awaitable<boost::system::error_code>
    read_head(steady_time limit);
    // Waits for the next bytes of the body and appends them. Fails at the end
    // of an answer that ends with its connection if the request could not be
    // written: the answer is not known to be whole.
    boost::asio::awaitable<boost::system::error_code>
    read_body(std::string& text, steady_time limit);

    // Ends the present operation and closes the connection.
    void cancel();

    // True once the whole request has been written.
    bool sent() const;
    // Valid after `read_head`.
    unsigned status() const;
    // Those of the head alone: what follows the chunks of a body is neither
    // marked nor checked.
    const http_fields& fields() const { return this->head; }
    // True once the whole answer has arrived.
    bool complete() const;
    // Neither a length nor chunks tell where the answer ends; it ends with its
    // connection.
    bool ends_with_connection() const;
    // "length", "chunks" or "connection".
    std::string_view framing() const;
    // True if another answer begins inside this body, which then is not known
    // to be whole. Valid once the answer is complete.
    bool holds_second_answer(std::string_view body) const;
    // True if another request may follow on this connection.
    bool reusable();
    // False for a connection that has served a request before.
    bool fresh() const { return this->is_new; }
    // When the present request was handed over.
    base::time_point sent_at() const { return this->send_began; }
    const wire::endpoint& server() const { return this->peer; }

private:
    boost::system::error_code check_head();
    // Why the end of an answer that has been read does not make it whole.
    boost::system::error_code end_error() const;

    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::beast::tcp_stream stream;
    const wire::endpoint peer;
    bool is_new;
    bool cancelled = false;
    // The request that is being written.
    std::optional<backend_request> outgoing;
    // Unset while a request is being written.
    std::optional<boost::system::error_code> written;
    // Cancelled to resume `send` when the request has been written or the
    // connection becomes readable.
    boost::asio::steady_timer progress;
    base::time_point send_began;
    // The present request has the method HEAD, whose answer is a head alone.
    bool head_alone = false;
    boost::beast::flat_buffer buffer;
    std::optional<parser> answer;
    // The parser adds the fields of a trailer to its own.
    http_fields head;

    std::shared_ptr<const char> counted;

    friend class upstream_pool;
};

using upstream_pointer = std::shared_ptr<upstream_connection>;

class upstream_pool
{
public:
    // Keeps idle connections only as far as there are no more than
    // `max_connections` with those in use.
    explicit upstream_pool(
        boost::asio::io_context& io,
        std::size_t max_connections = no_connection_limit);

    // An idle connection if reuse is allowed and one is open, else a new one
    // that is not connected yet.
    upstream_pointer take(const wire::endpoint& server, net::reuse allowed);
    // Keeps the connection if another request may follow on it, or closes it.
    void keep(upstream_pointer connection);
    // Closes the connections that are not reused any more. Those to a server
    // that has gone would otherwise stay open for good.
    void drop_idle(steady_time now);

    // Idle connections to all servers.
    std::size_t idle_count() const;

private:
    struct kept_connection {
        upstream_pointer connection;
        steady_time since;
    };

    // Connections that are open, idle or in use.
    std::size_t open_count() const;
    // Closes the connection that has been idle for longest.
    void drop_one();
    static void drop_old(std::vector<kept_connection>& kept, steady_time now);

    boost::asio::io_context& io;
    const std::size_t max_connections;
    std::map<wire::endpoint, std::vector<kept_connection>> idle;
    // Each connection has a copy, so that the owners are counted.
    const std::shared_ptr<const char> counted;
};

} // namespace oleanderhinge::gateway
