// Selects the backend server of a request, or its path through model engines.
//
// Selection uses the server records that control publishes and what this
// gateway has observed itself: latencies, failures, requests in progress and
// the signals of servers. A server that leaves or is in back-off is chosen by
// none of the functions, and one whose limit is used up neither, except for
// requests that run there already and as a later part of a path.
//
// Example:
//   server_selector selector;
//   apply_record(selector, record, now);
//   const auto found =
//       choose_path(selector, service, {}, priority, random, now);
//   const auto& first = found.parts.front().address;
//   note_started(selector, first); ... note_ended(selector, first);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/paths.hpp"
#include "oleanderhinge/gateway/congestion.hpp"
#include "oleanderhinge/gateway/crossing_budget.hpp"
#include "oleanderhinge/gateway/path_change.hpp"
#include "oleanderhinge/gateway/server_permits.hpp"
#include "oleanderhinge/gateway/server_signals.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oleanderhinge::gateway
{

// Outlier ejection: a failed server gets no requests for `initial_ejection`,
// doubled with each consecutive failure up to `max_ejection`. Crashed servers
// are mostly back in 5 s.
inline constexpr base::duration initial_ejection =
    std::chrono::milliseconds(500);
inline constexpr base::duration max_ejection = std::chrono::seconds(4);
// Ejection after a refusal, which is mostly for lack of cache memory. Requests
// that end free memory: at 50 a second and path, about ten end in this time.
inline constexpr base::duration refusal_ejection =
    std::chrono::milliseconds(200);
// Half-life of the observed failure rate.
inline constexpr base::duration health_half_life = std::chrono::seconds(3);
// A failure rate of 1 multiplies the cost of a server by 1 + this value, as
// much as this many requests in progress do.
inline constexpr double failure_penalty = 8;
// Cost factor of a server in another data centre than the gateway.
inline constexpr double remote_cost_factor = 1.15;
// Cached paths are recomputed after this time, since load changes.
inline constexpr base::duration path_cache_time =
    std::chrono::milliseconds(250);
// A path is drawn with a probability proportional to this power of its speed.
// Gateways see loads a second late, so they must not all switch to the fastest
// path at once.
inline constexpr double path_weight_exponent = 4;
// A request that has waited this long for its first event halves the weight of
// its path. First events normally take 80 ms.
inline constexpr base::duration weight_halving_wait =
    std::chrono::milliseconds(200);
// Factor for the cost of a server in the search for a continuation if it is
// part of the present path. A new part reads the whole prompt.
inline constexpr double kept_part_factor = 0.1;
// The cost of an engine grows with the used share of its cache up to this one.
inline constexpr double max_priced_cache_use = 0.95;

// What this gateway has observed of one server.
struct server_health {
    std::uint32_t in_progress = 0;
    // Moving average of failures, 0 to 1, as of `updated`.
    double failure_rate = 0;
    // Moving average of successful requests; 0 if there was none.
    double latency_ms = 0;
    base::time_point updated;
    std::uint32_t failures_in_a_row = 0;
    base::time_point ejected_until;
};

struct chosen_server {
    base::backend_server_id id;
    wire::endpoint address;

    bool operator==(const chosen_server&) const = default;
};

struct server_selector {
    fleet::directory servers;
    std::map<wire::endpoint, server_health> health;
    // Changes are followed by a change of `generation`.
    server_signals signals;
    // Cached paths do not depend on them.
    server_permits permits;
    // Data centre of this gateway.
    base::data_centre_id home;
    // Incremented by each change that makes cached paths invalid.
    std::uint64_t generation = 0;
    struct candidate {
        fleet::path parts;
        // Expected time of one token under the present load, with the charges
        // of `fleet::path_costs`.
        double token_ms = 0;
        // Used share of the fullest cache among its engines, 0 to 1.
        double cache_use = 0;
    };
    struct cached_paths {
        std::uint64_t generation = 0;
        base::time_point computed;
        std::vector<candidate> candidates;
    };
    // By service; used for requests that no server has failed yet.
    std::map<std::string, cached_paths> paths;
    // Longest present wait for a first event among this gateway's requests, by
    // the first server of the path.
    std::map<wire::endpoint, base::duration> first_event_waits;
    // Waits that ended.
    congestion ended_waits;
    // Gateways that share the link between data centres.
    std::uint32_t gateways = 1;
    crossing_budget crossings;
};

// --- Commands ---------------------------------------------------------------

// Applies a record that control sent; `record.age_ms` is its age at `now`. A
// record that changes the server also ends its ejection.
fleet::report_outcome apply_record(
    server_selector& selector,
    const wire::server_record& record,
    base::time_point now);

// Forgets servers without a report for `fleet::tombstone_time` before the
// newest one, their signals beyond `max_absent_signals`, and what was observed
// at addresses that no server has. Without reports of any server, none is
// forgotten.
void forget_old_servers(server_selector& selector);

// Count the requests in progress; each start is followed by one end.
void note_started(server_selector& selector, const wire::endpoint& server);
void note_ended(server_selector& selector, const wire::endpoint& server);
// Updates the averages and ends the sequence of consecutive failures.
void note_success(
    server_selector& selector,
    const wire::endpoint& server,
    double latency_ms,
    base::time_point now);
// Raises the failure rate and ejects the server; see `initial_ejection`.
void note_failure(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now);
// The request was answered by another server before this one, which has had it
// for this long.
void note_outrun(
    server_selector& selector, const wire::endpoint& server, double time_ms);
// The server refused its part of a path, mostly for lack of memory. Ejects it
// for `refusal_ejection`; the failure rate does not change.
void note_refusal(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now);
// The server answered with an error. Raises its failure rate without ejecting
// it.
void note_error(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now);

// The process that is known under this id; start time 0 if none is.
server_incarnation incarnation_of(
    const server_selector& selector, const base::backend_server_id& id);

// The data centre of the server; empty if it is not known.
base::data_centre_id data_centre_of(
    const server_selector& selector, const base::backend_server_id& id);

// Whether this server accepts requests, as far as its signals say.
bool accepts_requests(
    const server_selector& selector,
    const base::backend_server_id& id,
    base::time_point now);

// For a service that no request can use because its servers are in back-off:
// when the first of the back-offs ends. Empty for any other service.
std::optional<base::time_point> backoff_end(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now);

// The number of ready servers, of all services, that this gateway does not use
// because of their signals.
std::size_t
count_excluded(const server_selector& selector, base::time_point now);

// The server of a plain service with the least cost that is not in `tried`,
// with some random noise in the costs. Ejected servers are chosen only if no
// other is left. Empty if there is none, or no permit for one.
std::optional<chosen_server> choose_server(
    const server_selector& selector,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    base::random_source& random,
    base::time_point now);

// Admission limit by priority (0 is the most urgent): a path takes a new
// request while no cache on it is used beyond this share. The rest is reserved
// for more urgent requests and for the growth of running ones.
double cache_limit(std::uint32_t priority);

struct path_choice {
    // Empty if there is none.
    fleet::path parts;
    // There are paths, but each is beyond `cache_limit` or `wait_limit`, or
    // changes the data centre beyond the `crossing_budget`.
    bool overloaded = false;
    // Wait for a first event to expect on the path.
    base::duration expected_wait{0};
    // Expected time of one token; see `server_selector::candidate`.
    double token_ms = 0;
    // There are paths, but the limits of all first servers are used up.
    bool limited = false;
};

// Draws a path over all layers by weight, without the servers in `tried`. Paths
// with ejected servers are used only if there is no other. `target` is that of
// `wait_limit`; zero for a stream that has begun. In a service without engines,
// the path is the server that `choose_server` selects, without layers.
path_choice choose_path(
    server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::uint32_t priority,
    base::random_source& random,
    base::time_point now,
    base::duration target = base::duration(0));

// What this gateway knows of the server of a running request.
server_standing
standing_of(const server_selector& selector, const base::backend_server_id& id);

// A path for a running request that keeps its first part, whatever the signals
// of its server, and uses no server that is in `avoided` or ejected. The other
// parts of `present`, which have read the prompt, are preferred to cheaper
// ones. Empty if there is none, or if it changes the data centre more often
// than the present path and the `crossing_budget` is used up.
fleet::path choose_continuation(
    server_selector& selector,
    const wire::forwarding_service& service,
    const fleet::path& present,
    const std::set<wire::endpoint>& avoided,
    base::time_point now);

} // namespace oleanderhinge::gateway
