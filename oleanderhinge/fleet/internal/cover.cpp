#include "oleanderhinge/fleet/internal/cover.hpp"

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

bool is_in_use(const placed_server& server)
{
    return server.layers != base::layer_range{} &&
           server.out_since == base::time_point{};
}

// It takes orders and is as fast as usual, whatever it holds now.
bool is_available(const placed_server& server, base::time_point now)
{
    return server.seen == now && !server.slow;
}

// Ranges of layers that are not the place of a member that `counts`.
template <class Predicate>
std::vector<base::layer_range>
find_gaps(const group& members, std::uint32_t layer_count, Predicate&& counts)
{
    std::vector<bool> held(layer_count);
    for (const auto* server : members)
        for (auto i = server->layers.first.value();
             counts(*server) && i < server->layers.end.value() &&
             i < layer_count;
             ++i)
            held[i] = true;
    std::vector<base::layer_range> gaps;
    for (std::uint32_t i = 0; i < layer_count; ++i) {
        if (held[i])
            continue;
        if (i == 0 || held[i - 1])
            gaps.push_back({base::layer_index{i}, base::layer_index{i}});
        gaps.back().end = base::layer_index{i + 1};
    }
    return gaps;
}

// Available servers that share their place, the first servers of a chain. All
// but one may leave it.
group find_reserve(const group& members, base::time_point now)
{
    std::map<base::layer_range, group> by_place;
    for (auto* server : members)
        if (server->layers != base::layer_range{} && is_available(*server, now))
            by_place[server->layers].push_back(server);
    group largest;
    for (auto& [place, holders] : by_place)
        if (holders.size() > largest.size())
            largest = std::move(holders);
    return largest;
}

struct stand_in {
    placed_server* server = nullptr;
    base::layer_range layers;
};

// Takes those out of the reserve that together hold the gap, as few as
// possible; none if they cannot.
std::vector<stand_in> take_stand_ins(
    group& reserve,
    const base::layer_range& gap,
    const wire::engine_profile& profile)
{
    // Those that hold layers of the gap already stay; those that have left
    // their place for another gap are taken last. Of the others, those with the
    // fewest requests leave.
    const auto preference = [&](const placed_server* server) {
        const int rank =
            overlap(server->held, gap) || overlap(server->wanted, gap) ? 0
            : is_in_use(*server)                                       ? 1
                                                                       : 2;
        return std::tuple{
            rank, rank == 0 ? 0 : server->running, server->address};
    };
    std::sort(
        reserve.begin(),
        reserve.end(),
        [&](const auto* left, const auto* right) {
            return preference(left) < preference(right);
        });
    const auto room = [&](const placed_server* server) {
        return largest_range(profile, server->memory_mb * fullest_by_weights);
    };
    std::uint32_t total = 0;
    std::size_t count = 0;
    while (count + 1 < reserve.size() && total < size_of(gap))
        total += room(reserve[count++]);
    if (total < size_of(gap))
        return {};
    std::vector<stand_in> chosen;
    auto first = gap.first;
    for (std::size_t i = 0; i < count; ++i) {
        const auto left = gap.end.value() - first.value();
        const auto share =
            (left * room(reserve[i]) + total - 1) / std::max(total, 1U);
        const auto end = base::layer_index{first.value() + share};
        chosen.push_back({reserve[i], {first, end}});
        total -= room(reserve[i]);
        first = end;
    }
    reserve.erase(reserve.begin(), reserve.begin() + std::ptrdiff_t(count));
    return chosen;
}

// Layers that the server can take on; 0 for none.
std::uint32_t
room_to_cover(const placed_server* server, const wire::engine_profile& profile)
{
    if (server == nullptr)
        return 0;
    const auto most =
        largest_range(profile, server->memory_mb * fullest_while_covering);
    const auto has = size_of(server->wanted);
    return most > has ? most - has : 0;
}

// Extends the servers on both sides of the gap over it, if they can.
void cover(
    const group& members,
    const base::layer_range& open,
    const wire::engine_profile& profile)
{
    placed_server* left = nullptr;
    placed_server* right = nullptr;
    for (auto* server : members) {
        if (!is_in_use(*server))
            continue;
        if (server->wanted.end == open.first)
            left = server;
        if (server->wanted.first == open.end)
            right = server;
    }
    const auto size = size_of(open);
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
        left->wanted.end = base::layer_index{open.first.value() + to_left};
    if (to_left < size)
        right->wanted.first = base::layer_index{open.first.value() + to_left};
}

// A server that is loading its layers is in use soon; only one that is gone
// needs neighbours to cover for it.
bool needs_cover(const placed_server& server, base::time_point now)
{
    return server.layers != base::layer_range{} && !is_in_use(server) &&
           (server.seen < now || server.slow) &&
           now >= server.out_since + cover_after;
}

// Gives the layers of each gap to first servers or, if they cannot hold them,
// to the neighbours.
void cover_group(
    const group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    auto reserve = find_reserve(members, now);
    std::vector<stand_in> chosen;
    std::vector<base::layer_range> open;
    for (const auto& gap : find_gaps(members, profile.layer_count, is_in_use)) {
        // The place of the reserve itself is not left to one that stays there.
        const bool own =
            !reserve.empty() && overlap(reserve.front()->layers, gap);
        const auto found = own ? std::vector<stand_in>{}
                               : take_stand_ins(reserve, gap, profile);
        if (found.empty())
            open.push_back(gap);
        chosen.insert(chosen.end(), found.begin(), found.end());
    }
    for (auto* server : members)
        server->wanted = server->layers;
    for (const auto& item : chosen)
        item.server->wanted = item.layers;
    for (const auto& gap : open)
        cover(members, gap, profile);
}

} // namespace

bool is_missing(const placed_server& server, base::time_point now)
{
    return server.seen + replace_after < now;
}

void observe_places(
    placement& plan,
    const std::vector<wire::server_record>& ready,
    base::time_point now)
{
    for (const auto& record : ready) {
        const auto found = plan.servers.find({record.address, record.port});
        if (found == plan.servers.end())
            continue;
        found->second.held = record.layers;
        found->second.running = record.load ? record.load->running : 0;
        found->second.slow = record.load && record.load->slowness >= slow_from;
    }
    for (auto& [address, server] : plan.servers) {
        if (is_available(server, now) && contains(server.held, server.layers)) {
            server.out_since = {};
            server.covered = false;
        } else if (server.out_since == base::time_point{})
            server.out_since = now;
    }
}

void cover_gaps(
    placement& plan, const wire::engine_profile& profile, base::time_point now)
{
    for (const auto& members : copy_groups(plan, profile)) {
        bool complete = true;
        for (auto* server : members) {
            if (needs_cover(*server, now))
                server->covered = true;
            complete = complete && !server->covered;
        }
        if (!complete)
            cover_group(members, profile, now);
        else
            for (auto* server : members)
                server->wanted = server->layers;
    }
}

bool needs_new_division(
    const group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    auto reserve = find_reserve(members, now);
    const auto least_left = reserve.size() / 2;
    const auto is_present = [&](const placed_server& server) {
        return !is_missing(server, now);
    };
    for (const auto& gap : find_gaps(members, profile.layer_count, is_present))
        if (take_stand_ins(reserve, gap, profile).empty() ||
            reserve.size() < least_left)
            return true;
    return false;
}

} // namespace oleanderhinge::fleet::internal
