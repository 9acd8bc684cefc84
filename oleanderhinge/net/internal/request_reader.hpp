// Reads the requests of one connection within the limits of the server and the
// memory that the connection may hold. Not for use outside net/.
//
// Example:
//   if (!co_await await_request(connection, draining)) co_return false;
//   auto arrived = co_await read_request(connection);
//   if (!arrived.request) refuse(arrived.refusal);
#pragma once

#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/internal/caller_registry.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <optional>

namespace oleanderhinge::net::internal
{

struct caller_connection {
    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer& buffer;
    caller_place& place;
    const http_limits& limits;
};

struct request_refusal {
    unsigned status = 0;
    base::verdict why;
};

// A request, or why it is not handled. Neither if the client has left or taken
// too long.
struct arrived_request {
    std::optional<http_request> request;
    std::optional<request_refusal> refusal;
};

// Reads until a request has begun. Returns false if the client leaves, is idle
// for too long or sends too many empty lines, or if a stop finds no request.
boost::asio::awaitable<bool>
await_request(caller_connection& from, const std::atomic<bool>& draining);

// Expects that a request has begun.
boost::asio::awaitable<arrived_request> read_request(caller_connection& from);

// The refusal of a request for which there is no memory.
request_refusal no_memory();

// Reads and drops what the client still sends, within bounds, so that it gets
// the answer and no reset of the connection.
boost::asio::awaitable<void> drop_rest(caller_connection& from);

} // namespace oleanderhinge::net::internal
