// The backend servers that a control node knows, and the orders that put their
// layer placement into effect. Performs no I/O; the service sends the messages
// and orders.
//
// Example:
//   report(fleet, record, now);
//   send(take_changes(fleet, now));
//   for (auto& order : plan_orders(fleet, table, leads, now)) give(order);
#pragma once

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/numbering.hpp"
#include "oleanderhinge/fleet/placement.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

// Changed records are sent at once. Which servers have reported again without a
// change is sent once per interval.
inline constexpr base::duration refresh_interval =
    std::chrono::milliseconds(250);
// A new leader waits this long before it plans a fleet that nobody has planned
// yet, or replaces servers of a recorded plan because it has not heard of them.
// Every server reports within 1.2 s, and a placement on a part of the fleet
// would move layers later.
inline constexpr base::duration settle_time = std::chrono::milliseconds(1600);
// For this long after the first report, the number of layer loads at once is
// not limited: before the first request, loads take a tenth of the time.
inline constexpr base::duration cold_start_time = std::chrono::seconds(6);

// Each engine is asked for its load once per interval, a fraction of the
// engines in each of `load_rounds` rounds. A request costs as much as a health
// check. The members of the group share the engines, so that none of them has
// connections to thousands.
inline constexpr base::duration load_interval = std::chrono::seconds(1);
inline constexpr std::size_t load_rounds = 4;

// Largest size of the records in one message. Other messages, such as
// heartbeats, are sent between two of them.
inline constexpr std::size_t max_batch_bytes = std::size_t(256) << 10;

struct fleet_watch {
    fleet::directory servers;
    // Servers whose records are to be sent at once. Those in `changed_here`
    // reported to this node directly and are sent to the other members, too.
    std::set<base::backend_server_id> changed;
    std::set<base::backend_server_id> changed_here;
    // Servers that have reported again, to this node or through another member.
    struct refreshed_servers {
        std::set<base::backend_server_id> ids;
        // The first of the reports.
        base::time_point oldest;
    };
    refreshed_servers refreshed_here;
    refreshed_servers refreshed_elsewhere;
    base::time_point next_refresh;
    fleet::numbering numbers;
    // Loads that this node has received and not sent yet.
    std::map<base::backend_server_id, wire::engine_load> new_loads;
    // Placement of each service with engines; empty unless this node leads.
    std::map<std::string, fleet::placement> placements;
    // Placement of each service that was last proposed to the log.
    std::map<std::string, fleet::places> recorded;
    bool leads = false;
    base::time_point leads_since;
    base::time_point first_report;
    base::time_point next_load_round;
    std::size_t load_round = 0;
};

// Applies a report that came from the server itself or, if `relayed`, through
// another member. Stale reports change nothing.
fleet::report_outcome report(
    fleet_watch& fleet,
    const wire::server_record& record,
    bool relayed,
    base::time_point now);

// Marks a process as gone whose end the log holds. The change is sent to
// gateways only, as the other members have the log themselves.
void note_ended(
    fleet_watch& fleet,
    const control_state::ended_server& ended,
    base::time_point now);

// Notes that servers have reported again to another member without a change.
void note_refreshed(
    fleet_watch& fleet,
    const fleet::peer_numbering& sender,
    const wire::server_refresh& refresh,
    base::time_point now);

// What to send to gateways and to the other members of the control group.
struct fleet_changes {
    wire::server_batch for_gateways;
    wire::server_batch for_members;
    // To both, before the refreshes; empty if there are no new ones.
    wire::server_numbers numbers;
    // To both: servers that reported to this node.
    std::optional<wire::server_refresh> refreshed_here;
    // To gateways: servers that reported through another member.
    std::optional<wire::server_refresh> refreshed_elsewhere;
};

// Returns what is to be sent now and marks it as sent. Also removes expired
// servers, once per `refresh_interval`.
fleet_changes take_changes(fleet_watch& fleet, base::time_point now);

// Returns the records of all servers, for a new subscriber.
wire::server_batch all_servers(const fleet_watch& fleet, base::time_point now);

// Divides the records over batches that each fit into one message, at least
// one. A record that does not fit into one by itself is left out.
std::vector<wire::server_batch> split(const wire::server_batch& all);

// The engines that this node asks for their load.
struct load_duty {
    // Those of its data centre, divided among the members there.
    base::data_centre_id home;
    std::size_t position = 0;
    std::size_t members = 1;
    // A leader also asks those of data centres without a member.
    bool leads = false;
    std::set<base::data_centre_id> with_member;
    // False without a quorum: others ask.
    bool active = false;
};

// Returns the engines to ask for their load now.
std::vector<wire::server_record> due_for_load(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    const load_duty& duty,
    base::time_point now);

// Notes loads that another member has received.
void note_loads(
    fleet_watch& fleet,
    const fleet::peer_numbering& sender,
    const wire::server_loads& loads);

// The loads noted by this node since the last call, for gateways and members.
struct load_changes {
    // To be sent before the loads; empty if there are no new ones.
    wire::server_numbers numbers;
    wire::server_loads loads;
};

load_changes take_loads(fleet_watch& fleet);

// Returns the placements that have changed since they were last proposed, and
// marks them as proposed.
std::vector<control_state::record_places> due_records(fleet_watch& fleet);

// Updates the placements and returns the orders that are due; none unless
// `leads`. `leads` is true while this node is leader with a quorum. A new
// leader starts from `kept`, the placements that the previous leader recorded.
// Before `settle_time` has passed, it only replaces servers that are known to
// be lost, and plans no service without a recorded placement.
std::vector<fleet::layer_assignment> plan_orders(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    const std::map<std::string, fleet::places>& kept,
    bool leads,
    base::time_point now);

} // namespace oleanderhinge::control
