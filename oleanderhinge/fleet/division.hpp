// Dividing the layers of a model over the servers of one chain.
//
// A chain is a sequence of parts; each holds a range of layers. The first part
// may consist of several equal servers that share the requests: the first
// server of a path forms the batches and runs one after another through the
// whole path, so with one alone a chain stands still while a prompt is read.
// Behind it every batch passes the same servers.
//
// Example:
//   const auto best = divide_layers(profile, {{21600, 4, 16, 8.2}, ...});
//   if (!best.shares.empty()) place(best.shares);
#pragma once

#include "oleanderhinge/wire/forwarding.hpp"

#include <cstdint>
#include <vector>

namespace oleanderhinge::fleet
{

// Equal servers that hold the same layers and share the requests.
struct part_shape {
    double memory_mb = 0;
    std::size_t servers = 1;
    // Times of a token and of reading a prompt, against the profile's.
    double step_factor = 1;
    double read_factor = 1;
};

struct division {
    // Layers of each part; empty if the model does not fit.
    std::vector<std::uint32_t> shares;
    // Requests of the usual size that the chain holds at once.
    std::uint32_t requests = 0;
    // Requests of the usual size that it serves in a second while it is full.
    double per_second = 0;
};

// Rate at which a chain serves requests of the usual size with `requests` of
// them in progress, by the engine's published times.
double requests_per_second(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    const std::vector<std::uint32_t>& shares,
    std::uint32_t requests);

// The division that serves the most requests in a second. More room for
// requests puts more layers on slow accelerators with much memory; less room
// lets fewer requests run side by side. The first part is the first in `parts`.
division divide_layers(
    const wire::engine_profile& profile, const std::vector<part_shape>& parts);

} // namespace oleanderhinge::fleet
