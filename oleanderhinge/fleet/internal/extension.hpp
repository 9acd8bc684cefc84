// Extension of servers over the layers of an unavailable neighbour.
//
// The servers with the adjacent ranges load the missing layers beside their
// own. They give up none, so no request is aborted, and two servers load in
// parallel; but they keep less memory for requests.
//
// Example:
//   if (const auto found = find_extension(members, gap, profile))
//       apply(*found);
#pragma once

#include "oleanderhinge/fleet/internal/chains.hpp"

#include <optional>

namespace oleanderhinge::fleet::internal
{

struct extension {
    // Null if the server takes no layers.
    placed_server* left = nullptr;
    placed_server* right = nullptr;
    // First layer that `right` takes.
    base::layer_index boundary;
    // Smallest memory for requests in a layer that either keeps, in MB.
    double room_mb = 0;
};

// Memory for requests in each layer of a server that holds `layers` layers, in
// MB; 0 if they do not fit.
double room_per_layer(
    const wire::engine_profile& profile,
    double memory_mb,
    std::uint32_t layers);

// The extension of the serving members with the adjacent target ranges. Empty
// if together they lack the memory.
std::optional<extension> find_extension(
    const server_group& members,
    const base::layer_range& gap,
    const wire::engine_profile& profile);

// Extends the target ranges.
void apply(const extension& found);

} // namespace oleanderhinge::fleet::internal
