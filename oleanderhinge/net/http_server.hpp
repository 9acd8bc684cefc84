// An HTTP/1.1 server over Boost.Beast for callers, operators and metrics.
//
// The handler is a coroutine that gets the request and an exchange to answer
// it with, whole or as a stream of chunks. Sizes and times are bounded, also
// over all connections, so that slow or hostile clients hold only a part of the
// process's memory and descriptors (caller_table.hpp).
//
// Example:
//   http_server server{io, limits, [](http_request r, http_exchange& e)
//       -> awaitable<void> { co_await e.respond(200, "text/plain", "ok"); }};
//   server.listen({"127.0.0.1", 7400});
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/net/caller_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::net
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    // For reading a head after its first byte, and the longest time without
    // progress in a body.
    std::chrono::milliseconds read_timeout{10000};
    // For one write of a stream, and the longest time without progress in a
    // whole answer.
    std::chrono::milliseconds write_timeout{10000};
    // For the next request on a kept connection.
    std::chrono::milliseconds idle_timeout{75000};
    std::size_t max_connections = 10000;
    // Memory of all requests that arrive or are served, and of whole answers,
    // in bytes.
    std::size_t memory = std::size_t(16) << 20;
    // Memory that a request is counted with while it is served, in bytes for
    // each byte of its body.
    std::size_t serving_cost = 1;
    // Whether whole answers count; not if the handler counts them.
    bool counts_answers = true;
    // Whether answers carry a Server field of this program.
    bool names_itself = true;
};

// One request and its answer. Either `respond` once, or `begin_stream`, any
// number of `write_chunk`, `end_stream`. A stream without its end does not look
// complete to the client: it lacks the last chunk, or, for HTTP/1.0, its
// connection is reset.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    // Each returns false if the client is gone.
    virtual boost::asio::awaitable<bool> respond(
        unsigned status,
        std::string_view content_type,
        std::string body,
        std::vector<wire::header> headers = {}) = 0;
    virtual boost::asio::awaitable<bool> begin_stream(
        unsigned status,
        std::string_view content_type,
        std::vector<wire::header> headers = {}) = 0;
    virtual boost::asio::awaitable<bool> write_chunk(std::string_view data) = 0;
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    // True if the client has closed the connection; checked without blocking.
    virtual bool client_gone() = 0;
    // Calls `leave` once when the client closes the connection before the
    // exchange has ended. At most one call an exchange.
    virtual void watch_client(std::function<void()> leave) = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(
    http_request, http_exchange& exchange)>;

// Thread-safe.
class http_server
{
public:
    http_server(
        boost::asio::io_context& io, http_limits limits, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    base::result<wire::endpoint> listen(const wire::endpoint& local);
    // Takes no new connections; open ones close after their present exchange,
    // idle ones at once. A request that has arrived is still served.
    void drain();
    // Open connections close after their next exchange; new ones are taken.
    void stop_keeping();
    // Closes all connections.
    void shutdown();

    // Exchanges whose handler has not finished.
    std::size_t active() const;
    std::size_t connections() const;
    // Memory that the connections hold, in bytes.
    std::size_t held_bytes() const;
    // Connections that were closed or refused for lack of memory or places.
    caller_counters limited() const;

private:
    struct impl;
    std::shared_ptr<impl> state;
};

// Body of an error: application/problem+json with `type`, `title`, `status`,
// `code`, `execution`, `detail` and, where waiting helps, `retry_after_ms`.
std::string problem_json(const base::verdict& failure);

// Answers with `problem_json`, the status of the verdict and `Retry-After`.
boost::asio::awaitable<bool>
respond_problem(http_exchange& exchange, const base::verdict& failure);

} // namespace oleanderhinge::net
