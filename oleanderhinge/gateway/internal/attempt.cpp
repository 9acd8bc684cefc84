#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;

asio::awaitable<void>
wait_until(forwarding_request& request, asio::io_context& io, steady_time until)
{
    if (request.caller_left)
        co_return;
    request.wait_timer.emplace(io, until);
    // `cancel_wait` ends the wait with an error, which is not a failure.
    boost::system::error_code woken;
    co_await request.wait_timer->async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
    request.wait_timer.reset();
}

void cancel_attempts(forwarding_request& request)
{
    for (const auto& connection : request.call_connections)
        connection->cancel();
    request.call_connections.clear();
    if (request.connection)
        request.connection->cancel();
}

void cancel_wait(forwarding_request& request)
{
    if (request.wait_timer)
        request.wait_timer->cancel();
}

} // namespace oleanderhinge::gateway
