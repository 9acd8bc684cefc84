#include "oleanderhinge/gateway/internal/attempt.hpp"
#include "oleanderhinge/gateway/limited_servers.hpp"

namespace oleanderhinge::gateway
{

void forwarder::note_limits(
    const wire::server_limits& limits, base::time_point now)
{
    this->signals.record_relayed(limits, now);
}

// Takes a permit if the server has a limit. Without one, the request does not
// choose this server again.
bool forwarder::take_permit(
    forwarding_request& request,
    const base::backend_server_id& server,
    const wire::endpoint& address,
    base::time_point now)
{
    const auto use = gateway::take_permit(
        this->selector.permits, incarnation_of(this->selector, server), now);
    if (use == permit_use::missing)
        request.tried.insert(address);
    else if (use == permit_use::granted)
        this->stats.permits_taken.Increment();
    else if (use == permit_use::own)
        this->stats.own_permits_taken.Increment();
    return use != permit_use::missing;
}

// Whether the request has no server since the limits are used up.
bool forwarder::is_limited(
    const forwarding_request& request, base::time_point now) const
{
    return limits_used_up(this->selector, *request.service, now);
}

} // namespace oleanderhinge::gateway
