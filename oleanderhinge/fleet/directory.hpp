// Backend servers by what they last said of themselves.
//
// Reports come over several ways, late, doubled and out of order. A process is
// identified by its id and start time, its reports are ordered by sequence, and
// an address belongs to the process that started last.
//
// Example:
//   directory known;
//   if (apply(known, record, now) == report_outcome::changed) publish(record);
//   for (const auto& server : usable(known, "chat", now)) ...
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/forwarding.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderhinge::fleet
{

// A server counts as silent when the newest report of any server is this much
// younger than its own: three intervals of 1.2 s and the margin for delays. As
// the comparison is with other servers, an outage of control silences nobody.
inline constexpr base::duration silence_limit = std::chrono::milliseconds(4200);
// Processes that ended are remembered this long, since their reports may
// arrive late. Partitions of the platform last seconds.
inline constexpr base::duration tombstone_time = std::chrono::seconds(120);

// A report counts against a suspicion if it arrived at least this much later:
// it may have been under way when the server died.
inline constexpr base::duration suspicion_margin =
    std::chrono::milliseconds(300);

struct known_server {
    wire::server_record record;
    base::time_point heard;
    // When work that depends on the server was seen to stand still.
    base::time_point suspected;
};

struct directory {
    std::map<base::backend_server_id, known_server> servers;
    base::time_point newest;
};

enum class report_outcome : std::uint8_t {
    // Older than what is known; nothing changed.
    stale,
    // Only the time of the last report changed.
    refreshed,
    // The server is new, or its state, address or layers changed.
    changed,
};

// Takes a report that arrived at `heard`. A `gone` record without a sequence
// ends the process that is known under its id.
report_outcome apply(
    directory& known,
    const wire::server_record& record,
    base::time_point heard);

// Work that depends on the server at the address stands still: it is not used
// until it reports again. True if that was not known.
bool suspect(
    directory& known, const wire::endpoint& address, base::time_point now);

// Takes the state of an engine that was asked for. Ignored for unknown ids.
// True if its layers changed.
bool note_load(
    directory& known,
    const base::backend_server_id& id,
    const wire::engine_load& load);

// Forgets processes that ended or fell silent long ago.
void expire(directory& known, base::time_point now);

// --- Queries ----------------------------------------------------------------

// True while the process reports, is not suspected and no later one has its
// address.
bool is_alive(const directory& known, const known_server& server);

// Servers of the service that take requests: alive and ready.
std::vector<wire::server_record>
usable(const directory& known, std::string_view service);

// Copy of a record with its age at `now`.
wire::server_record aged(const known_server& server, base::time_point now);

} // namespace oleanderhinge::fleet
