// The servers of a service that state a limit, as far as new requests may use
// them: those of a plain service, or those with the first layers of a model.
//
// Example:
//   if (limits_used_up(selector, service, now)) refuse(request);
#pragma once

#include "oleanderhinge/gateway/server_choice.hpp"

#include <vector>

namespace oleanderhinge::gateway
{

// The usable ones that accept requests, with a permit left or not.
std::vector<server_incarnation> limited_servers(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now);

// Whether a server with a limit accepts requests, but no server has a permit.
bool limits_used_up(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now);

} // namespace oleanderhinge::gateway
