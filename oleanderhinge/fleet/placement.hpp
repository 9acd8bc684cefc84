// Assignment of model layers to backend servers.
//
// A chain is a pipeline of servers that together hold a whole copy of the
// model. Each data centre gets the number of chains with which it serves the
// most requests per second (fleet/division). Several servers hold the first
// part of a chain and replace unavailable servers of later parts. Layers are
// assigned to an address, so a server that restarts empty gets its layers back
// and nothing else moves. They are withdrawn if another machine that cannot
// hold them has the address by then.
//
// Example:
//   placement plan;
//   update(plan, profile, servers, now);
//   for (const auto& order : due_orders(plan, profile, servers, false, now))
//       send(order);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/forwarding.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::fleet
{

// Memory that a data centre needs for copies of its own, as a multiple of the
// model's size; the tenth above it is for requests.
inline constexpr double min_copy_memory_factor = 1.1;
// Share of a server's memory that weights may take when it fills a gap; the
// rest is for the cache of requests.
inline constexpr double max_weight_share = 0.75;
// A server that has been missing for this long is replaced in the plan. Most
// crashed servers are back within 5 s, and a replacement has to load weights.
inline constexpr base::duration replace_after = std::chrono::seconds(7);
// Largest number of servers that hold the first part of a chain.
inline constexpr std::size_t max_first_part_servers = 8;
// Servers that first report within this time after the first division are
// included in it. A first report that finds control without a leader is sent
// again after up to 3 s.
inline constexpr base::duration late_report_window = std::chrono::seconds(4);
// Other servers take over the layers of a server that has been unavailable for
// this long, unless it is suspected or leaves. Loading 5 layers takes 1 s; a
// crashed server is away for 5 s.
inline constexpr base::duration failover_after = std::chrono::milliseconds(400);
// A new server without layers is kept for this long for a server that announces
// its leave, before it joins the first part of a chain. In a rolling release
// the replacement starts first.
inline constexpr base::duration spare_hold = std::chrono::seconds(2);
// Servers with at least this `wire::engine_load::slowness` count as slow.
inline constexpr double slow_threshold = 2;
// Share of a server's memory that weights may take while it also holds layers
// of an unavailable neighbour, or if it joins the first part of a chain.
inline constexpr double max_weight_share_in_failover = 0.87;
// Neighbours rather than redundant servers take over layers if they keep at
// least this share of the memory for requests in a layer that the chain has.
inline constexpr double min_extension_room = 0.4;
// An order whose effect is not reported within this time is sent again. A
// report is up to 1.2 s old, and some orders are carried out 12 s late.
inline constexpr base::duration order_resend_after = std::chrono::seconds(3);
// One that was refused is sent again after this time: the server carries out
// another order.
inline constexpr base::duration refused_resend_after =
    std::chrono::milliseconds(300);

struct placed_server {
    wire::endpoint address;
    base::data_centre_id data_centre;
    std::string kind;
    double memory_mb = 0;
    // Layers that the plan assigns to it.
    base::layer_range layers;
    // Layers that it should hold now: `layers`, or another range while it
    // replaces an unavailable server.
    base::layer_range target;
    // By its last report: layers that it holds, and running requests that
    // started there.
    base::layer_range reported;
    std::uint32_t running = 0;
    // Since when it has not served `layers` at normal speed; unset while it
    // does.
    base::time_point unavailable_since;
    // By its last report it is slow by `slow_threshold`.
    bool slow = false;
    // Other servers hold its layers until it serves them again.
    bool failed_over = false;
    // Its process has announced that it leaves.
    bool leaving = false;
    // Requests that depend on it made no progress, and it has not reported
    // since.
    bool suspected = false;
    // First time at which a ready server was known at the address.
    base::time_point first_seen;
    // Last time at which a ready server was known at the address.
    base::time_point last_seen;
    // When the last order was due, and the layers in it.
    base::time_point ordered_at;
    base::layer_range ordered_layers;
    // Start time of the process that the last order was for.
    std::uint64_t ordered_process_start_ms = 0;
    // The last order is outstanding: its layers are not reported, the process
    // is the same, and `order_resend_after` has not passed.
    bool load_pending = false;
};

struct placement {
    std::map<wire::endpoint, placed_server> servers;
    // When this node first divided the model over the fleet; unset for a plan
    // that it restored or adopted from the servers' reports.
    std::optional<base::time_point> first_divided_at;
    // Since when some layers have been assigned to no server of a group.
    std::optional<base::time_point> unassigned_since;
    // When a server of the plan last announced that it leaves.
    std::optional<base::time_point> last_leave;
};

// The assigned layers of a plan, which are replicated and survive a change of
// leader.
using places = std::vector<wire::server_place>;
places places_of(const placement& plan);
// A plan with these assignments, for a new leader. Each server counts as seen
// just before `now`, and as unavailable for `failover_after` until it reports
// its layers.
placement restore(const places& saved, base::time_point now);

// What happens to requests that run on layers which a server unloads.
enum class handover : std::uint8_t {
    // They are completed before the new layers are loaded.
    finish_running,
    // They are aborted at once.
    abort_running,
};

// Order to a server to hold exactly these layers.
struct layer_assignment {
    base::backend_server_id server;
    wire::endpoint address;
    base::layer_range layers;
    handover running = handover::finish_running;

    bool operator==(const layer_assignment&) const = default;
};

// Notes the addresses whose processes have announced that they leave. Their
// layers are reassigned by the next update, without waiting for
// `failover_after` or `replace_after`.
void note_leaving(
    placement& plan,
    const std::vector<wire::endpoint>& leaving,
    base::time_point now);

// Sets which addresses are suspected. Their servers are failed over by the next
// update: a report that clears the suspicion comes no earlier than
// `failover_after` in most cases, so that waiting would not avoid many moves.
void note_suspected(
    placement& plan, const std::vector<wire::endpoint>& suspected);

// Updates the plan from the ready servers of the service. A plan without
// assignments adopts the layers that the servers report or, if they report
// none, divides the model over each data centre. An existing plan reassigns the
// layers of servers that leave or have been missing for `replace_after`, those
// that the server at the address cannot hold by its kind and the profile, and
// ranges that are assigned to no server. Servers of a kind that the profile
// does not list are ignored.
void update(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    base::time_point now);

// Orders to send now to servers whose reported layers differ from their
// target and which have the memory for it. At most `profile.loads_at_once`
// orders are outstanding at a time, unless `unbounded`. The orders count as
// sent at `now`.
std::vector<layer_assignment> due_orders(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    bool unbounded,
    base::time_point now);

// Notes that the server refused the order.
void note_refused(placement& plan, const layer_assignment& order);

// --- Queries ----------------------------------------------------------------

// Null if the profile has no such kind.
const wire::accelerator_kind*
find_kind(const wire::engine_profile& profile, const std::string& name);

// Number of layers whose weights fit into the memory, at most all layers of the
// model.
std::uint32_t
largest_range(const wire::engine_profile& profile, double memory_mb);

// True if the model has the layers and a server of the kind has the memory for
// their weights. Reports that claim others are not those of a server.
bool can_hold(
    const wire::engine_profile& profile,
    const wire::accelerator_kind& kind,
    const base::layer_range& layers);

} // namespace oleanderhinge::fleet
