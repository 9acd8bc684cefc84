// The connections of an HTTP server, the memory that each makes the process
// hold, and which of them gives way when memory or connections run out.
//
// A caller may hold as much memory as is unused (shared_memory.hpp), and a part
// is for small requests alone, so that a crowd leaves room for ordinary ones.
// Callers that make no progress are
// closed when others need their memory or their place: first those of the
// address that holds most, and of these the largest that has been longest
// without progress. A refusal never depends on the address alone, since all
// callers may share one.
//
// Example:
//   const auto place = admit(table, id, address, now);
//   if (place.granted) ...
//   const auto room = hold(table, id, body.capacity(), now);
//   for (const auto other : room.closed) close(other);
//   if (!room.granted) refuse(id);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/net/shared_memory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderhinge::net
{

enum class caller_id : std::uint64_t {};

// Bytes in a second below which a caller that sends a body or reads an answer
// makes no progress.
inline constexpr double min_body_rate = 16384;
// Requests of at most so many bytes may use all of the memory, larger ones
// leave a part of it.
inline constexpr std::size_t small_request_bytes = std::size_t(32) << 10;
inline constexpr std::size_t small_requests_part = 8;
// Time without progress after which a caller gives way to others.
inline constexpr auto progress_grace = std::chrono::seconds(1);

enum class caller_stage : std::uint8_t {
    // No byte of a first request has arrived.
    new_connection,
    // Waits for a further request.
    idle,
    // A request arrives.
    reading,
    // The request has arrived whole and may run.
    serving,
    // A whole answer is written.
    sending,
};

struct caller {
    std::string address;
    caller_stage stage = caller_stage::new_connection;
    // In bytes.
    std::size_t held = 0;
    // Until then the caller has kept up with `min_body_rate`.
    base::time_point progress;
};

// Why callers were closed or refused, since the start.
struct caller_counters {
    std::uint64_t closed_for_memory = 0;
    std::uint64_t closed_for_place = 0;
    std::uint64_t refused_memory = 0;
    std::uint64_t refused_place = 0;
};

struct caller_table {
    std::size_t max_connections = 0;
    shared_memory memory;
    std::map<caller_id, caller> callers;
    caller_counters counters;
};

struct caller_decision {
    bool granted = false;
    // Removed from the table; their connections are to be closed.
    std::vector<caller_id> closed;
};

// Whether a new connection is taken.
caller_decision admit(
    caller_table& table,
    caller_id id,
    const std::string& address,
    base::time_point now);

// Whether the caller may make the process hold so many bytes.
caller_decision hold(
    caller_table& table, caller_id id, std::size_t bytes, base::time_point now);

// The same for a request that has arrived whole: it may use all that is left,
// since the work on it ends without the caller.
caller_decision hold_to_serve(
    caller_table& table, caller_id id, std::size_t bytes, base::time_point now);

// The caller begins a stage; counts as progress.
void enter(
    caller_table& table,
    caller_id id,
    caller_stage stage,
    base::time_point now);

// Bytes of a body have arrived, or the caller has taken bytes of an answer.
void note_bytes(
    caller_table& table, caller_id id, std::size_t bytes, base::time_point now);

// Time without progress; zero for a caller that was closed.
base::duration
silence(const caller_table& table, caller_id id, base::time_point now);

// Does nothing for a caller that was closed.
void remove(caller_table& table, caller_id id);

} // namespace oleanderhinge::net
