// Paths of layer ranges through the engines of a service.
//
// A path runs every layer once and in order. Among all paths, the one with the
// least cost is taken: time of the layers on each accelerator, waiting for what
// already runs there, and a charge for each change of data centre, since all
// transfers between two data centres share one link.
//
// Example:
//   auto found = find_path(servers, 80, costs);
//   if (!found.empty()) send_to(found.front());
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <vector>

namespace oleanderhinge::fleet
{

struct path_server {
    base::backend_server_id id;
    wire::endpoint address;
    base::data_centre_id data_centre;
    // Layers that it holds.
    base::layer_range layers;
    // Expected time of one token in one layer, in milliseconds, with what runs
    // there now.
    double ms_per_layer = 0;
};

struct path_part {
    base::backend_server_id server;
    wire::endpoint address;
    base::data_centre_id data_centre;
    base::layer_range layers;

    bool operator==(const path_part&) const = default;
};

using path = std::vector<path_part>;

struct path_costs {
    // A change of data centre between two parts costs as much as this time of
    // one token: a delay of 0.75 ms, and the prompt takes 9.6 ms of a link that
    // all share, which a third of all requests would fill.
    double crossing_ms = 8;
    // The first part in another data centre: only events cross.
    double remote_start_ms = 2;
    // Each server of a path adds a pass and a transfer to each token.
    double part_ms = 0.2;
    // Parts that the engines accept in one path.
    std::size_t most_parts = 32;
};

// Cheapest path over all layers that begins in `home` if it can (its data
// centre counts as the one before the first part); empty if some layer is held
// by no server.
path find_path(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs);

// Time of one token on the path, in milliseconds, as `find_path` counts it.
double cost_of(
    const path& parts,
    const std::vector<path_server>& servers,
    const base::data_centre_id& home,
    const path_costs& costs);

// True if the parts cover all layers once and in order.
bool is_complete(const path& parts, std::uint32_t layer_count);

} // namespace oleanderhinge::fleet
