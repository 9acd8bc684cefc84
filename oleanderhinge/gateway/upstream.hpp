// HTTP/1.1 connections to backend servers, one request at a time on each.
//
// Not thread-safe: used on the gateway's thread.
//
// Example:
//   auto connection = pool.take(server, net::reuse::allowed);
//   if (auto failed = co_await connection->connect(limit)) ...
//   if (auto failed = co_await connection->send(request, limit)) ...
//   if (auto failed = co_await connection->read_head(limit)) ...
//   while (!connection->complete())
//       if (auto failed = co_await connection->read_body(text, limit)) ...
//   pool.keep(std::move(connection));
#pragma once

#include "oleanderhinge/gateway/dialect.hpp"
#include "oleanderhinge/gateway/steady_time.hpp"
#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::gateway
{

// Largest answer body that is held at once: the platform's body limit.
inline constexpr std::size_t largest_answer = std::size_t(4) << 20;
// Kept connections are used again only this long: servers close idle ones
// after seconds, and a request on a connection that is being closed is lost.
inline constexpr auto longest_idle = std::chrono::seconds(4);
// Kept connections of one server.
inline constexpr std::size_t most_kept = 64;

class upstream_connection
{
public:
    upstream_connection(
        boost::asio::io_context& io, wire::endpoint server, bool fresh);

    // Each operation ends with an error at `limit` or after `cancel`.

    boost::asio::awaitable<boost::system::error_code>
    connect(steady_time limit);
    boost::asio::awaitable<boost::system::error_code>
    send(const net::http_request& request, steady_time limit);
    // Status and fields of the next answer; informational ones are skipped.
    boost::asio::awaitable<boost::system::error_code>
    read_head(steady_time limit);
    // Appends what has arrived of the body.
    boost::asio::awaitable<boost::system::error_code>
    read_body(std::string& text, steady_time limit);

    // Ends the present operation; the connection cannot be used any more.
    void cancel();

    unsigned status() const;
    const http_fields& fields() const;
    // The whole answer has arrived.
    bool complete() const;
    // Another request may follow on this connection.
    bool reusable();
    // False for a connection that has served a request before.
    bool fresh() const { return this->is_new; }
    const wire::endpoint& server() const { return this->peer; }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::beast::tcp_stream stream;
    const wire::endpoint peer;
    bool is_new;
    bool cancelled = false;
    boost::beast::flat_buffer buffer;
    std::optional<parser> answer;

    friend class upstream_pool;
};

using upstream_pointer = std::shared_ptr<upstream_connection>;

class upstream_pool
{
public:
    explicit upstream_pool(boost::asio::io_context& io);

    // A kept connection, or a new one that is not connected yet.
    upstream_pointer take(const wire::endpoint& server, net::reuse allowed);
    // Keeps the connection if another request may follow on it.
    void keep(upstream_pointer connection);

private:
    struct kept_connection {
        upstream_pointer connection;
        steady_time since;
    };

    boost::asio::io_context& io;
    std::map<wire::endpoint, std::vector<kept_connection>> idle;
};

} // namespace oleanderhinge::gateway
