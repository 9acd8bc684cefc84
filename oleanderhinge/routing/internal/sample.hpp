// Samples candidate servers of one layer range or plain service, and estimates
// their cost.
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/routing/view.hpp"

#include <vector>

namespace oleanderhinge::routing::internal
{

// Location of the entry node and the conditions that a candidate must meet.
struct sample_query {
    const base::data_centre_id& data_centre;
    const base::region_id& region;
    const std::vector<base::backend_server_id>& avoid;
    // Layers of the model; 0 for a plain service.
    std::uint32_t layer_count = 0;
};

// Whether the server may be selected, regardless of ejection: it is usable, not
// avoided, and announces the layer count of the query.
bool is_candidate(
    const server_entry& server,
    const sample_query& query,
    base::time_point now);

// Distinct candidates of the group; empty only if it has none. Draws up to
// `server_view_options::candidates_per_range` servers from the caller's data
// centre, and one each from its region and from all regions if these have
// further servers. If the group has no server in the data centre, that many are
// drawn from the region; if nothing was drawn from either, that many from all
// regions. A server that recovers from ejection is accepted with the
// probability of its traffic share. If nothing was drawn at all, the group is
// searched from a random position, first without the ejected servers and then
// with them.
std::vector<server_index> sample(
    const server_view& v,
    const server_group& from,
    const sample_query& query,
    base::random_source& random,
    base::time_point now);

// Cost of one hop from a location to a server, in microseconds.
double link_cost_us(
    const server_view_options& options,
    const base::data_centre_id& from_data_centre,
    const base::region_id& from_region,
    const server_info& to);

// Estimated cost of one step of a new request at the server, in microseconds:
// its step time, raised for load, waiting work, recent failures and refusals.
double server_cost_us(
    const server_view_options& options,
    const server_entry& server,
    base::rank work_rank,
    base::time_point now);

} // namespace oleanderhinge::routing::internal
