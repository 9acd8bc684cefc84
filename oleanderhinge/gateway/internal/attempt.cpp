#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;

asio::awaitable<void>
pause_until(forwarding_request& r, asio::io_context& io, steady_time until)
{
    if (r.caller_left)
        co_return;
    r.pause.emplace(io, until);
    // Ends early with an error when it is woken, which is no failure.
    boost::system::error_code woken;
    co_await r.pause->async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
    r.pause.reset();
}

void wake(forwarding_request& r)
{
    if (r.pause)
        r.pause->cancel();
}

} // namespace oleanderhinge::gateway
