#include "oleanderhinge/fleet/placement.hpp"

#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/internal/chains.hpp"
#include "oleanderhinge/fleet/internal/failover.hpp"
#include "oleanderhinge/fleet/internal/handover.hpp"

#include <algorithm>

namespace oleanderhinge::fleet
{

using internal::is_missing;
using internal::server_group;

namespace
{

// Withdraws the layers that are assigned to a server.
void withdraw_layers(placed_server& server)
{
    server.layers = {};
    server.unavailable_since = {};
    server.failed_over = false;
}

// Records which server is at each address. After a restart that may be another
// machine: it keeps the assigned layers only if it belongs to the same data
// centre and has memory for them and for requests.
void update_servers(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    for (const auto& record : ready) {
        const auto* kind = find_kind(profile, record.kind);
        if (kind == nullptr)
            continue;
        const auto [found, is_new] =
            plan.servers.try_emplace(address_of(record));
        auto& server = found->second;
        if (is_new)
            server.first_seen = now;
        const auto needed =
            server.layers.end.value() - server.layers.first.value();
        const auto max_layers = largest_range(
            profile, kind->memory_mb * max_weight_share_in_failover);
        if (server.data_centre != record.data_centre ||
            (server.kind != record.kind && needed > max_layers))
            withdraw_layers(server);
        server.address = address_of(record);
        server.data_centre = record.data_centre;
        server.kind = record.kind;
        server.last_seen = now;
        server.reported = record.layers;
        server.leaving = false;
    }
}

// Withdraws the layers that a server cannot hold by the present profile, which
// may be another one than at the time of their assignment.
void apply_profile(placement& plan, const wire::engine_profile& profile)
{
    for (auto& [address, server] : plan.servers) {
        const auto* kind = find_kind(profile, server.kind);
        server.memory_mb = kind == nullptr ? 0 : kind->memory_mb;
        if (kind == nullptr || !can_hold(profile, *kind, server.layers))
            withdraw_layers(server);
    }
}

// Adopts the layers that servers report as the plan, for a new leader without a
// recorded one. False if none reports any that it can hold.
bool adopt_reported_layers(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready)
{
    bool any = false;
    for (const auto& record : ready) {
        const auto* kind = find_kind(profile, record.kind);
        if (kind == nullptr || record.layers == base::layer_range{} ||
            !can_hold(profile, *kind, record.layers))
            continue;
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        found->second.layers = record.layers;
        any = true;
    }
    return any;
}

// Adds a server without layers to the first part of a chain, the one with the
// fewest servers, if it has memory for requests beside the weights.
void join_first_part(
    placed_server& spare,
    const server_group& members,
    const wire::engine_profile& profile)
{
    const auto max_layers =
        largest_range(profile, spare.memory_mb * max_weight_share_in_failover);
    std::map<base::layer_range, std::size_t> holders;
    for (const auto* server : members)
        if (server->layers.end.value() > 0 &&
            server->layers.first.value() == 0 &&
            server->layers.end.value() <= max_layers)
            ++holders[server->layers];
    const auto fewest = std::min_element(
        holders.begin(),
        holders.end(),
        [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    if (fewest != holders.end() && fewest->second < max_first_part_servers)
        spare.layers = fewest->first;
}

// Assigns ranges that no server of the group has to servers without layers. If
// no range is left, these join the first part of a chain.
void fill_unassigned_ranges(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    std::vector<bool> has_holder(profile.layer_count);
    server_group spares;
    for (auto* server : members) {
        if (server->layers == base::layer_range{} && !server->leaving &&
            !is_missing(*server, now))
            spares.push_back(server);
        const auto end =
            std::min(server->layers.end.value(), profile.layer_count);
        for (auto i = server->layers.first.value(); i < end; ++i)
            has_holder[i] = true;
    }
    for (auto* spare : spares) {
        const auto first = std::uint32_t(
            std::find(has_holder.begin(), has_holder.end(), false) -
            has_holder.begin());
        if (first == profile.layer_count) {
            if (!internal::is_held(*spare, now))
                join_first_part(*spare, members, profile);
            continue;
        }
        const auto max_layers =
            largest_range(profile, spare->memory_mb * max_weight_share);
        auto end = first;
        while (end < profile.layer_count && !has_holder[end] &&
               end - first < max_layers)
            has_holder[end++] = true;
        spare->layers = {base::layer_index{first}, base::layer_index{end}};
    }
}

// Assigns ranges that no server has to servers without layers and, if they stay
// unassigned, to redundant servers: no holder would come back for them.
void fill_unassigned_ranges(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    const auto groups = internal::replica_groups(plan, profile);
    bool all_assigned = true;
    for (const auto& members : groups) {
        fill_unassigned_ranges(members, profile, now);
        all_assigned =
            all_assigned && !internal::has_unassigned_range(members, profile);
    }
    if (all_assigned) {
        plan.unassigned_since.reset();
        return;
    }
    if (!plan.unassigned_since)
        plan.unassigned_since = now;
    if (now < *plan.unassigned_since + failover_after)
        return;
    for (const auto& members : groups)
        internal::assign_gaps_to_redundant(members, profile, now);
}

bool has_spare(const server_group& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto* server) {
        return server->layers == base::layer_range{};
    });
}

// Divides the model over each group with an unassigned server. Runs again
// during `late_report_window`, while the fleet is still loading, to include
// servers that report later.
void divide_initially(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : internal::replica_groups(plan, profile))
        if (has_spare(members))
            internal::assign_chains(profile, members);
    if (!plan.first_divided_at)
        plan.first_divided_at = now;
}

// Divides the model again over the present servers of a group that has lost
// layers which its redundant servers cannot take.
void divide_incomplete_groups(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : internal::replica_groups(plan, profile)) {
        server_group present;
        for (auto* server : members)
            if (!is_missing(*server, now) && !server->leaving)
                present.push_back(server);
        if (present.empty() ||
            !internal::needs_new_division(
                members, profile, internal::release_under_way(plan, now), now))
            continue;
        for (auto* server : members)
            server->layers = {};
        internal::assign_chains(profile, present);
    }
}

// Whether the last order may still occupy the weight store. Its effect is
// reported up to 1.2 s after the load; waiting for the report would leave the
// store idle for most of that time. Without a load time in the profile, the
// order counts until it is reported.
bool may_be_loading(
    const placed_server& server,
    const wire::engine_profile& profile,
    base::time_point now)
{
    constexpr double margin = 1.5;
    if (!server.load_pending || profile.load_seconds <= 0)
        return server.load_pending;
    const double layers =
        server.ordered_layers.end.value() - server.ordered_layers.first.value();
    const std::chrono::duration<double> expected(
        margin * profile.load_seconds * layers / profile.layer_count);
    return now < server.ordered_at +
                     std::chrono::duration_cast<base::duration>(expected);
}

bool has_plan(const placement& plan)
{
    return std::any_of(
        plan.servers.begin(), plan.servers.end(), [](const auto& item) {
            return item.second.layers != base::layer_range{};
        });
}

} // namespace

places places_of(const placement& plan)
{
    places saved;
    for (const auto& [address, server] : plan.servers)
        if (server.layers != base::layer_range{})
            saved.push_back(
                {address.address,
                 address.port,
                 server.data_centre,
                 server.kind,
                 server.memory_mb,
                 server.layers});
    return saved;
}

placement restore(const places& saved, base::time_point now)
{
    placement plan;
    for (const auto& item : saved) {
        placed_server server;
        server.address = {item.address, item.port};
        server.data_centre = item.data_centre;
        server.kind = item.kind;
        server.memory_mb = item.memory_mb;
        server.layers = item.layers;
        // Not missing until `replace_after` has passed without a report.
        server.last_seen = now - base::duration(1);
        // Unavailable until it reports its layers, so that servers that
        // already replace it stay where they are. The previous leader may have
        // been lost before the server, so this is not waited for again.
        server.unavailable_since = now - failover_after;
        plan.servers.emplace(server.address, server);
    }
    return plan;
}

const wire::accelerator_kind*
find_kind(const wire::engine_profile& profile, const std::string& name)
{
    const auto found = std::find_if(
        profile.kinds.begin(), profile.kinds.end(), [&](const auto& kind) {
            return kind.name == name;
        });
    return found == profile.kinds.end() ? nullptr : &*found;
}

std::uint32_t
largest_range(const wire::engine_profile& profile, double memory_mb)
{
    if (profile.layer_mb <= 0)
        return profile.layer_count;
    return std::uint32_t(std::clamp(
        memory_mb / profile.layer_mb, 0.0, double(profile.layer_count)));
}

bool can_hold(
    const wire::engine_profile& profile,
    const wire::accelerator_kind& kind,
    const base::layer_range& layers)
{
    return layers.end.value() <= profile.layer_count &&
           layers.end.value() - layers.first.value() <=
               largest_range(profile, kind.memory_mb);
}

void note_leaving(
    placement& plan,
    const std::vector<wire::endpoint>& leaving,
    base::time_point now)
{
    for (const auto& address : leaving) {
        const auto found = plan.servers.find(address);
        if (found == plan.servers.end() || found->second.leaving)
            continue;
        found->second.leaving = true;
        plan.last_leave = now;
    }
}

void note_suspected(
    placement& plan, const std::vector<wire::endpoint>& suspected)
{
    for (auto& [address, server] : plan.servers)
        server.suspected =
            std::find(suspected.begin(), suspected.end(), address) !=
            suspected.end();
}

void note_refused(placement& plan, const layer_assignment& order)
{
    const auto found = plan.servers.find(order.address);
    if (found != plan.servers.end() &&
        found->second.ordered_layers == order.layers)
        found->second.ordered_at -= order_resend_after - refused_resend_after;
}

void update(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    update_servers(plan, profile, ready, now);
    apply_profile(plan, profile);
    const bool first =
        !has_plan(plan) && !adopt_reported_layers(plan, profile, ready);
    if (first || (plan.first_divided_at &&
                  now < *plan.first_divided_at + late_report_window))
        divide_initially(plan, profile, now);
    for (const auto& members : internal::replica_groups(plan, profile))
        internal::replace_servers(members, profile, now);
    divide_incomplete_groups(plan, profile, now);
    fill_unassigned_ranges(plan, profile, now);
    internal::observe_servers(plan, ready, now);
    internal::update_targets(plan, profile, now);
    std::erase_if(plan.servers, [&](const auto& item) {
        return item.second.layers == base::layer_range{} &&
               is_missing(item.second, now);
    });
}

std::vector<layer_assignment> due_orders(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    bool unbounded,
    base::time_point now)
{
    std::vector<layer_assignment> orders;
    std::size_t loading = 0;
    for (const auto& record : ready) {
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        auto& server = found->second;
        // A restarted process has lost the order.
        server.load_pending =
            server.load_pending && record.layers != server.ordered_layers &&
            server.ordered_process_start_ms == record.started_ms &&
            now < server.ordered_at + order_resend_after;
        loading += may_be_loading(server, profile, now) ? 1 : 0;
    }
    for (const auto& record : ready) {
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        auto& server = found->second;
        const auto* kind = find_kind(profile, record.kind);
        if (server.target == base::layer_range{} ||
            record.layers == server.target || kind == nullptr ||
            !can_hold(profile, *kind, server.target))
            continue;
        const bool outstanding =
            server.load_pending && server.ordered_layers == server.target;
        if (outstanding || (!unbounded && loading >= profile.loads_at_once))
            continue;
        server.ordered_at = now;
        server.ordered_layers = server.target;
        server.ordered_process_start_ms = record.started_ms;
        server.load_pending = true;
        ++loading;
        // The chain cannot serve until a failover is complete, and requests
        // that run on it go through the lost server, so they are aborted if
        // layers are given up.
        const bool is_failover =
            server.target != server.layers && record.layers == server.layers &&
            !internal::contains(server.target, record.layers);
        orders.push_back(
            {record.id,
             server.address,
             server.target,
             is_failover ? handover::abort_running : handover::finish_running});
    }
    return orders;
}

} // namespace oleanderhinge::fleet
