// The ends of backend servers' registrations, on their way into the log and
// from there into the directory of each member.
//
// What servers report is kept in memory only, while a report from before the
// end may arrive after all processes of control have restarted. An end is
// therefore acknowledged only once the log holds it.
//
// Example:
//   note_end(ends, id, started_ms);
//   for (const auto& command : due_ends(ends, leads, now_ms)) propose(command);
//   for (const auto& ended : take_logged(ends, state.ended_servers)) ...
#pragma once

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/directory.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace oleanderhinge::control
{

struct server_ends {
    struct unlogged_end {
        // Start of the process in Unix milliseconds.
        std::uint64_t started_ms = 0;
        // By this member, as leader.
        bool proposed = false;
    };
    // Ends that were reported to this member and that its log does not hold.
    std::map<base::backend_server_id, unlogged_end> unlogged;
    // The newest end that `take_logged` has returned.
    base::log_index taken;
};

// Notes an end that a server or another member has reported.
void note_end(
    server_ends& ends,
    const base::backend_server_id& id,
    std::uint64_t started_ms);

// Returns the ends to propose now and marks them as proposed; none unless
// `leads`.
std::vector<control_state::record_ended_server>
due_ends(server_ends& ends, bool leads, std::uint64_t now_ms);

// Drops the ends of servers that the directory has forgotten, and of those
// whose next process has reported.
void drop_obsolete(server_ends& ends, const fleet::directory& known);

// The proposal has failed; the end is due again.
void note_failed_proposal(server_ends& ends, const base::backend_server_id& id);

// Returns the ends that are new in the log, and drops those that it holds from
// `unlogged`.
std::vector<control_state::ended_server> take_logged(
    server_ends& ends, const std::deque<control_state::ended_server>& logged);

// --- Queries ----------------------------------------------------------------

// Whether the log holds the end of this process or of a later one under the id.
bool holds_end(
    const std::deque<control_state::ended_server>& logged,
    const base::backend_server_id& id,
    std::uint64_t started_ms);

} // namespace oleanderhinge::control
