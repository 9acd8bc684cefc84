// Finds the server that silent streams wait for, by opening connections.
//
// Pattern: servers of a chain end or lose power at the peak of the load. All
// streams through them fall silent at once. What a first server reports about
// them is some hundred milliseconds old, too late for an answer whose longest
// pause is 250 ms. A process that has ended refuses a connection at once, and a
// machine without power does not complete one.
//
// The decisions are free functions; `path_checker` carries them out and is used
// on the gateway's thread only.
//
// Example:
//   path_checker checker(io, [](const wire::endpoint& server) { ... });
//   if (silence >= check_delay(longest_pause))
//       checker.check(parts, base::monotonic_now());
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/fleet/paths.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oleanderhinge::gateway
{

// Part of the longest pause of a stream after which its path is checked. The
// rest is for the check and for the change of the path.
inline constexpr double check_share_of_pause = 0.4;
// Shortest time between two checks of the same server.
inline constexpr base::duration check_interval = std::chrono::milliseconds(500);
// Checks that one gateway may make in a second, and at once. A path has up to
// 32 parts.
inline constexpr double checks_per_second = 64;
inline constexpr double max_checks_at_once = 32;
// A server that has not accepted a connection within this time, tried several
// times since links lose packets, does not answer. Within a region, connecting
// takes 2 ms.
inline constexpr std::chrono::milliseconds check_timeout(30);
inline constexpr int max_check_tries = 3;

struct path_checks {
    // Time of the last check of each server.
    std::map<wire::endpoint, base::time_point> last;
    double allowance = max_checks_at_once;
    base::time_point updated;
};

// The silence after which the path of a stream is checked; empty for a stream
// without a longest pause.
std::optional<std::chrono::milliseconds>
check_delay(std::chrono::milliseconds longest_pause);

// The later servers of the path that are to be checked now; they count as
// checked. Left out are the first one, since its connection is open, and those
// in `progressing`, through which other streams have just made progress.
std::vector<wire::endpoint> servers_to_check(
    path_checks& checks,
    const fleet::path& parts,
    const std::set<wire::endpoint>& progressing,
    base::time_point now);

class path_checker
{
public:
    // `on_unreachable` is called with each server that was found unreachable.
    path_checker(
        boost::asio::io_context& io,
        std::function<void(const wire::endpoint&)> on_unreachable);

    // See `servers_to_check`.
    void check(
        const fleet::path& parts,
        const std::set<wire::endpoint>& progressing,
        base::time_point now);

private:
    boost::asio::awaitable<void> check_server(wire::endpoint server);

    boost::asio::io_context& io;
    const std::function<void(const wire::endpoint&)> on_unreachable;
    path_checks checks;
};

} // namespace oleanderhinge::gateway
