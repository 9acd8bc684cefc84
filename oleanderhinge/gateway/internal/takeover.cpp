#include "oleanderhinge/gateway/internal/takeover.hpp"

#include <utility>

namespace oleanderhinge::gateway
{

stream_takeover::stream_takeover(
    const forwarding_request& present,
    fleet::path parts,
    takeover_cause why,
    std::set<wire::endpoint> avoided_in)
    : next(present, present.exchange)
    , cause(why)
    , avoided(std::move(avoided_in))
{
    auto& to = this->next;
    to.metadata = present.metadata;
    to.index = present.index;
    to.route = present.route;
    to.service = present.service;
    to.customer = present.customer;
    to.priority = present.priority;
    to.arrived = present.arrived;
    to.deadline = present.deadline;
    to.attempts = present.attempts;
    to.head_sent = true;
    to.last_event = present.last_event;
    to.events = present.events;
    to.parts = std::move(parts);
}

void abandon_takeover(forwarding_request& request)
{
    if (!request.takeover)
        return;
    request.takeover->state = takeover_state::abandoned;
    if (request.takeover->next.connection)
        request.takeover->next.connection->cancel();
}

} // namespace oleanderhinge::gateway
