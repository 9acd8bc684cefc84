// Where a request goes: a server of a plain service or a path through engines.
//
// The choice rests on what servers report through control and on what this
// gateway has seen of them: answers, failures and requests in progress.
//
// Example:
//   server_choice choice;
//   learn(choice, record, now);
//   auto to = choose_path(choice, service, home, {}, now);
//   note_started(choice, to); ... note_ended(choice, to);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/paths.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oleanderhinge::gateway
{

// A server that failed gets no requests for this long, doubled with each
// further failure up to the largest. Crashed servers are mostly back in 5 s.
inline constexpr base::duration first_ejection = std::chrono::milliseconds(500);
inline constexpr base::duration largest_ejection = std::chrono::seconds(4);
// Memory comes free as requests end: at 50 a second and path, some ten of them
// in this time.
inline constexpr base::duration refusal_pause = std::chrono::milliseconds(200);
// Half-life of remembered failures and latencies.
inline constexpr base::duration memory_half_life = std::chrono::seconds(3);
// A server that failed every request costs as much as this many more requests
// in progress.
inline constexpr double failure_weight = 8;
// A server of another data centre costs this much more than one at home.
inline constexpr double remote_weight = 1.15;
// Paths are computed again after this time, as load changes.
inline constexpr base::duration path_age = std::chrono::milliseconds(250);
// Requests spread over the paths that begin in each data centre by this power
// of their speed: gateways see loads a second late and must not all move.
inline constexpr double path_preference = 4;
// A path on which a request waits this long for its first event is half as
// attractive; first events take 80 ms.
inline constexpr base::duration halving_wait = std::chrono::milliseconds(200);
// A part whose cache is fuller than this costs no more than that.
inline constexpr double fullest_cache = 0.95;

struct server_health {
    std::uint32_t in_progress = 0;
    // Share of recent requests that failed, and their latency.
    double failure_rate = 0;
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

struct server_choice {
    fleet::directory servers;
    std::map<wire::endpoint, server_health> health;
    base::data_centre_id home;
    // Costs of a path are computed again when this grows.
    std::uint64_t changes = 0;
    struct candidate {
        fleet::path parts;
        // Time of one token, in milliseconds, with what runs there.
        double cost = 0;
        // Fullest cache of its parts, 0 to 1.
        double fullest = 0;
    };
    struct cached_paths {
        std::uint64_t changes = 0;
        base::time_point computed;
        std::vector<candidate> candidates;
    };
    std::map<std::string, cached_paths> paths;
    // Longest wait for a first event among the requests of this gateway, by
    // the first server of the path.
    std::map<wire::endpoint, base::duration> first_event_waits;
};

// --- Commands ---------------------------------------------------------------

// Takes a record of control; its age counts from `now`.
fleet::report_outcome learn(
    server_choice& choice,
    const wire::server_record& record,
    base::time_point now);

void note_started(server_choice& choice, const wire::endpoint& server);
void note_ended(server_choice& choice, const wire::endpoint& server);
void note_success(
    server_choice& choice,
    const wire::endpoint& server,
    double latency_ms,
    base::time_point now);
// Takes the server out for a while.
void note_failure(
    server_choice& choice, const wire::endpoint& server, base::time_point now);
// The server refused a part of a path, mostly for want of memory: it is left
// alone for `refusal_pause`.
void note_refusal(
    server_choice& choice, const wire::endpoint& server, base::time_point now);
// The server answered with an error of its own; it stays in use.
void note_error(
    server_choice& choice, const wire::endpoint& server, base::time_point now);

// A server of the plain service that is not in `tried`, the one with the least
// expected wait; one that is ejected only if all are. Empty if there is none.
std::optional<chosen_server> choose_server(
    const server_choice& choice,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    base::random_source& random,
    base::time_point now);

// The largest share of a cache that may be in use for new work of a priority;
// the rest is kept for more urgent work and for what is already running.
double cache_limit(std::uint32_t priority);

// The longest wait for a first event on a path that takes new work of a
// priority. Callers leave after 2 s, so a request that would wait longer than
// this is better refused than begun in vain; less urgent work stops earlier.
base::duration wait_limit(std::uint32_t priority);

struct path_choice {
    // Empty if there is none.
    fleet::path parts;
    // There are paths, but their caches are too full or their queues too long.
    bool full = false;
};

// A path over all layers without the servers in `tried`.
path_choice choose_path(
    server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::uint32_t priority,
    base::random_source& random,
    base::time_point now);

// The cheapest path that begins with the same part as that of a request under
// way and avoids some servers; empty if there is none.
fleet::path choose_continuation(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const fleet::path_part& first,
    const std::set<wire::endpoint>& avoided,
    base::time_point now);

} // namespace oleanderhinge::gateway
