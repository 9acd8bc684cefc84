// Index of a forwarding table: finds routes by host and path, customers by key
// and services by name.
//
// Example:
//   route_index index(table);
//   const auto* route = index.find_route("a.example", "/rota/today?x=1");
//   const auto& service = pick_target(*route, random);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/wire/forwarding.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::gateway
{

// Immutable, with one instance for each version of the table. Returned pointers
// are valid while the index is.
class route_index
{
public:
    explicit route_index(wire::forwarding_table table_in);
    // Shares the table, which is not copied.
    explicit route_index(
        std::shared_ptr<const wire::forwarding_table> table_in);
    route_index(const route_index&) = delete;
    route_index& operator=(const route_index&) = delete;

    // The route with the longest matching prefix of the path, among those of
    // the host; null if there is none. The port and the case of the host and
    // the query of the target are ignored.
    const wire::forwarding_route*
    find_route(std::string_view host, std::string_view target) const;
    // Null for an unknown key.
    const wire::forwarding_customer* find_customer(std::string_view key) const;
    // Null for an unknown name.
    const wire::forwarding_service* find_service(std::string_view name) const;

    // The shortest target latency of the streams of a service, in milliseconds;
    // zero if none has a target.
    std::uint32_t shortest_stream_target(std::string_view service) const;

    const wire::forwarding_table& table() const { return *this->held_table; }

private:
    const std::shared_ptr<const wire::forwarding_table> held_table;
    // Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const wire::forwarding_route*>>
        by_host;
    std::unordered_map<std::string, const wire::forwarding_customer*> by_key;
    std::map<std::string, const wire::forwarding_service*, std::less<>>
        by_service;
    std::map<std::string, std::uint32_t, std::less<>> stream_targets;
};

// Name of a service, drawn among the route's targets by weight. The sum of the
// weights must be positive.
const std::string&
pick_target(const wire::forwarding_route& route, base::random_source& random);

} // namespace oleanderhinge::gateway
