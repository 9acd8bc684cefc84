// Decides which running streams leave their paths now, and how.
//
// A stream leaves a path because one of its servers is about to end or no
// longer works. If that is a later part, the first server continues the stream
// along another path and keeps the prompt that the remaining servers have read.
// If it is the first part, another attempt replaces the present one.
//
// Servers that end announce it while they still serve. Their streams are spread
// over that time, so that the servers that read the prompts again are not asked
// for all of them at once. Streams on a failed server move at once.
//
// The functions have no side effects beside their arguments.
//
// Example:
//   note_standing(known, id, standing_of(selector, id), now);
//   for (const auto& move : plan_moves(streams, tick_interval, now))
//       start(move.stream, move.way);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/fleet/paths.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace oleanderhinge::gateway
{

// Time after the announcement of a server's end in which its streams are moved.
// Servers serve for two seconds after they have announced it.
inline constexpr base::duration departure_time =
    std::chrono::milliseconds(1500);
// Streams behind a first server that leaves keep their attempt for this long,
// as many end by themselves and those that move read their prompts again.
inline constexpr base::duration replacement_delay =
    std::chrono::milliseconds(500);
// A stream that has got an event within this time runs, whatever is said of the
// servers on its path.
inline constexpr base::duration progress_margin =
    std::chrono::milliseconds(100);
// Time until a change that failed is tried again, if the known servers have
// changed meanwhile, and otherwise.
inline constexpr base::duration changed_view_retry =
    std::chrono::milliseconds(200);
inline constexpr base::duration same_view_retry =
    std::chrono::milliseconds(500);
// A request that has not begun stays on its path for at least this long.
inline constexpr base::duration min_wait_for_start =
    std::chrono::milliseconds(500);
// What a new attempt takes beside its wait: the transfer of the prompt.
inline constexpr base::duration restart_time = std::chrono::milliseconds(100);

enum class server_standing : std::uint8_t {
    sound,
    // Still serves and will end soon.
    leaving,
    // Suspected, silent or replaced by another process.
    lost,
};

struct departure {
    server_standing standing = server_standing::sound;
    // When the standing became known.
    base::time_point since;
};

// The servers that are not sound.
using departures = std::map<base::backend_server_id, departure>;

void note_standing(
    departures& known,
    const base::backend_server_id& server,
    server_standing standing,
    base::time_point now);

struct running_stream {
    const fleet::path* parts = nullptr;
    // The caller has got an event.
    bool begun = false;
    // Another attempt may continue it.
    bool replaceable = false;
    std::uint64_t events = 0;
    base::time_point last_progress;
    // No change is tried before this time.
    base::time_point next_trial;
};

enum class move_way : std::uint8_t {
    // The first server continues the stream along another path.
    change_path,
    // Another attempt replaces the present one.
    replace_attempt,
};

struct planned_move {
    // Index of the stream.
    std::size_t stream = 0;
    move_way way = move_way::change_path;
    // The server that it leaves, as an index of its path's parts.
    std::size_t part = 0;
    server_standing standing = server_standing::sound;
};

// The moves of one tick, most urgent first. Of the streams on a leaving server,
// those with the fewest events go first, as they probably have the most left.
std::vector<planned_move> plan_moves(
    const std::vector<running_stream>& streams,
    const departures& known,
    base::duration tick,
    base::time_point now);

// When a change that failed at `failed` may be tried again.
base::time_point retry_time(base::time_point failed, bool view_changed);

// Whether a request that has waited for its first event for `waited` leaves its
// path for one on which a first event takes `other_wait`. The longer a request
// has waited, the longer it will probably still wait.
bool leaves_before_start(base::duration waited, base::duration other_wait);

} // namespace oleanderhinge::gateway
