#include "oleanderhinge/fleet/internal/failover.hpp"

#include "oleanderhinge/fleet/internal/extension.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace oleanderhinge::fleet::internal
{

bool contains(const base::layer_range& outer, const base::layer_range& inner)
{
    return outer.first <= inner.first && inner.end <= outer.end;
}

std::uint32_t size_of(const base::layer_range& range)
{
    return range.end.value() - range.first.value();
}

bool is_serving(const placed_server& server)
{
    return server.layers != base::layer_range{} &&
           server.unavailable_since == base::time_point{};
}

namespace
{

bool overlap(const base::layer_range& left, const base::layer_range& right)
{
    return left.first < right.end && right.first < left.end;
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

// Target ranges before an update.
using former_targets = std::map<const placed_server*, base::layer_range>;

former_targets targets_of(const server_group& members)
{
    former_targets targets;
    for (const auto* server : members)
        targets.emplace(server, server->target);
    return targets;
}

// True if the server holds layers of the gap, or was ordered to.
bool is_filling(
    const placed_server& server,
    const base::layer_range& gap,
    const former_targets& before)
{
    return overlap(server.reported, gap) || overlap(before.at(&server), gap);
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
    const wire::engine_profile& profile,
    const former_targets& before)
{
    // First the servers that hold or load layers of the gap, so that nothing
    // moves again; then those that serve their assigned range, fewest running
    // requests first; last those that fill another gap.
    const auto preference = [&](const placed_server* server) {
        const int rank = is_filling(*server, gap, before) ? 0
                         : is_serving(*server)            ? 1
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

// True if other servers should take over the server's layers. A server that is
// ready and still loads its layers serves soon and does not need it.
bool needs_failover(const placed_server& server, base::time_point now)
{
    return server.layers != base::layer_range{} && !is_serving(server) &&
           (server.last_seen < now || server.slow) &&
           (server.leaving || server.suspected ||
            now >= server.unavailable_since + failover_after);
}

// Smallest memory for requests in a layer of the serving members behind the
// first part.
double
smallest_room(const server_group& members, const wire::engine_profile& profile)
{
    double smallest = std::numeric_limits<double>::infinity();
    for (const auto* server : members)
        if (is_serving(*server) && server->layers.first.value() != 0)
            smallest = std::min(
                smallest,
                room_per_layer(
                    profile, server->memory_mb, size_of(server->layers)));
    return smallest;
}

// Whether the neighbours rather than the substitutes take over the gap. They
// abort no requests, but must keep enough memory for them. What has begun is
// kept up.
bool prefers_extension(
    const extension& neighbours,
    const std::vector<substitute>& substitutes,
    const base::layer_range& gap,
    double chain_room_mb,
    const former_targets& before)
{
    if (substitutes.empty())
        return true;
    for (const auto& item : substitutes)
        if (is_filling(*item.server, gap, before))
            return false;
    for (const auto* server : {neighbours.left, neighbours.right})
        if (server != nullptr && is_filling(*server, gap, before))
            return true;
    // Requests of all first servers would run through one of them.
    if (neighbours.left != nullptr &&
        neighbours.left->layers.first.value() == 0)
        return false;
    return neighbours.room_mb >= min_extension_room * chain_room_mb;
}

// Assigns each gap to the servers with the adjacent ranges or to redundant
// servers.
void fail_over_group(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    const auto before = targets_of(members);
    for (auto* server : members)
        server->target = server->layers;
    const auto room_mb = smallest_room(members, profile);
    auto redundant = find_redundant_servers(members, now);
    for (const auto& gap :
         find_gaps(members, profile.layer_count, is_serving)) {
        auto left_over = redundant;
        // Redundant servers do not fill a gap in their own range.
        const bool is_own_range =
            !redundant.empty() && overlap(redundant.front()->layers, gap);
        const auto substitutes =
            is_own_range ? std::vector<substitute>{}
                         : take_substitutes(left_over, gap, profile, before);
        const auto neighbours = find_extension(members, gap, profile);
        if (neighbours &&
            prefers_extension(*neighbours, substitutes, gap, room_mb, before)) {
            apply(*neighbours);
            // One server does not fill two gaps.
            std::erase(redundant, neighbours->left);
            std::erase(redundant, neighbours->right);
            continue;
        }
        for (const auto& item : substitutes)
            item.server->target = item.layers;
        redundant = std::move(left_over);
    }
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
    const auto before = targets_of(members);
    auto redundant = find_redundant_servers(members, now);
    for (const auto& gap : find_gaps(members, profile.layer_count, is_any))
        for (const auto& item :
             take_substitutes(redundant, gap, profile, before))
            item.server->layers = item.layers;
}

bool needs_new_division(
    const server_group& members,
    const wire::engine_profile& profile,
    bool release_under_way,
    base::time_point now)
{
    const auto before = targets_of(members);
    auto redundant = find_redundant_servers(members, now);
    const auto min_remaining = redundant.size() / 2;
    const auto is_present = [&](const placed_server& server) {
        return !is_missing(server, now);
    };
    for (const auto& gap : find_gaps(members, profile.layer_count, is_present))
        if (take_substitutes(redundant, gap, profile, before).empty() ||
            (!release_under_way && redundant.size() < min_remaining))
            return true;
    return false;
}

} // namespace oleanderhinge::fleet::internal
