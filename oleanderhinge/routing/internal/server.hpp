// Reading one server of the view.
#pragma once

#include "oleanderhinge/routing/view.hpp"

namespace oleanderhinge::routing::internal
{

// Serving and not expired; says nothing about ejection.
bool is_usable(const server_entry& server, base::time_point now);

// Share of its traffic that the ejection rules leave to the server, in [0, 1].
double health_share(
    const view_options& options,
    const server_entry& server,
    base::time_point now);

// Estimated requests at the server that a new one of the rank competes with.
double requests_at(
    const view_options& options,
    const server_entry& server,
    base::rank work_rank);

} // namespace oleanderhinge::routing::internal
