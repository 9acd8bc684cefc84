#include "oleanderhinge/gateway/limited_servers.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

namespace
{

std::vector<server_incarnation> first_servers(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now)
{
    std::vector<server_incarnation> found;
    fleet::visit_usable(
        selector.servers, service.name, [&](const wire::server_record& record) {
            if ((!service.engine || record.layers.first.value() == 0) &&
                accepts_requests(selector, record.id, now))
                found.push_back({record.id, record.started_ms});
        });
    return found;
}

} // namespace

std::vector<server_incarnation> limited_servers(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now)
{
    auto found = first_servers(selector, service, now);
    std::erase_if(found, [&](const server_incarnation& server) {
        return !has_limit(selector.permits, server, now);
    });
    return found;
}

bool limits_used_up(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now)
{
    const auto found = first_servers(selector, service, now);
    return !found.empty() &&
           std::ranges::none_of(found, [&](const server_incarnation& server) {
               return has_permit(selector.permits, server, now);
           });
}

} // namespace oleanderhinge::gateway
