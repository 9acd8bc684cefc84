// What a control node knows of the backend servers, and the orders that their
// placement needs. Pure; the service carries messages and orders.
//
// Example:
//   report(fleet, record, now);
//   for (auto& batch : take_changes(fleet, now)) send_to_gateways(batch);
//   for (auto& order : plan_orders(fleet, table, leads, now)) give(order);
#pragma once

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/placement.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

// Refreshed records travel in one batch per this time; changes at once.
inline constexpr base::duration refresh_interval = std::chrono::seconds(1);
// A leader waits this long before its first plan: every server reports once in
// 1.2 s, and a plan over half of the fleet would move layers later.
inline constexpr base::duration settle_time = std::chrono::milliseconds(1600);
// Until this long after the first report of a fleet, loads are not limited:
// before the first request they take a tenth of the time.
inline constexpr base::duration cold_start_time = std::chrono::seconds(6);

// Each engine is asked for its state once in this time, a quarter of them at
// each fourth of it. A question costs as much as a health check.
inline constexpr base::duration load_interval = std::chrono::seconds(1);
inline constexpr std::size_t load_rounds = 4;

struct fleet_watch {
    fleet::directory servers;
    // Records to pass on: changed ones at once, all with the next batch.
    std::set<base::backend_server_id> changed;
    std::set<base::backend_server_id> refreshed;
    base::time_point next_refresh;
    // Records that came from servers directly, for the other members.
    std::set<base::backend_server_id> own;
    // Placement of each service with engines, while this node leads.
    std::map<std::string, fleet::placement> placements;
    // Places that were given to the log last.
    std::map<std::string, fleet::places> recorded;
    bool leads = false;
    base::time_point leads_since;
    base::time_point first_report;
    base::time_point next_load_round;
    std::size_t load_round = 0;
};

// A report of a server, from itself or, with `relayed`, from another member.
fleet::report_outcome report(
    fleet_watch& fleet,
    const wire::server_record& record,
    bool relayed,
    base::time_point now);

struct fleet_changes {
    wire::server_batch for_gateways;
    wire::server_batch for_members;
};

// Records to send now.
fleet_changes take_changes(fleet_watch& fleet, base::time_point now);

// Everything, for a new subscriber.
wire::server_batch all_servers(const fleet_watch& fleet, base::time_point now);

// Engines that the leader should ask for their state now.
std::vector<wire::server_record> due_for_load(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    bool leads,
    base::time_point now);

// Services whose places have changed since they were recorded last.
std::vector<control_state::record_places> due_records(fleet_watch& fleet);

// Orders of the leader; none on other nodes. `leads` is true while this node
// holds the leader's lease; `kept` are the places that a predecessor recorded.
std::vector<fleet::place_order> plan_orders(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    const std::map<std::string, fleet::places>& kept,
    bool leads,
    base::time_point now);

} // namespace oleanderhinge::control
