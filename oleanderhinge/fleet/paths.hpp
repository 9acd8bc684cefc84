// Cheapest paths through the servers that hold the layers of a model.
//
// A path is a sequence of parts (pipeline stages) that runs every layer once
// and in order. Its first server forms the batches of its requests, so one path
// is found for each possible first server. Its cost is the time of one token:
// the layers on each accelerator under its present load, a fixed time for each
// part, and a charge for each change of data centre, since all transfers
// between two data centres share one link.
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
    // Expected time of one token in one layer, in milliseconds, under the
    // server's present load.
    double ms_per_layer = 0;
};

// One pipeline stage: the layers that run on one server.
struct path_part {
    base::backend_server_id server;
    wire::endpoint address;
    base::data_centre_id data_centre;
    base::layer_range layers;

    bool operator==(const path_part&) const = default;
};

using path = std::vector<path_part>;

struct path_costs {
    // Charge for a change of data centre between two parts, as milliseconds of
    // one token.
    double crossing_ms = 8;
    // Charge for a first part outside the home data centre, in which case only
    // the events of the answer cross the link.
    double remote_start_ms = 2;
    // Time that each part adds to each token for its pass and its transfer.
    double part_ms = 0.2;
    // Largest number of parts that engines accept in one path.
    std::size_t max_parts = 32;
};

// The costs for an engine: a change of data centre is charged with the time for
// which a usual prompt occupies the link between data centres, since all
// transfers on the link wait for it.
path_costs costs_of(const wire::engine_profile& engine);

struct costed_path {
    path parts;
    // Time of one token with all charges, in milliseconds.
    double cost = 0;
};

// For each server that can be the first of a path over all layers, the cheapest
// path found; cheapest first. `home` is the data centre of the caller. Paths
// with more than `costs.max_parts` parts are left out; if none remains, the
// search is repeated with a higher charge per part. Empty if some layer is held
// by no server, or no path is short enough.
std::vector<costed_path> find_paths(
    const std::vector<path_server>& servers,
    std::uint32_t layer_count,
    const base::data_centre_id& home,
    const path_costs& costs);

// Ids of the servers, separated by commas, for the log.
std::string describe(const path& parts);

// True if all parts run in one data centre.
bool stays_in_one_data_centre(const path& parts);

// True if the parts run all layers once and in order.
bool is_complete(const path& parts, std::uint32_t layer_count);

} // namespace oleanderhinge::fleet
