// Which backend server should hold which layers of a model.
//
// Each data centre gets the number of whole copies (chains) with which it
// serves the most requests a second (fleet/division). A chain has several first
// servers, which stand in for lost servers behind them. A place in the plan
// belongs to an address, so a server that restarts empty gets its layers back,
// and nothing else moves.
//
// Example:
//   placement plan;
//   update(plan, profile, servers, now);
//   for (const auto& order : due_orders(plan, profile, servers, now))
//   send(order);
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

// A data centre with less memory than this multiple of the model's size holds
// no copy of its own; a tenth stays free for requests.
inline constexpr double least_memory = 1.1;
// Share of a server's memory that weights may take when it fills a gap; the
// rest holds requests.
inline constexpr double fullest_by_weights = 0.75;
// A server that is missing this long is replaced in the plan. Crashed servers
// are mostly back within 5 s, and a replacement costs a load of weights.
inline constexpr base::duration replace_after = std::chrono::seconds(7);
// Most servers that hold the first layers of a chain.
inline constexpr std::size_t most_first_servers = 8;
// Servers that report this long after the first division are included in it: a
// first report that finds control without a leader is sent again after up to
// three seconds.
inline constexpr base::duration late_reports = std::chrono::seconds(4);
// Neighbours take over the layers of a server that has been out of use this
// long. A load of 5 layers takes a second; a crashed server is away for 5 s.
inline constexpr base::duration cover_after = std::chrono::milliseconds(400);
// A server counts as slow from this factor on its times.
inline constexpr double slow_from = 2;
// Share of a server's memory that weights may take while it covers for others.
inline constexpr double fullest_while_covering = 0.87;
// An order that shows no effect in the server's reports is sent again: a
// report is up to 1.2 s old, and some orders are carried out 12 s late.
inline constexpr base::duration order_repeat = std::chrono::seconds(3);

struct placed_server {
    wire::endpoint address;
    base::data_centre_id data_centre;
    std::string kind;
    double memory_mb = 0;
    // Its place in the plan.
    base::layer_range layers;
    // What it should hold now: its place, and what it covers for neighbours.
    base::layer_range wanted;
    // What it holds by its last report, and how many requests began there.
    base::layer_range held;
    std::uint32_t running = 0;
    // Since when it has not held its place in use; unset while it does.
    base::time_point out_since;
    // At its last report it was `slow_from` times slower than usual.
    bool slow = false;
    // Neighbours cover for it until it holds its place again.
    bool covered = false;
    // Last time at which a ready server was known at the address.
    base::time_point seen;
    // When the last order went out, and what it said.
    base::time_point ordered;
    base::layer_range ordered_layers;
    // Process that got the last order.
    std::uint64_t ordered_start_ms = 0;
    // The last order is not carried out yet.
    bool loading = false;
};

struct placement {
    std::map<wire::endpoint, placed_server> servers;
    // When this node divided the fleet for the first time; unset for a plan
    // that it took over.
    std::optional<base::time_point> divided;
};

// The places of a plan, which outlive the leader that made it.
using places = std::vector<wire::server_place>;
places places_of(const placement& plan);
placement restore(const places& kept, base::time_point now);

// What becomes of requests that run on layers which a server gives up.
enum class handover : std::uint8_t {
    // They end first; new layers wait for them.
    finish_running,
    // They are cut at once.
    cut_running,
};

// One order to a server: hold exactly these layers.
struct place_order {
    base::backend_server_id server;
    wire::endpoint address;
    base::layer_range layers;
    handover running = handover::finish_running;

    bool operator==(const place_order&) const = default;
};

// Brings the plan up to date with the ready servers of the service. The first
// call takes over what the servers hold or, if they are empty, divides the
// model over each data centre; later calls fill places whose server has been
// missing for `replace_after`, and ranges that nobody holds.
void update(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    base::time_point now);

// Orders to send now: servers that do not report their layers, at most
// `profile.loads_at_once` loads at a time, all of them with `unbounded`.
std::vector<place_order> due_orders(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    bool unbounded,
    base::time_point now);

// --- Queries ----------------------------------------------------------------

// Null if the profile has no such kind.
const wire::accelerator_kind*
find_kind(const wire::engine_profile& profile, const std::string& name);

// Layers that fit into the memory of a server.
std::uint32_t
largest_range(const wire::engine_profile& profile, double memory_mb);

} // namespace oleanderhinge::fleet
