// HTTP/1.1 calls to the backend server beside an agent, and from the command
// line to the daemons.
//
// Example:
//   http_client client{io, 64};
//   auto outcome = co_await client.call(server, request, 2s, reuse::allowed);
//   if (outcome.failure == http_failure::not_sent) ...
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhinge::net
{

struct http_call {
    std::string method = "GET";
    std::string target = "/";
    std::vector<wire::header> headers;
    std::string body;
};

enum class http_failure : std::uint8_t {
    none,
    // No byte of the request was handed to the connection.
    not_sent,
    // The server may have received the request.
    unknown,
};

struct http_outcome {
    http_failure failure = http_failure::none;
    std::string detail;
    wire::response answer;
};

// Whether a kept connection may carry the call. A kept connection may have
// been closed by the server meanwhile, which leaves it unknown whether the
// call ran; calls that must not be repeated use a fresh one.
enum class reuse : std::uint8_t { allowed, never };

inline constexpr std::size_t default_max_answer = std::size_t(4) << 20;

// Thread-safe.
class http_client
{
public:
    // Keeps at most `max_idle` connections for each server. Answers with a body
    // above `max_answer` bytes fail.
    http_client(
        boost::asio::io_context& io,
        std::size_t max_idle,
        std::size_t max_answer = default_max_answer);
    ~http_client();

    // The whole call ends within `timeout`.
    boost::asio::awaitable<http_outcome> call(
        wire::endpoint server,
        http_call request,
        std::chrono::milliseconds timeout,
        reuse connection);

private:
    struct impl;
    std::shared_ptr<impl> state;
};

} // namespace oleanderhinge::net
