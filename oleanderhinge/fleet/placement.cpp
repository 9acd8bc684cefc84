#include "oleanderhinge/fleet/placement.hpp"

#include <algorithm>
#include <numeric>

namespace oleanderhinge::fleet
{

namespace
{

wire::endpoint address_of(const wire::server_record& server)
{
    return {server.address, server.port};
}

using group = std::vector<placed_server*>;

// Orders a chain so that small servers stand next to large ones, which have
// room to cover for them.
group alternate(const group& by_memory)
{
    group ordered;
    for (std::size_t low = by_memory.size(), high = 0; high < low;) {
        ordered.push_back(by_memory[high++]);
        if (high < low)
            ordered.push_back(by_memory[--low]);
    }
    return ordered;
}

// Deals servers of one kind after another to the chains, so that each chain
// gets its share of each kind.
std::vector<group> deal(group members, std::size_t chains)
{
    std::stable_sort(
        members.begin(),
        members.end(),
        [](const auto* left, const auto* right) {
            return left->memory_mb > right->memory_mb;
        });
    std::vector<group> dealt(chains);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto round = i / chains;
        const auto place = i % chains;
        // Alternating direction evens out the memory of the chains.
        dealt[round % 2 == 0 ? place : chains - 1 - place].push_back(
            members[i]);
    }
    for (auto& chain : dealt)
        chain = alternate(chain);
    return dealt;
}

bool assign_chain(const wire::engine_profile& profile, const group& chain)
{
    std::vector<double> memory;
    std::vector<std::uint32_t> limits;
    for (const auto* server : chain) {
        memory.push_back(server->memory_mb);
        limits.push_back(largest_range(profile, server->memory_mb));
    }
    const auto shares = divide_layers(profile.layer_count, memory, limits);
    if (shares.empty())
        return false;
    std::uint32_t next = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        chain[i]->layers = {
            base::layer_index{next}, base::layer_index{next + shares[i]}};
        next += shares[i];
    }
    return true;
}

void assign_group(const wire::engine_profile& profile, const group& members)
{
    double memory = 0;
    for (const auto* server : members)
        memory += server->memory_mb;
    const double whole = profile.layer_mb * profile.layer_count;
    const auto wanted = std::size_t(memory / (whole * memory_per_chain));
    for (auto chains = std::max<std::size_t>(wanted, 1); chains > 0; --chains) {
        const auto dealt = deal(members, chains);
        if (std::all_of(dealt.begin(), dealt.end(), [&](const group& chain) {
                return assign_chain(profile, chain);
            }))
            return;
    }
}

bool is_missing(const placed_server& server, base::time_point now)
{
    return server.seen + replace_after < now;
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

// Groups of servers that hold copies of their own: data centres, or the whole
// fleet if some data centre is too small for a copy.
std::vector<group>
copy_groups(placement& plan, const wire::engine_profile& profile)
{
    std::map<base::data_centre_id, group> by_place;
    group everything;
    for (auto& [address, server] : plan.servers) {
        by_place[server.data_centre].push_back(&server);
        everything.push_back(&server);
    }
    std::vector<group> groups;
    for (auto& [place, members] : by_place) {
        const double memory = std::accumulate(
            members.begin(),
            members.end(),
            0.0,
            [](double sum, const auto* server) {
                return sum + server->memory_mb;
            });
        if (memory < profile.layer_mb * profile.layer_count * least_memory)
            return {everything};
        groups.push_back(std::move(members));
    }
    return groups;
}

// Gives ranges that no server of the group holds to servers without layers.
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
        if (first == profile.layer_count)
            return;
        const auto most =
            largest_range(profile, spare->memory_mb * fullest_by_weights);
        auto end = first;
        while (end < profile.layer_count && !held[end] && end - first < most)
            held[end++] = true;
        spare->layers = {base::layer_index{first}, base::layer_index{end}};
    }
}

// Divides the model anew over each group.
void assign_all(placement& plan, const wire::engine_profile& profile)
{
    for (const auto& members : copy_groups(plan, profile))
        assign_group(profile, members);
}

// Divides a group anew if a place stays empty: its server is gone and no other
// has taken the place.
void divide_again(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : copy_groups(plan, profile)) {
        group present;
        bool lost = false;
        for (auto* server : members) {
            const bool missing = is_missing(*server, now);
            lost = lost || (missing && server->layers != base::layer_range{});
            if (!missing)
                present.push_back(server);
        }
        if (!lost || present.empty())
            continue;
        for (auto* server : members)
            server->layers = {};
        assign_group(profile, present);
    }
}

bool contains(const base::layer_range& outer, const base::layer_range& inner)
{
    return outer.first <= inner.first && inner.end <= outer.end;
}

bool is_slow(const wire::server_record& record)
{
    return record.load && record.load->slowness >= slow_from;
}

// Notes which servers hold their place and are in use. Slow ones count as out:
// a path is as slow as its slowest part.
void observe_places(
    placement& plan,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    std::map<wire::endpoint, base::layer_range> held;
    for (const auto& record : ready)
        if (!is_slow(record))
            held[address_of(record)] = record.layers;
    for (const auto& record : ready)
        if (const auto found = plan.servers.find(address_of(record));
            found != plan.servers.end())
            found->second.slow = is_slow(record);
    for (auto& [address, server] : plan.servers) {
        const auto found = held.find(address);
        if (found != held.end() && contains(found->second, server.layers)) {
            server.out_since = {};
            server.covered = false;
        } else if (server.out_since == base::time_point{})
            server.out_since = now;
    }
}

// A range of layers that no server in use holds.
struct gap {
    std::uint32_t first = 0;
    std::uint32_t end = 0;
};

bool is_in_use(const placed_server& server)
{
    return server.layers != base::layer_range{} &&
           server.out_since == base::time_point{};
}

std::vector<gap> find_gaps(const group& members, std::uint32_t layer_count)
{
    std::vector<bool> held(layer_count);
    for (const auto* server : members)
        for (auto i = server->layers.first.value();
             is_in_use(*server) && i < server->layers.end.value() &&
             i < layer_count;
             ++i)
            held[i] = true;
    std::vector<gap> gaps;
    for (std::uint32_t i = 0; i < layer_count; ++i) {
        if (held[i])
            continue;
        if (i == 0 || held[i - 1])
            gaps.push_back({i, i});
        gaps.back().end = i + 1;
    }
    return gaps;
}

// Layers that the server can take on; 0 for none.
std::uint32_t
room_to_cover(const placed_server* server, const wire::engine_profile& profile)
{
    if (server == nullptr)
        return 0;
    const auto most =
        largest_range(profile, server->memory_mb * fullest_while_covering);
    const auto has = server->wanted.end.value() - server->wanted.first.value();
    return most > has ? most - has : 0;
}

// Extends the servers on both sides of the gap over it, if they can.
void cover(
    const group& members, const gap& open, const wire::engine_profile& profile)
{
    placed_server* left = nullptr;
    placed_server* right = nullptr;
    for (auto* server : members) {
        if (!is_in_use(*server))
            continue;
        if (server->wanted.end.value() == open.first)
            left = server;
        if (server->wanted.first.value() == open.end)
            right = server;
    }
    const auto size = open.end - open.first;
    const auto left_room = room_to_cover(left, profile);
    const auto right_room = room_to_cover(right, profile);
    if (left_room + right_room < size)
        return;
    // In proportion to the room, within its limits.
    const auto by_share = std::uint32_t(
        std::uint64_t(size) * left_room / (left_room + right_room));
    const auto to_left =
        std::max(by_share, size > right_room ? size - right_room : 0);
    if (to_left > 0)
        left->wanted.end = base::layer_index{open.first + to_left};
    if (to_left < size)
        right->wanted.first = base::layer_index{open.first + to_left};
}

// A server that is loading its layers is in use soon; only one that is gone
// needs neighbours to cover for it.
bool needs_cover(const placed_server& server, base::time_point now)
{
    return server.layers != base::layer_range{} && !is_in_use(server) &&
           (server.seen < now || server.slow) &&
           now >= server.out_since + cover_after;
}

// Sets what each server should hold now.
void cover_gaps(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : copy_groups(plan, profile)) {
        bool waits = true;
        for (auto* server : members) {
            server->wanted = server->layers;
            if (needs_cover(*server, now))
                server->covered = true;
            waits = waits && !server->covered;
        }
        if (waits)
            continue;
        for (const auto& open : find_gaps(members, profile.layer_count))
            cover(members, open, profile);
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

std::vector<std::uint32_t> divide_layers(
    std::uint32_t layer_count,
    const std::vector<double>& memory,
    const std::vector<std::uint32_t>& limits)
{
    const double total = std::accumulate(memory.begin(), memory.end(), 0.0);
    std::vector<std::uint32_t> shares(memory.size());
    std::uint32_t given = 0;
    for (std::size_t i = 0; i < memory.size(); ++i) {
        shares[i] =
            std::min(limits[i], std::uint32_t(layer_count * memory[i] / total));
        given += shares[i];
    }
    // What rounding left over goes where most memory stays free for a layer.
    while (given < layer_count) {
        std::size_t best = memory.size();
        for (std::size_t i = 0; i < memory.size(); ++i)
            if (shares[i] < limits[i] &&
                (best == memory.size() ||
                 memory[i] / (shares[i] + 1) >
                     memory[best] / (shares[best] + 1)))
                best = i;
        if (best == memory.size())
            return {};
        ++shares[best];
        ++given;
    }
    return shares;
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
    if (!has_plan(plan) && !adopt(plan, ready))
        assign_all(plan, profile);
    fill_places(plan, profile, now);
    divide_again(plan, profile, now);
    for (const auto& members : copy_groups(plan, profile))
        fill_holes(members, profile, now);
    observe_places(plan, ready, now);
    cover_gaps(plan, profile, now);
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
        orders.push_back({record.id, server.address, server.wanted});
    }
    return orders;
}

} // namespace oleanderhinge::fleet
