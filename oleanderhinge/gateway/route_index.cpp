#include "oleanderhinge/gateway/route_index.hpp"

#include "oleanderhinge/wire/host_name.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

route_index::route_index(wire::forwarding_table table_in)
    : route_index(
          std::make_shared<const wire::forwarding_table>(std::move(table_in)))
{
}

route_index::route_index(std::shared_ptr<const wire::forwarding_table> table_in)
    : held_table(std::move(table_in))
{
    for (const auto& route : this->held_table->routes)
        this->by_host[wire::normalized_host(route.host)].push_back(&route);
    for (auto& [host, routes] : this->by_host)
        std::sort(
            routes.begin(),
            routes.end(),
            [](const auto* left, const auto* right) {
                return left->path_prefix.size() > right->path_prefix.size();
            });
    for (const auto& customer : this->held_table->customers)
        for (const auto& key : customer.keys)
            this->by_key.emplace(key, &customer);
    for (const auto& route : this->held_table->routes) {
        if (!route.streaming || route.target_latency_ms == 0)
            continue;
        for (const auto& target : route.targets) {
            auto& shortest =
                this->stream_targets
                    .try_emplace(target.service, route.target_latency_ms)
                    .first->second;
            shortest = std::min(shortest, route.target_latency_ms);
        }
    }
    for (const auto& service : this->held_table->services)
        this->by_service.emplace(service.name, &service);
}

const wire::forwarding_route*
route_index::find_route(std::string_view host, std::string_view target) const
{
    const auto found = this->by_host.find(wire::normalized_host(host));
    if (found == this->by_host.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto* route : found->second)
        if (path.starts_with(route->path_prefix))
            return route;
    return nullptr;
}

const wire::forwarding_customer*
route_index::find_customer(std::string_view key) const
{
    const auto found = this->by_key.find(std::string(key));
    return found == this->by_key.end() ? nullptr : found->second;
}

const wire::forwarding_service*
route_index::find_service(std::string_view name) const
{
    const auto found = this->by_service.find(name);
    return found == this->by_service.end() ? nullptr : found->second;
}

std::uint32_t
route_index::shortest_stream_target(std::string_view service) const
{
    const auto found = this->stream_targets.find(service);
    return found == this->stream_targets.end() ? 0 : found->second;
}

const std::string&
pick_target(const wire::forwarding_route& route, base::random_source& random)
{
    std::uint64_t total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    auto drawn = random.below(total);
    for (const auto& target : route.targets) {
        if (drawn < target.weight)
            return target.service;
        drawn -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace oleanderhinge::gateway
