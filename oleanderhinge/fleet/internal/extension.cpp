#include "oleanderhinge/fleet/internal/extension.hpp"

#include "oleanderhinge/fleet/internal/failover.hpp"

#include <algorithm>

namespace oleanderhinge::fleet::internal
{

namespace
{

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

double room_after(
    const placed_server* server,
    std::uint32_t extra,
    const wire::engine_profile& profile)
{
    return room_per_layer(
        profile, server->memory_mb, size_of(server->target) + extra);
}

} // namespace

double room_per_layer(
    const wire::engine_profile& profile, double memory_mb, std::uint32_t layers)
{
    if (layers == 0)
        return memory_mb;
    return std::max(memory_mb - profile.layer_mb * layers, 0.0) / layers;
}

std::optional<extension> find_extension(
    const server_group& members,
    const base::layer_range& gap,
    const wire::engine_profile& profile)
{
    extension found;
    for (auto* server : members) {
        if (!is_serving(*server))
            continue;
        if (server->target.end == gap.first)
            found.left = server;
        if (server->target.first == gap.end)
            found.right = server;
    }
    const auto size = size_of(gap);
    const auto left_capacity = extra_layer_capacity(found.left, profile);
    const auto right_capacity = extra_layer_capacity(found.right, profile);
    if (left_capacity + right_capacity < size)
        return std::nullopt;
    // Split in proportion to capacity, without exceeding it on either side.
    const auto proportional = std::uint32_t(
        std::uint64_t(size) * left_capacity / (left_capacity + right_capacity));
    const auto left_share = std::max(
        proportional, size > right_capacity ? size - right_capacity : 0);
    found.boundary = base::layer_index{gap.first.value() + left_share};
    if (left_share == 0)
        found.left = nullptr;
    if (left_share == size)
        found.right = nullptr;
    found.room_mb = found.left == nullptr
                        ? room_after(found.right, size, profile)
                        : room_after(found.left, left_share, profile);
    if (found.right != nullptr)
        found.room_mb = std::min(
            found.room_mb, room_after(found.right, size - left_share, profile));
    return found;
}

void apply(const extension& found)
{
    if (found.left != nullptr)
        found.left->target.end = found.boundary;
    if (found.right != nullptr)
        found.right->target.first = found.boundary;
}

} // namespace oleanderhinge::fleet::internal
