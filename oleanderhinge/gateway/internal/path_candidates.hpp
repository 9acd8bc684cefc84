// The paths that a request may take, before one is chosen. Internal to the
// choice of servers.
//
// Example:
//   auto candidates = find_candidates(selector, service, tried, now);
#pragma once

#include "oleanderhinge/gateway/server_choice.hpp"

#include <set>
#include <vector>

namespace oleanderhinge::gateway
{

bool is_ejected(
    const server_selector& selector,
    const wire::endpoint& server,
    base::time_point now);

// `running_at` is the server of a running request, which its signals do not
// concern; null: none.
std::vector<fleet::path_server> path_servers(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool include_ejected,
    base::time_point now,
    const base::backend_server_id* running_at);

// The cheapest path from each server that can be the first; with ejected
// servers only if there is no other, and likewise with a change of the data
// centre.
std::vector<server_selector::candidate> find_candidates(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    base::time_point now);

bool first_has_permit(
    const server_selector& selector,
    const server_selector::candidate& item,
    base::time_point now);

// The candidates whose first server has a permit left. If none has, those that
// `find_candidates` has left out in favour of them.
std::vector<server_selector::candidate> find_permitted(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::vector<server_selector::candidate> candidates,
    base::time_point now);

} // namespace oleanderhinge::gateway
