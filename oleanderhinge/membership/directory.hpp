// The directory of backend servers in an entry node (docs/design.md, 3.7).
//
// Agents announce themselves to registrars, which relay the announcements, with
// their age, to the other entry nodes of the data centre. A server expires one
// lease after its agent was last heard by any registrar.
//
// Incarnation numbers are random, so incarnations of a server are ordered by
// the times at which they were heard. Two agents of one server never run at the
// same time, so these times do not interleave:
//   - an incarnation that was not heard before replaces the current one,
//     unless it was last heard before the current one was first heard;
//   - the replaced incarnation is recorded, and its late messages are dropped;
//   - if the replaced incarnation sends again, with a higher sequence and after
//     the current one has been silent for `takeover_silence`, it was replaced
//     wrongly (by a late datagram of an incarnation unknown here) and becomes
//     current again.
//
// Not thread-safe; see shared_directory.hpp. All times are those of the steady
// clock that the caller passes as `now`.
//
// Example:
//   directory servers;
//   for (auto& action : apply_announcement(servers, announcement, now)) ...
//   for (auto& action : expire(servers, now)) ...
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oleanderhinge::membership
{

struct directory_options {
    // Setting announce.server_lease.
    base::duration server_lease = std::chrono::seconds(3);
    // Silence of the current incarnation after which a replaced one may become
    // current again. Two announcement intervals, so that one lost datagram does
    // not suffice.
    base::duration takeover_silence = std::chrono::seconds(2);
    // Time for which replaced and expired incarnations are recorded. Longer
    // than a datagram can stay in a network.
    base::duration past_retention = std::chrono::seconds(60);
    // Further servers are refused, which bounds the memory.
    std::size_t max_servers = 16384;
};

// What is known about a backend server. Immutable once it is in a directory.
struct server_entry {
    // The load may be newer than the other fields, since heartbeats of
    // registrars update it.
    wire::announcement last;
    // When this incarnation was heard first and last, by this or another entry
    // node, on the clock of this VM.
    base::time_point first_heard;
    base::time_point heard;
    // End of the lease; the server must not be used from this time on.
    base::time_point expires;
    // When this VM last received an announcement from the agent itself; valid
    // if `direct`.
    base::time_point heard_directly;
    // The agent has announced itself to this VM.
    bool direct = false;
};

using server_entry_ptr = std::shared_ptr<const server_entry>;

// An incarnation that was replaced or has expired.
struct past_incarnation {
    base::incarnation agent_incarnation;
    std::uint64_t sequence = 0;
    base::time_point ended;
};

struct directory_counters {
    std::uint64_t accepted = 0;
    // Duplicates, and messages that arrived after a newer one.
    std::uint64_t old_sequence = 0;
    std::uint64_t old_incarnation = 0;
    // Announcements whose lease had already ended on arrival.
    std::uint64_t expired_on_arrival = 0;
    // Heartbeats of servers that are not known here.
    std::uint64_t unknown_heartbeat = 0;
    // Servers refused because there are `max_servers`.
    std::uint64_t refused_full = 0;
    std::uint64_t expired = 0;
};

struct directory {
    directory_options options;
    std::unordered_map<base::backend_server_id, server_entry_ptr> servers;
    // At most `max_past_incarnations` for a server, oldest first.
    std::unordered_map<base::backend_server_id, std::vector<past_incarnation>>
        past_incarnations;
    // Servers by `heartbeat_key` of their current incarnation.
    std::unordered_map<std::uint64_t, base::backend_server_id> heartbeat_keys;
    // Highest configuration revision that any agent has reported; never
    // decreases.
    base::revision highest_config;
    // Increases with each change of `servers`.
    std::uint64_t version = 0;
    directory_counters counters;
};

inline constexpr std::size_t max_past_incarnations = 4;

// A server was added, or added again after `server_left`.
struct server_joined {
    base::backend_server_id server;
    base::incarnation agent_incarnation;

    bool operator==(const server_joined&) const = default;
};

// A field of the announcement changed, such as state, endpoint, model or
// layers. Changes of load and of reported revisions are not reported.
struct server_changed {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    wire::server_state state = wire::server_state::starting;

    bool operator==(const server_changed&) const = default;
};

enum class leave_reason : std::uint8_t { expired, replaced };

// The lease of the server ended, or another incarnation replaced it. In the
// second case `server_joined` follows.
struct server_left {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    leave_reason reason = leave_reason::expired;

    bool operator==(const server_left&) const = default;
};

using directory_action =
    std::variant<server_joined, server_changed, server_left>;

// Applies an announcement that this VM received from the agent at `now`. Old
// incarnations and sequences are counted and dropped.
std::vector<directory_action> apply_announcement(
    directory& servers, const wire::announcement& item, base::time_point now);

// Applies a batch that a registrar relayed. An entry counts as heard at `now`
// minus its age. Entries beyond the shorter of `changed` and `ages_ms` are
// ignored.
std::vector<directory_action> apply_update(
    directory& servers,
    const wire::directory_update& batch,
    base::time_point now);

// Apply one announcement or one heartbeat of a batch, so that a sharded
// directory can lock one shard at a time.
std::vector<directory_action> apply_relayed(
    directory& servers,
    const wire::announcement& item,
    base::duration age,
    base::time_point now);
// Returns false if the key is unknown. A heartbeat that is not newer than the
// entry or whose lease has ended has no effect. The load is kept if the agent
// has announced itself to this VM within one lease, since that load is exact.
bool apply_heartbeat(
    directory& servers,
    const wire::server_heartbeat& item,
    base::time_point now);

// Removes the servers whose lease has ended. Call it a few times a second.
std::vector<directory_action> expire(directory& servers, base::time_point now);

// Key of a server in `server_heartbeat`: a stable hash of its name and
// incarnation.
std::uint64_t heartbeat_key(
    const base::backend_server_id& server, base::incarnation agent_incarnation);

// Load in 16 steps. Steps 0 to 8 are the eighths of the slots in use, rounded
// up. From step 9 on, all slots are in use and the queue holds up to 1, 2, 4,
// ... times a quarter of the limit.
inline constexpr std::uint8_t max_load_step = 15;
std::uint8_t load_step(const wire::load_report& load);
// The highest load of a step, for a server with the limit and the step time of
// `known`. The last step has no upper bound; its queue is taken as 16 times the
// limit.
wire::load_report
load_of_step(std::uint8_t step, const wire::load_report& known);

} // namespace oleanderhinge::membership
