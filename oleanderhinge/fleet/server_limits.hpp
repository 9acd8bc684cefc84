// Limits that backend servers state in their answers: the requests a second
// that a server takes from all gateways together.
//
// Each gateway notes what the answers that it gets state and sends changes to
// control, whose leader sends them to the other gateways. A statement has the
// age of its answer, so that all copies converge: the latest one holds. It
// holds for one process (id and start time).
//
// Example:
//   if (note(limits, {id, started_ms, 3.2, 0}, now))
//       send_to_control(all_limits(limits, now));
//   if (const auto limit = limit_of(limits, id, started_ms, now)) ...
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace oleanderhinge::fleet
{

// A permit that is not used in this time is lost. Permits of a lower limit last
// longer, since few gateways have a request for one within a second. At a limit
// of L requests a second, this is at most 1 s + 2 / L.
base::duration permit_lifetime(double per_second);
// A statement that no answer has confirmed for this time is forgotten. Without
// a leader, each of many gateways gets an answer of a server within some
// minutes.
inline constexpr base::duration statement_lifetime = std::chrono::minutes(10);
// All limits in force are sent again at this interval, by gateways to the
// members of control and by the leader to the gateways. Otherwise a gateway
// that gets no answers of a server would forget its limit while it still holds.
inline constexpr base::duration resend_interval = std::chrono::seconds(5);
// The lowest limit that is kept, in requests a second. A server that takes none
// at all would get no request whose answer could end the limit.
inline constexpr double least_limit = 0.1;

struct limit_statement {
    std::uint64_t started_ms = 0;
    // Empty: the server states none any more.
    std::optional<double> per_second;
    base::time_point stated;
};

struct limit_table {
    std::map<base::backend_server_id, limit_statement> servers;
};

// --- Commands ---------------------------------------------------------------

// Applies a statement unless a later one, or one of a later process, is known.
// Returns true if the limit in force has changed.
bool note(
    limit_table& limits,
    const wire::server_limit& statement,
    base::time_point now);

// Forgets the statements older than `statement_lifetime`.
void expire(limit_table& limits, base::time_point now);

// --- Queries ----------------------------------------------------------------

// The limit of this process in requests a second; empty: none.
std::optional<double> limit_of(
    const limit_table& limits,
    const base::backend_server_id& server,
    std::uint64_t started_ms,
    base::time_point now);

// The statement as it is sent now, also one that ends a limit.
wire::server_limit as_message(
    const base::backend_server_id& server,
    const limit_statement& statement,
    base::time_point now);

// All limits in force, for a peer to which a link has opened.
wire::server_limits all_limits(const limit_table& limits, base::time_point now);

// The value of a header field: digits with an optional fraction, at least
// `least_limit` and at most 1e6. Empty for anything else.
std::optional<double> parse_limit(std::string_view value);

} // namespace oleanderhinge::fleet
