// Opens the acceptor of a server. Not for use outside net/.
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace oleanderhinge::net::internal
{

// Time until connections are accepted again after a failure. Without free
// descriptors, accepting fails at once each time.
inline constexpr auto accept_retry_wait = std::chrono::milliseconds(100);

// Binds to `local` and listens; returns the endpoint with the port that was
// chosen for port 0. Fails with `io`.
base::result<wire::endpoint> open_acceptor(
    boost::asio::ip::tcp::acceptor& acceptor, const wire::endpoint& local);

} // namespace oleanderhinge::net::internal
