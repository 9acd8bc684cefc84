#include "oleanderhinge/fleet/internal/handover.hpp"

#include "oleanderhinge/fleet/internal/failover.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace oleanderhinge::fleet::internal
{

namespace
{

bool contains(const base::layer_range& range, std::uint32_t layer)
{
    return range.first.value() <= layer && layer < range.end.value();
}

// True if other members serve all layers of the server.
bool has_other_holders(const server_group& members, const placed_server& server)
{
    for (auto layer = server.layers.first.value();
         layer < server.layers.end.value();
         ++layer)
        if (std::none_of(
                members.begin(), members.end(), [&](const auto* other) {
                    return other != &server && is_serving(*other) &&
                           contains(other->layers, layer);
                }))
            return false;
    return true;
}

// A present member without layers that can hold those of the lost one,
// preferably one that holds them already, of the same kind, and with the most
// memory. Null if there is none.
placed_server* find_spare(
    const server_group& members,
    const wire::engine_profile& profile,
    const placed_server& lost,
    base::time_point now)
{
    const auto rank = [&](const placed_server& server) {
        return std::tuple{
            server.reported == lost.layers,
            server.kind == lost.kind,
            server.memory_mb};
    };
    placed_server* best = nullptr;
    for (auto* server : members)
        if (server->layers == base::layer_range{} && server->last_seen == now &&
            largest_range(profile, server->memory_mb) >= size_of(lost.layers) &&
            (best == nullptr || rank(*server) > rank(*best)))
            best = server;
    return best;
}

} // namespace

void replace_servers(
    const server_group& members,
    const wire::engine_profile& profile,
    base::time_point now)
{
    std::vector<std::pair<bool, placed_server*>> lost;
    for (auto* server : members)
        if (server->layers != base::layer_range{} &&
            (server->leaving || is_missing(*server, now) ||
             ((server->suspected || server->failed_over) &&
              server->last_seen < now)))
            lost.emplace_back(has_other_holders(members, *server), server);
    std::stable_sort(
        lost.begin(), lost.end(), [](const auto& left, const auto& right) {
            return left.first < right.first;
        });
    for (auto& [held, server] : lost) {
        auto* spare = find_spare(members, profile, *server, now);
        if (spare == nullptr)
            continue;
        spare->layers = server->layers;
        // Substitutes keep the layers until the spare server serves them.
        spare->failed_over = server->failed_over;
        spare->unavailable_since = now;
        server->layers = {};
        server->failed_over = false;
    }
}

bool is_held(const placed_server& server, base::time_point now)
{
    return now < server.first_seen + spare_hold;
}

bool release_under_way(const placement& plan, base::time_point now)
{
    return plan.last_leave && now < *plan.last_leave + replace_after;
}

} // namespace oleanderhinge::fleet::internal
