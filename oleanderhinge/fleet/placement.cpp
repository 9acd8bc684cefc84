#include "oleanderhinge/fleet/placement.hpp"

#include "oleanderhinge/fleet/internal/chains.hpp"
#include "oleanderhinge/fleet/internal/cover.hpp"

#include <algorithm>

namespace oleanderhinge::fleet
{

using internal::group;
using internal::is_missing;

namespace
{

wire::endpoint address_of(const wire::server_record& server)
{
    return {server.address, server.port};
}

// A server without layers that can hold the range, in the same data centre if
// possible.
placed_server* find_spare(
    placement& plan,
    const wire::engine_profile& profile,
    const placed_server& lost,
    base::time_point now)
{
    const auto needed = lost.layers.end.value() - lost.layers.first.value();
    placed_server* best = nullptr;
    for (auto& [address, server] : plan.servers) {
        if (server.layers != base::layer_range{} || is_missing(server, now) ||
            largest_range(profile, server.memory_mb) < needed)
            continue;
        const bool near = server.data_centre == lost.data_centre;
        const bool best_near =
            best != nullptr && best->data_centre == lost.data_centre;
        if (best == nullptr || (near && !best_near) ||
            (near == best_near && server.memory_mb > best->memory_mb))
            best = &server;
    }
    return best;
}

// Gives the layers of missing servers to spare ones.
void fill_places(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (auto& [address, server] : plan.servers) {
        if (server.layers == base::layer_range{} || !is_missing(server, now))
            continue;
        auto* spare = find_spare(plan, profile, server, now);
        if (spare == nullptr)
            continue;
        spare->layers = server.layers;
        server.layers = {};
    }
}

// Takes over what the servers hold, for a successor that did not make the plan.
bool adopt(placement& plan, const std::vector<wire::server_record>& ready)
{
    bool any = false;
    for (const auto& record : ready) {
        if (record.layers == base::layer_range{})
            continue;
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        found->second.layers = record.layers;
        any = true;
    }
    return any;
}

// Gives a server without layers the place of the first servers of a chain, if
// it has room for requests beside them.
void join_first_servers(
    placed_server& spare,
    const group& members,
    const wire::engine_profile& profile)
{
    const auto most =
        largest_range(profile, spare.memory_mb * fullest_while_covering);
    std::map<base::layer_range, std::size_t> holders;
    for (const auto* server : members)
        if (server->layers.end.value() > 0 &&
            server->layers.first.value() == 0 &&
            server->layers.end.value() <= most)
            ++holders[server->layers];
    const auto fewest = std::min_element(
        holders.begin(),
        holders.end(),
        [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    if (fewest != holders.end() && fewest->second < most_first_servers)
        spare.layers = fewest->first;
}

// Gives ranges that no server of the group holds to servers without layers, and
// lets the others join the first servers.
void fill_holes(
    const group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    std::vector<bool> held(profile.layer_count);
    group spares;
    for (auto* server : members) {
        if (server->layers == base::layer_range{} && !is_missing(*server, now))
            spares.push_back(server);
        const auto end =
            std::min(server->layers.end.value(), profile.layer_count);
        for (auto i = server->layers.first.value(); i < end; ++i)
            held[i] = true;
    }
    for (auto* spare : spares) {
        const auto first = std::uint32_t(
            std::find(held.begin(), held.end(), false) - held.begin());
        if (first == profile.layer_count) {
            join_first_servers(*spare, members, profile);
            continue;
        }
        const auto most =
            largest_range(profile, spare->memory_mb * fullest_by_weights);
        auto end = first;
        while (end < profile.layer_count && !held[end] && end - first < most)
            held[end++] = true;
        spare->layers = {base::layer_index{first}, base::layer_index{end}};
    }
}

bool has_spare(const group& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto* server) {
        return server->layers == base::layer_range{};
    });
}

// The first division of a fleet. Servers that report a little later are
// included while the fleet still loads.
void divide_first(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : internal::copy_groups(plan, profile))
        if (has_spare(members))
            internal::assign_group(profile, members);
    if (!plan.divided)
        plan.divided = now;
}

// Divides a group anew if layers are left without a place for good.
void divide_again(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : internal::copy_groups(plan, profile)) {
        group present;
        for (auto* server : members)
            if (!is_missing(*server, now))
                present.push_back(server);
        if (present.empty() ||
            !internal::needs_new_division(members, profile, now))
            continue;
        for (auto* server : members)
            server->layers = {};
        internal::assign_group(profile, present);
    }
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
    places kept;
    for (const auto& [address, server] : plan.servers)
        if (server.layers != base::layer_range{})
            kept.push_back(
                {address.address,
                 address.port,
                 server.data_centre,
                 server.kind,
                 server.memory_mb,
                 server.layers});
    return kept;
}

placement restore(const places& kept, base::time_point now)
{
    placement plan;
    for (const auto& item : kept) {
        placed_server server;
        server.address = {item.address, item.port};
        server.data_centre = item.data_centre;
        server.kind = item.kind;
        server.memory_mb = item.memory_mb;
        server.layers = item.layers;
        // It gets the usual time to be heard of.
        server.seen = now;
        // What was covered stays covered; it counts from before the takeover.
        server.out_since = now;
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
    return std::min(
        profile.layer_count, std::uint32_t(memory_mb / profile.layer_mb));
}

void update(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    for (const auto& record : ready) {
        const auto* kind = find_kind(profile, record.kind);
        if (kind == nullptr)
            continue;
        auto& server = plan.servers[address_of(record)];
        server.address = address_of(record);
        server.data_centre = record.data_centre;
        server.kind = record.kind;
        server.memory_mb = kind->memory_mb;
        server.seen = now;
    }
    const bool first = !has_plan(plan) && !adopt(plan, ready);
    if (first || (plan.divided && now < *plan.divided + late_reports))
        divide_first(plan, profile, now);
    fill_places(plan, profile, now);
    divide_again(plan, profile, now);
    for (const auto& members : internal::copy_groups(plan, profile))
        fill_holes(members, profile, now);
    internal::observe_places(plan, ready, now);
    internal::cover_gaps(plan, profile, now);
    std::erase_if(plan.servers, [&](const auto& item) {
        return item.second.layers == base::layer_range{} &&
               is_missing(item.second, now);
    });
}

std::vector<place_order> due_orders(
    placement& plan,
    const wire::engine_profile& profile,
    const std::vector<wire::server_record>& ready,
    bool unbounded,
    base::time_point now)
{
    std::vector<place_order> orders;
    std::size_t loading = 0;
    for (const auto& record : ready) {
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        auto& server = found->second;
        server.loading = server.loading &&
                         record.layers != server.ordered_layers &&
                         server.ordered_start_ms == record.started_ms &&
                         now < server.ordered + order_repeat;
        loading += server.loading ? 1 : 0;
    }
    for (const auto& record : ready) {
        const auto found = plan.servers.find(address_of(record));
        if (found == plan.servers.end())
            continue;
        auto& server = found->second;
        if (server.wanted == base::layer_range{} ||
            record.layers == server.wanted)
            continue;
        // A restarted server lost its orders with its layers.
        const bool outstanding =
            server.loading && server.ordered_layers == server.wanted;
        if (outstanding || (!unbounded && loading >= profile.loads_at_once))
            continue;
        server.ordered = now;
        server.ordered_layers = server.wanted;
        server.ordered_start_ms = record.started_ms;
        server.loading = true;
        ++loading;
        // A chain waits for a stand-in, and what runs there passes the server
        // that is lost.
        const bool stands_in =
            server.wanted != server.layers && record.layers == server.layers;
        orders.push_back(
            {record.id,
             server.address,
             server.wanted,
             stands_in ? handover::cut_running : handover::finish_running});
    }
    return orders;
}

} // namespace oleanderhinge::fleet
