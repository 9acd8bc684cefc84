// Finds the route of a request and the customer of a key in a forwarding
// table.
//
// Example:
//   route_index index(table);
//   const auto* route = index.find_route("a.example", "/rota/today?x=1");
//   const auto& service = pick_target(*route, random);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/wire/forwarding.hpp"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::gateway
{

// Immutable; one for each version of the table.
class route_index
{
public:
    explicit route_index(wire::forwarding_table table_in);
    route_index(const route_index&) = delete;
    route_index& operator=(const route_index&) = delete;

    // The route of the host (a port is ignored, case too) with the longest
    // prefix of the path; null if there is none.
    const wire::forwarding_route*
    find_route(std::string_view host, std::string_view target) const;
    // Null for an unknown key.
    const wire::forwarding_customer* find_customer(std::string_view key) const;
    const wire::forwarding_service* find_service(std::string_view name) const;

    const wire::forwarding_table& table() const { return this->held; }

private:
    const wire::forwarding_table held;
    // Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const wire::forwarding_route*>>
        by_host;
    std::unordered_map<std::string, const wire::forwarding_customer*> by_key;
    std::map<std::string, const wire::forwarding_service*, std::less<>>
        by_service;
};

// A target of the route, drawn by weight. The route has a positive weight.
const std::string&
pick_target(const wire::forwarding_route& route, base::random_source& random);

} // namespace oleanderhinge::gateway
