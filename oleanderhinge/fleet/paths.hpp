// Paths of layer ranges through the engines of a service.
//
// A path runs every layer once and in order. Its first server forms the batches
// of its requests, so each first server is a choice of its own; behind it the
// cheapest continuation is taken: time of the layers on each accelerator with
// what already runs there, and a charge for each change of data centre, since
// all transfers between two data centres share one link.
//
// Example:
//   auto found = find_paths(servers, 80, home, {});
//   if (!found.empty()) send_to(found.front().parts);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <string>
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

struct costed_path {
    path parts;
    // Time of one token, in milliseconds.
    double cost = 0;
};

// For each server that can be the first of a path over all layers, the cheapest
// such path; cheapest first. `home` counts as the data centre before the first
// part. Empty if some layer is held by no server.
std::vector<costed_path> find_paths(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs);

// Ids of the servers, for the log.
std::string describe(const path& parts);

// True if the parts cover all layers once and in order.
bool is_complete(const path& parts, std::uint32_t layer_count);

} // namespace oleanderhinge::fleet
