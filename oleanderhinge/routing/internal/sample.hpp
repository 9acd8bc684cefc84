// Sampling of candidates from the servers of one stage.
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/routing/view.hpp"

#include <vector>

namespace oleanderhinge::routing::internal
{

// Who asks, and what a candidate must be.
struct sample_query {
    const base::data_centre_id& data_centre;
    const base::region_id& region;
    const std::vector<base::backend_server_id>& avoid;
    // 0 for plain services.
    std::uint32_t layer_count = 0;
};

// Whether the server may be chosen at all, before ejection.
bool is_candidate(
    const server_entry& server,
    const sample_query& query,
    base::time_point now);

// Distinct candidates of the group; empty only if no server of it may be
// chosen. Draws `view_options::candidates` near the caller and a few farther
// away; servers that return from ejection are drawn with their share. If
// nothing is drawn, searches the group from a random position.
std::vector<slot> sample(
    const view& v,
    const group& from,
    const sample_query& query,
    base::random_source& random,
    base::time_point now);

// Cost of one hop between two places, in microseconds.
double link_cost_us(
    const view_options& options,
    const base::data_centre_id& from_data_centre,
    const base::region_id& from_region,
    const server_info& to);

// Cost of one step at the server for a new request, in microseconds.
double server_cost_us(
    const view_options& options,
    const server_entry& server,
    base::rank work_rank,
    base::time_point now);

} // namespace oleanderhinge::routing::internal
