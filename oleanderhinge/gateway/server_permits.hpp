// Permits for requests to backend servers with a limit: the limits that this
// gateway knows and the permits that it holds.
//
// The leader of control grants permits in proportion to the demand that
// gateways report. Without grants, a gateway grants itself permits at
// `own_share` of its equal part, with a random phase.
//
// Example:
//   note_arrival(permits, service, now);
//   if (const auto demand = report_demand(permits, now)) send(*demand);
//   note_grant(permits, grant, now);
//   if (take_permit(permits, server, now) != permit_use::missing)
//   send(request);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/fleet/server_limits.hpp"
#include "oleanderhinge/gateway/server_signals.hpp"
#include "oleanderhinge/retry/shared_budget.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::gateway
{

// Without any grant for this time, an empty one included, although demand was
// reported, a gateway grants itself permits.
inline constexpr base::duration grant_silence = std::chrono::seconds(1);
inline constexpr double own_share = 0.25;
inline constexpr base::duration gateway_count_period = std::chrono::minutes(5);
// Half-lives of the reported demand and of the rate of grants.
inline constexpr base::duration demand_half_life = std::chrono::seconds(1);
inline constexpr base::duration grant_half_life = std::chrono::seconds(4);
// Longest time after which a refused caller returns, since limits may end and
// servers may start meanwhile; and the shortest one.
inline constexpr base::duration max_return_wait =
    std::chrono::milliseconds(29500);
inline constexpr base::duration min_return_wait =
    std::chrono::milliseconds(300);

// A decayed rate of events, as of `updated`.
struct event_rate {
    double per_second = 0;
    base::time_point updated;
};

// Permits that control has granted for one process.
struct granted_permits {
    struct batch {
        base::time_point end;
        std::uint32_t count = 0;
    };
    std::uint64_t started_ms = 0;
    // By their end.
    std::deque<batch> batches;
    event_rate rate;
};

// The next permit that this gateway grants itself.
struct own_permit {
    std::uint64_t started_ms = 0;
    base::time_point due;
    base::duration interval{0};
    // How long it is usable once it is due.
    base::duration lifetime{0};
};

struct server_permits {
    fleet::limit_table limits;
    std::map<base::backend_server_id, granted_permits> granted;
    // Empty while control grants permits.
    std::map<base::backend_server_id, own_permit> own;
    // Requests of callers, by service.
    std::map<std::string, event_rate> arrivals;
    // Since when demand has been reported without a pause.
    std::optional<base::time_point> reported_since;
    std::optional<base::time_point> last_grant;
    // The time of the latest statement that control has, as far as is known.
    std::map<base::backend_server_id, base::time_point> shared;
    // Gateways that share the limits: the most of the last minutes, as a member
    // of control that has just started counts few.
    retry::recent_maximum gateways{.period = gateway_count_period};
    // Until when callers that were refused return, by service.
    std::map<std::string, base::time_point> returns_until;
};

// How a request to a server was allowed.
enum class permit_use : std::uint8_t {
    // The server has no limit.
    not_needed,
    granted,
    own,
    // It was not.
    missing,
};

struct statement_effect {
    // The limit in force has changed.
    bool changed = false;
    // Control has to get the statement.
    bool to_share = false;
};

// --- Commands ---------------------------------------------------------------

// The server's limit in an answer to a request that was sent at `asked`; empty:
// the answer has none, which ends a limit that was stated before.
statement_effect note_answer(
    server_permits& permits,
    const server_incarnation& server,
    std::optional<double> per_second,
    base::time_point asked,
    base::time_point now);

// A statement that control has relayed. Returns true if the limit in force has
// changed.
bool note_statement(
    server_permits& permits,
    const wire::server_limit& statement,
    base::time_point now);

// Permits of the leader, also none; ends the gateway's own ones.
void note_grant(
    server_permits& permits,
    const wire::permit_grant& grant,
    base::time_point now);

// A request of a caller for this service has arrived.
void note_arrival(
    server_permits& permits, const std::string& service, base::time_point now);

// The demand to report to control; empty if no limit is in force. To be called
// a few times a second, with a link to control or without.
std::optional<wire::permit_demand>
report_demand(server_permits& permits, base::time_point now);

// Forgets old limits and updates the gateway's own permits. To be called ten
// times a second. Returns the servers whose limits were forgotten.
std::vector<base::backend_server_id> update(
    server_permits& permits,
    std::uint32_t gateways,
    base::random_source& random,
    base::time_point now);

// Takes a permit if the server has a limit.
permit_use take_permit(
    server_permits& permits,
    const server_incarnation& server,
    base::time_point now);

// When a caller that is refused for the limits of these servers returns:
// callers return one after another at the rate of this gateway's permits, and
// at random in the last half of `max_return_wait` if that is too late.
base::duration retry_wait(
    server_permits& permits,
    const std::string& service,
    const std::vector<server_incarnation>& servers,
    std::uint32_t gateways,
    base::random_source& random,
    base::time_point now);

// --- Queries ----------------------------------------------------------------

bool has_limit(
    const server_permits& permits,
    const server_incarnation& server,
    base::time_point now);

// Whether a request may be sent to the server: it has no limit, or a permit is
// left.
bool has_permit(
    const server_permits& permits,
    const server_incarnation& server,
    base::time_point now);

std::size_t count_limits(const server_permits& permits, base::time_point now);

} // namespace oleanderhinge::gateway
