// JSON of the admin API: parses the bodies of requests, and formats plans and
// configuration objects.
//
// Example:
//   auto request = parse_plan_request(body);
//   if (!request.faults.empty()) ...
//   std::string text = serialize(to_json(plan));
#pragma once

#include "oleanderhinge/control_state/state.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::control
{

// Body of POST /v1/plans.
struct plan_request {
    // Empty if the server has to choose one.
    base::plan_id id;
    std::vector<wire::change> intents;
    // Each names the path in the body, the field and the allowed values. Empty
    // if the body is valid.
    std::vector<std::string> faults;
};

plan_request parse_plan_request(std::string_view body);

// Body of POST /v1/members.
struct member_request {
    replica::member added;
    std::vector<std::string> faults;
};

member_request parse_member_request(std::string_view body);

boost::json::value to_json(const wire::route& item);
boost::json::value to_json(const wire::customer& item);
boost::json::value to_json(const wire::server_order& item);
boost::json::value to_json(const wire::rank_shares& item);
boost::json::value to_json(const control_state::plan& item);
boost::json::value to_json(const replica::member& item);
boost::json::value to_json(const control_state::plan_conflict& item);

// Formats an endpoint as "127.0.0.1:7501"; empty for port 0.
std::string to_text(const wire::endpoint& item);

} // namespace oleanderhinge::control
