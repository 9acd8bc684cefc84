#include "oleanderhinge/fleet/internal/failover.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace oleanderhinge::fleet::internal
{

namespace
{

bool contains(const base::layer_range& outer, const base::layer_range& inner)
{
    return outer.first <= inner.first && inner.end <= outer.end;
}

bool overlap(const base::layer_range& left, const base::layer_range& right)
{
    return left.first < right.end && right.first < left.end;
}

std::uint32_t size_of(const base::layer_range& range)
{
    return range.end.value() - range.first.value();
}

// True if the server was available with its assigned layers when it was last
// observed.
bool is_serving(const placed_server& server)
{
    return server.layers != base::layer_range{} &&
           server.unavailable_since == base::time_point{};
}

// True if the server is ready and not slow, whatever layers it holds.
bool is_available(const placed_server& server, base::time_point now)
{
    return server.last_seen == now && !server.slow;
}

bool is_any(const placed_server&)
{
    return true;
}

// Maximal ranges of layers that are assigned to no member for which
// `is_counted` holds, in ascending order.
template <class Predicate>
std::vector<base::layer_range> find_gaps(
    const server_group& members,
    std::uint32_t layer_count,
    Predicate&& is_counted)
{
    std::vector<bool> has_holder(layer_count);
    for (const auto* server : members)
        for (auto i = server->layers.first.value();
             is_counted(*server) && i < server->layers.end.value() &&
             i < layer_count;
             ++i)
            has_holder[i] = true;
    std::vector<base::layer_range> gaps;
    for (std::uint32_t i = 0; i < layer_count; ++i) {
        if (has_holder[i])
            continue;
        if (i == 0 || has_holder[i - 1])
            gaps.push_back({base::layer_index{i}, base::layer_index{i}});
        gaps.back().end = base::layer_index{i + 1};
    }
    return gaps;
}

// The largest set of available servers that are assigned the same range,
// usually the first part of a chain. All but one of them may be used elsewhere.
server_group
find_redundant_servers(const server_group& members, base::time_point now)
{
    std::map<base::layer_range, server_group> by_range;
    for (auto* server : members)
        if (server->layers != base::layer_range{} && is_available(*server, now))
            by_range[server->layers].push_back(server);
    server_group largest;
    for (auto& [range, holders] : by_range)
        if (holders.size() > largest.size())
            largest = std::move(holders);
    return largest;
}

struct substitute {
    placed_server* server = nullptr;
    base::layer_range layers;
};

// Splits the gap over servers from the front of the preference order, as few
// as have the capacity for it, and removes them from `redundant`. Returns
// nothing and removes none if all but one server cannot hold the gap.
std::vector<substitute> take_substitutes(
    server_group& redundant,
    const base::layer_range& gap,
    const wire::engine_profile& profile)
{
    // First the servers that hold or load layers of the gap, so that nothing
    // moves again; then those that serve their assigned range, fewest running
    // requests first; last those that fill another gap.
    const auto preference = [&](const placed_server* server) {
        const int rank =
            overlap(server->reported, gap) || overlap(server->target, gap) ? 0
            : is_serving(*server)                                          ? 1
                                                                           : 2;
        return std::tuple{
            rank, rank == 0 ? 0 : server->running, server->address};
    };
    std::sort(
        redundant.begin(),
        redundant.end(),
        [&](const auto* left, const auto* right) {
            return preference(left) < preference(right);
        });
    const auto capacity = [&](const placed_server* server) {
        return largest_range(profile, server->memory_mb * max_weight_share);
    };
    std::uint32_t total_capacity = 0;
    std::size_t count = 0;
    while (count + 1 < redundant.size() && total_capacity < size_of(gap))
        total_capacity += capacity(redundant[count++]);
    if (total_capacity < size_of(gap))
        return {};
    std::vector<substitute> chosen;
    auto first = gap.first;
    for (std::size_t i = 0; i < count; ++i) {
        const auto remaining = gap.end.value() - first.value();
        const auto share =
            (remaining * capacity(redundant[i]) + total_capacity - 1) /
            std::max(total_capacity, 1U);
        const auto end = base::layer_index{first.value() + share};
        chosen.push_back({redundant[i], {first, end}});
        total_capacity -= capacity(redundant[i]);
        first = end;
    }
    redundant.erase(
        redundant.begin(), redundant.begin() + std::ptrdiff_t(count));
    return chosen;
}

// Layers that the server can hold beside its target range; 0 for null.
std::uint32_t extra_layer_capacity(
    const placed_server* server, const wire::engine_profile& profile)
{
    if (server == nullptr)
        return 0;
    const auto max_layers = largest_range(
        profile, server->memory_mb * max_weight_share_in_failover);
    const auto used = size_of(server->target);
    return max_layers > used ? max_layers - used : 0;
}

// Extends the servers with the adjacent ranges over the gap. Changes nothing
// if together they lack the memory.
void extend_neighbours(
    const server_group& members,
    const base::layer_range& gap,
    const wire::engine_profile& profile)
{
    placed_server* left = nullptr;
    placed_server* right = nullptr;
    for (auto* server : members) {
        if (!is_serving(*server))
            continue;
        if (server->target.end == gap.first)
            left = server;
        if (server->target.first == gap.end)
            right = server;
    }
    const auto size = size_of(gap);
    const auto left_capacity = extra_layer_capacity(left, profile);
    const auto right_capacity = extra_layer_capacity(right, profile);
    if (left_capacity + right_capacity < size)
        return;
    // Split in proportion to capacity, without exceeding it on either side.
    const auto proportional = std::uint32_t(
        std::uint64_t(size) * left_capacity / (left_capacity + right_capacity));
    const auto left_share = std::max(
        proportional, size > right_capacity ? size - right_capacity : 0);
    if (left_share > 0)
        left->target.end = base::layer_index{gap.first.value() + left_share};
    if (left_share < size)
        right->target.first = base::layer_index{gap.first.value() + left_share};
}

// True if other servers should take over the server's layers. A server that is
// ready and still loads its layers serves soon and does not need it.
bool needs_failover(const placed_server& server, base::time_point now)
{
    return server.layers != base::layer_range{} && !is_serving(server) &&
           (server.last_seen < now || server.slow) &&
           now >= server.unavailable_since + failover_after;
}

// Assigns each gap to redundant servers or, if they cannot hold it, to the
// servers with the adjacent ranges.
void fail_over_group(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    auto redundant = find_redundant_servers(members, now);
    std::vector<substitute> chosen;
    std::vector<base::layer_range> uncovered;
    for (const auto& gap :
         find_gaps(members, profile.layer_count, is_serving)) {
        // Redundant servers do not fill a gap in their own range.
        const bool is_own_range =
            !redundant.empty() && overlap(redundant.front()->layers, gap);
        const auto found = is_own_range
                               ? std::vector<substitute>{}
                               : take_substitutes(redundant, gap, profile);
        if (found.empty())
            uncovered.push_back(gap);
        chosen.insert(chosen.end(), found.begin(), found.end());
    }
    for (auto* server : members)
        server->target = server->layers;
    for (const auto& item : chosen)
        item.server->target = item.layers;
    for (const auto& gap : uncovered)
        extend_neighbours(members, gap, profile);
}

} // namespace

bool is_missing(const placed_server& server, base::time_point now)
{
    return server.last_seen + replace_after < now;
}

void observe_servers(
    placement& plan,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    for (const auto& record : ready) {
        const auto found = plan.servers.find({record.address, record.port});
        if (found == plan.servers.end())
            continue;
        found->second.reported = record.layers;
        found->second.running = record.load ? record.load->running : 0;
        found->second.slow =
            record.load && record.load->slowness >= slow_threshold;
    }
    for (auto& [address, server] : plan.servers) {
        if (is_available(server, now) &&
            contains(server.reported, server.layers)) {
            server.unavailable_since = {};
            server.failed_over = false;
        } else if (server.unavailable_since == base::time_point{})
            server.unavailable_since = now;
    }
}

void update_targets(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : replica_groups(plan, profile)) {
        bool complete = true;
        for (auto* server : members) {
            if (needs_failover(*server, now))
                server->failed_over = true;
            complete = complete && !server->failed_over;
        }
        if (!complete)
            fail_over_group(members, profile, now);
        else
            for (auto* server : members)
                server->target = server->layers;
    }
}

bool has_unassigned_range(
    const server_group& members, const wire::engine_profile& profile)
{
    return !find_gaps(members, profile.layer_count, is_any).empty();
}

void assign_gaps_to_redundant(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    auto redundant = find_redundant_servers(members, now);
    for (const auto& gap : find_gaps(members, profile.layer_count, is_any))
        for (const auto& item : take_substitutes(redundant, gap, profile))
            item.server->layers = item.layers;
}

bool needs_new_division(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    auto redundant = find_redundant_servers(members, now);
    const auto min_remaining = redundant.size() / 2;
    const auto is_present = [&](const placed_server& server) {
        return !is_missing(server, now);
    };
    for (const auto& gap : find_gaps(members, profile.layer_count, is_present))
        if (take_substitutes(redundant, gap, profile).empty() ||
            redundant.size() < min_remaining)
            return true;
    return false;
}

} // namespace oleanderhinge::fleet::internal
