// The directory of backend servers in an entry node (docs/design.md, 3.7).
//
// Agents announce themselves; registrars pass announcements on to the other
// entry nodes of their data centre, with their age. A server expires one lease
// after its agent was last heard, whoever heard it.
//
// Which incarnation is newer: incarnations are random, so they are ordered by
// when they were heard. Two agents of one server never run at the same time,
// so the times at which two incarnations are heard do not interleave:
//   - an incarnation that was not heard before replaces the current one,
//     unless it was last heard before the current one was first heard;
//   - the replaced one is remembered and its late messages are dropped;
//   - if it does send again, with a higher sequence and after the current one
//     has been silent for `takeover_silence`, it was replaced by mistake (a
//     late datagram of an incarnation unknown here) and becomes current again.
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
    // Silence of the current incarnation after which a replaced one may come
    // back: two announcement intervals, so that one lost datagram is not
    // enough.
    base::duration takeover_silence = std::chrono::seconds(2);
    // Time for which replaced and expired incarnations are remembered. Longer
    // than a datagram can stay in a network.
    base::duration past_retention = std::chrono::seconds(60);
    // Further servers are refused; bounds the memory.
    std::size_t max_servers = 16384;
};

// What is known about a backend server. Immutable once it is in a directory.
struct server_entry {
    // The load may be newer than the rest, from a heartbeat of a registrar.
    wire::announcement last;
    // When this incarnation was heard first and last, by this or another entry
    // node, on the clock of this VM.
    base::time_point first_heard;
    base::time_point heard;
    // The server must not be used from then on.
    base::time_point expires;
    // When the agent itself was last heard by this VM; meaningless unless
    // `direct`.
    base::time_point heard_directly;
    // The agent announces itself to this VM.
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
    // Duplicates and messages that were overtaken.
    std::uint64_t old_sequence = 0;
    std::uint64_t old_incarnation = 0;
    // Second-hand entries that had expired on arrival.
    std::uint64_t expired_on_arrival = 0;
    // Heartbeats of servers that are not known here.
    std::uint64_t unknown_heartbeat = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t expired = 0;
};

struct directory {
    directory_options options;
    std::unordered_map<base::backend_server_id, server_entry_ptr> servers;
    // At most `max_past` for a server, oldest first.
    std::unordered_map<base::backend_server_id, std::vector<past_incarnation>>
        past;
    // Heartbeat keys of `servers`.
    std::unordered_map<std::uint64_t, base::backend_server_id> keys;
    // Highest configuration revision that any agent has reported; never falls.
    base::revision highest_config;
    // Grows with each change of `servers`.
    std::uint64_t version = 0;
    directory_counters counters;
};

inline constexpr std::size_t max_past = 4;

// A server was added, or came back after it had left.
struct server_joined {
    base::backend_server_id server;
    base::incarnation agent_incarnation;

    bool operator==(const server_joined&) const = default;
};

// State, endpoint, model, version, adapters or layers changed. Load changes
// are not reported.
struct server_changed {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    wire::server_state state = wire::server_state::starting;

    bool operator==(const server_changed&) const = default;
};

enum class leave_reason : std::uint8_t { expired, replaced };

// The server is gone, or its agent was restarted; then `server_joined` follows.
struct server_left {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    leave_reason reason = leave_reason::expired;

    bool operator==(const server_left&) const = default;
};

using directory_action =
    std::variant<server_joined, server_changed, server_left>;

// Takes an announcement that this VM received from the agent at `now`. Old
// incarnations and sequences are counted and dropped.
std::vector<directory_action> apply_announcement(
    directory& servers, const wire::announcement& item, base::time_point now);

// Takes a batch that a registrar passed on. An entry counts as heard at `now`
// minus its age. Entries beyond the shorter of `changed` and `ages_ms` are
// ignored.
std::vector<directory_action> apply_update(
    directory& servers,
    const wire::directory_update& batch,
    base::time_point now);

// The same for one announcement and one heartbeat of a batch; these let a
// sharded directory lock one shard at a time.
std::vector<directory_action> apply_passed_on(
    directory& servers,
    const wire::announcement& item,
    base::duration age,
    base::time_point now);
// False if the key is not known here.
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

// Coarse load: 0 to 8 are the eighths of the slots in use, rounded up; from 9
// on, all slots are in use and the queue holds up to 1, 2, 4, ... times 1/4 of
// the limit.
inline constexpr std::uint8_t max_load_step = 15;
std::uint8_t load_step(const wire::load_report& load);
// The highest load of a step, for a server with the limit and the step time of
// `known`; the last step stands for a queue of 16 times the limit.
wire::load_report
load_of_step(std::uint8_t step, const wire::load_report& known);

} // namespace oleanderhinge::membership
