#include "oleanderhinge/gateway/path_check.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

std::optional<milliseconds> check_delay(milliseconds longest_pause)
{
    if (longest_pause <= milliseconds(0))
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(
        longest_pause * check_share_of_pause);
}

std::vector<wire::endpoint> servers_to_check(
    path_checks& checks,
    const fleet::path& parts,
    const std::set<wire::endpoint>& progressing,
    base::time_point now)
{
    const std::chrono::duration<double> elapsed = now - checks.updated;
    checks.allowance = std::min(
        max_checks_at_once,
        checks.allowance + elapsed.count() * checks_per_second);
    checks.updated = now;
    std::erase_if(checks.last, [&](const auto& item) {
        return now >= item.second + check_interval;
    });
    std::vector<wire::endpoint> due;
    for (std::size_t i = 1; i < parts.size() && checks.allowance >= 1; ++i)
        if (!progressing.contains(parts[i].address) &&
            checks.last.emplace(parts[i].address, now).second) {
            due.push_back(parts[i].address);
            --checks.allowance;
        }
    return due;
}

path_checker::path_checker(
    asio::io_context& context,
    std::function<void(const wire::endpoint&)> on_unreachable_in)
    : io(context)
    , on_unreachable(std::move(on_unreachable_in))
{
}

void path_checker::check(
    const fleet::path& parts,
    const std::set<wire::endpoint>& progressing,
    base::time_point now)
{
    for (auto& server : servers_to_check(this->checks, parts, progressing, now))
        asio::co_spawn(
            this->io, this->check_server(std::move(server)), asio::detached);
}

asio::awaitable<void> path_checker::check_server(wire::endpoint server)
{
    error_code failed;
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(server.address, failed), server.port);
    if (failed)
        co_return;
    for (int tries = 0; tries < max_check_tries; ++tries) {
        boost::beast::tcp_stream stream(this->io);
        stream.expires_after(check_timeout);
        co_await stream.async_connect(
            address, asio::redirect_error(asio::use_awaitable, failed));
        if (!failed)
            co_return;
        if (failed != boost::beast::error::timeout &&
            failed != asio::error::connection_refused)
            co_return;
        if (failed == asio::error::connection_refused)
            break;
    }
    this->on_unreachable(server);
}

} // namespace oleanderhinge::gateway
