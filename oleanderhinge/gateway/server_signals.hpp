// Signals that backend servers send in their answers: that they leave, or that
// they want no requests from this gateway for a time (back-off).
//
// A signal holds for one process (id and start time) and not for its address,
// which another process may take over. Reports to control do not clear it, as
// they may be older than the answer. Leaving is final; a back-off ends.
//
// Example:
//   note_backoff(signals, {record.id, record.started_ms}, until, now);
//   if (accepts_requests(signals, {record.id, record.started_ms}, now))
//       send(request);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Back-offs last as long as servers ask, unless the settings name a limit.
inline constexpr base::duration no_backoff_limit = base::duration::max();
// Back-offs are extended by a random share of up to this one, but not beyond
// `max_backoff_jitter`, so that servers that asked at the same time are not all
// tried again at the same time.
inline constexpr double backoff_jitter = 0.1;
inline constexpr base::duration max_backoff_jitter = std::chrono::seconds(3);

// Limit on the signals that are kept of servers that are not known any more.
inline constexpr std::size_t max_absent_signals = 10'000;

// One process of a server. A server may start again under the same id.
struct server_incarnation {
    base::backend_server_id id;
    std::uint64_t started_ms = 0;
};

struct server_signal {
    std::uint64_t started_ms = 0;
    bool leaving = false;
    // Unset if the server is not in back-off.
    std::optional<base::time_point> backoff_until;
};

struct server_signals {
    // The process that started last under each id, if it has sent a signal.
    std::map<base::backend_server_id, server_signal> servers;
};

// --- Commands ---------------------------------------------------------------

// Each returns true if the server accepted requests in this respect before.
bool note_leaving(server_signals& signals, const server_incarnation& server);
// Never shortens a back-off.
bool note_backoff(
    server_signals& signals,
    const server_incarnation& server,
    base::time_point until,
    base::time_point now);

// Ends the back-offs that are over and returns their servers.
std::vector<base::backend_server_id>
end_backoffs(server_signals& signals, base::time_point now);

// Removes the signals of any other process than this one. To be called when a
// server starts.
void forget_others(server_signals& signals, const server_incarnation& server);

// Limits the signals of servers that are not known any more to
// `max_absent_signals`. Signals are kept since such a process may only be cut
// off and report again. Signals without a back-off are removed first, since
// most leaving servers never report again, and then those of the processes that
// started first.
void forget_absent(
    server_signals& signals,
    const std::function<bool(const base::backend_server_id&)>& is_known);

// --- Queries ----------------------------------------------------------------

// False if the server leaves or is in back-off.
bool accepts_requests(
    const server_signals& signals,
    const server_incarnation& server,
    base::time_point now);

// End of the server's back-off; empty if it is in none, or leaves.
std::optional<base::time_point> backoff_end(
    const server_signals& signals,
    const server_incarnation& server,
    base::time_point now);

// Seconds as digits with an optional fraction, at most 1e9. Empty for anything
// else, such as a date, a sign, an exponent or several values.
std::optional<base::duration> parse_retry_after(std::string_view value);

// The requested time, at most `max`, with jitter.
base::duration backoff_time(
    base::duration requested, base::duration max, base::random_source& random);

} // namespace oleanderhinge::gateway
