// Directory of backend servers, built from their reports.
//
// Reports arrive over several routes and may be late, duplicated or out of
// order. A process is identified by its id and start time, its reports are
// ordered by sequence number, and an address belongs to the process that
// started last.
//
// Example:
//   directory known;
//   if (apply(known, record, now) == report_outcome::changed) publish(record);
//   for (const auto& server : usable(known, "chat")) send_to(server);
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

// A server counts as silent if its last report arrived more than this long
// before the newest report of any server: three report intervals of 1.2 s and a
// margin for delays. As the comparison is with other servers, an outage of
// control silences none.
inline constexpr base::duration silence_limit = std::chrono::milliseconds(4200);
// Ended and silent processes are remembered for this long after their last
// report, since older reports may arrive late. Network partitions last seconds.
inline constexpr base::duration tombstone_time = std::chrono::seconds(120);

// A report clears a suspicion if it arrived at least this long after it; an
// earlier one may have been in flight when the server failed.
inline constexpr base::duration suspicion_margin =
    std::chrono::milliseconds(300);

// An engine gives a state from some hundred milliseconds before; its reports
// carry a change of layers at once. The layers of its state do not count for
// this long after such a report.
inline constexpr base::duration reported_layers_hold = std::chrono::seconds(1);

struct known_server {
    wire::server_record record;
    // Arrival of the last report.
    base::time_point heard;
    // When requests that depend on the server were last seen to make no
    // progress; unset if never.
    base::time_point suspected;
    // Arrival of the last report that changed the layers; unset if none did.
    base::time_point layers_reported;
};

struct directory {
    std::map<base::backend_server_id, known_server> servers;
    // Start time of the process that started last at each address.
    std::map<wire::endpoint, std::uint64_t> last_started;
    // Arrival of the newest report of any server. A notice that one has gone
    // does not count: a member of control repeats it after a restart, before
    // the servers have reported again.
    base::time_point newest;
};

enum class report_outcome : std::uint8_t {
    // The report is older than the record, or its process has gone; nothing
    // changed.
    stale,
    // The record was updated, but none of the fields under `changed` differs.
    refreshed,
    // The server is new, has restarted, or its state, address, service, layers
    // or slots changed.
    changed,
};

// Applies a report that arrived at `heard`. A `gone` record ends the process
// that is known under its id, unless that process started later; it needs no
// start time or sequence number.
report_outcome apply(
    directory& known,
    const wire::server_record& record,
    base::time_point heard);

// Notes that the process has reported again at `heard`, without a change. False
// if there is no such server or it has gone.
bool refresh(
    directory& known,
    const base::backend_server_id& id,
    base::time_point heard);

// Marks the server at the address as suspected of having failed, since requests
// that depend on it make no progress. It is not alive until it reports again,
// at least `suspicion_margin` later. False if no server there was alive.
bool suspect(
    directory& known, const wire::endpoint& address, base::time_point now);

// Stores the load and the layers that an engine gave when it was polled.
// Ignored for unknown ids. The layers are ignored for `reported_layers_hold`
// after a report that changed them. True if the layers changed.
bool note_load(
    directory& known,
    const base::backend_server_id& id,
    const wire::engine_load& load);

// Removes servers without a report for `tombstone_time`.
void expire(directory& known, base::time_point now);

// --- Queries ----------------------------------------------------------------

wire::endpoint address_of(const wire::server_record& record);

// True if the process has not ended, is neither silent nor suspected, and no
// process that started later has its address.
bool is_alive(const directory& known, const known_server& server);

// Servers of the service that accept requests: alive and ready.
std::vector<wire::server_record>
usable(const directory& known, std::string_view service);

// Addresses whose last process has announced that it leaves, or has left.
std::vector<wire::endpoint>
leaving(const directory& known, std::string_view service);

// Addresses whose last process is ready by its reports, but suspected.
std::vector<wire::endpoint>
suspected(const directory& known, std::string_view service);

// Addresses at which something speaks against the last process: it is
// suspected, leaves or has left. Silence alone does not count: another member
// of control may have heard of the server.
std::vector<wire::endpoint>
known_lost(const directory& known, std::string_view service);

// Calls `visit(const wire::server_record&)` for each of them, without copies.
template <class Visitor>
void visit_usable(
    const directory& known, std::string_view service, Visitor&& visit)
{
    for (const auto& [id, server] : known.servers)
        if (server.record.service == service &&
            server.record.state == wire::reported_state::ready &&
            is_alive(known, server))
            visit(server.record);
}

// Copy of a server's record with its age at `now`, in milliseconds since the
// last report.
wire::server_record with_age(const known_server& server, base::time_point now);

} // namespace oleanderhinge::fleet
