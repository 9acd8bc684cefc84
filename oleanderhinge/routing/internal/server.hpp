// Queries on one server of the view.
#pragma once

#include "oleanderhinge/routing/view.hpp"

namespace oleanderhinge::routing::internal
{

// Whether the server is serving and its announcement has not expired,
// regardless of ejection.
bool is_usable(const server_entry& server, base::time_point now);

// Share of its normal traffic that ejection leaves to the server: 0 while it is
// ejected, then 0.1, 0.25 and 0.5 for one `recovery_step` each, and 1
// otherwise.
double allowed_traffic_share(
    const server_view_options& options,
    const server_entry& server,
    base::time_point now);

// Estimated number of requests that a new one of the rank competes with: those
// that hold a slot, and those queued with the same or a more urgent rank.
double competing_requests(
    const server_view_options& options,
    const server_entry& server,
    base::rank work_rank);

} // namespace oleanderhinge::routing::internal
