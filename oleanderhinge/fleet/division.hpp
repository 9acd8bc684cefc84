// Division of a model's layers over the servers of one chain.
//
// A chain is a sequence of parts (pipeline stages); each holds a range of
// layers. The first part may consist of several equal servers that share the
// requests. The first server of a path forms the batches and runs them one
// after another through the whole path, so with a single first server the chain
// is idle while a prompt is read. All batches share the servers of later parts.
//
// Example:
//   const auto best = divide_layers(profile, {{21600, 4, 16, 8.2}, ...});
//   if (!best.layers_per_part.empty()) place(best.layers_per_part);
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
    // Factors on the profile's times for a generation step and for reading a
    // prompt.
    double step_factor = 1;
    double read_factor = 1;
};

struct division {
    // Number of layers of each part; empty if the model does not fit.
    std::vector<std::uint32_t> layers_per_part;
    // Requests of the profile's usual size that the chain holds at once.
    std::uint32_t requests = 0;
    // Requests of the usual size that it serves per second while it is full.
    double requests_per_second = 0;
};

// Rate at which a chain serves requests of the usual size with `requests` of
// them in progress, estimated from the times in the profile. Returns `requests`
// if the profile has no reading rate or there are no parts.
double requests_per_second(
    const wire::engine_profile& profile,
    const std::vector<part_shape>& parts,
    const std::vector<std::uint32_t>& layers_per_part,
    std::uint32_t requests);

// The division that serves the most requests per second. Reserving more memory
// for requests moves layers to slow accelerators with much memory; reserving
// less lets fewer requests run concurrently. `parts` is in path order. Without
// a reading rate in the profile, the division that holds the most requests.
division divide_layers(
    const wire::engine_profile& profile, const std::vector<part_shape>& parts);

} // namespace oleanderhinge::fleet
