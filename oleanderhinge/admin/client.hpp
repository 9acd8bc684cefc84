// Calls of the admin API from the command line.
//
// Example:
//   client control{{.endpoints = {{"127.0.0.1", 7601}}, .token = token}};
//   auto answer = control.call("GET", "/v1/routes");
//   if (answer.status != 200) return exit_code(answer);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::admin
{

// Exit codes of the program.
inline constexpr int exit_ok = 0;
// The request was refused or is invalid.
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;
// An object was changed by somebody else.
inline constexpr int exit_conflict = 3;
// No control node could answer.
inline constexpr int exit_unavailable = 4;

struct client_options {
    std::vector<wire::endpoint> endpoints;
    std::string token;
    // For one call to one endpoint.
    std::chrono::milliseconds call_timeout{10000};
    // For all attempts together; covers the election of a new leader.
    std::chrono::milliseconds total_timeout{15000};
    // Between two rounds over all endpoints.
    std::chrono::milliseconds pause{500};
};

struct reply {
    // HTTP status; 0 if no node answered.
    unsigned status = 0;
    // Null unless the body is JSON.
    boost::json::value body;
    std::string text;
    // Why no node answered.
    std::string detail;
};

// Calls each endpoint in turn, follows redirects to the leader, and goes on
// while nodes are unreachable or have no quorum. A request may therefore
// arrive twice; all requests of the admin API bear that.
reply call(
    const client_options& options,
    const std::string& method,
    const std::string& path,
    const std::string& body = {});

int exit_code(const reply& answer);

// "127.0.0.1:7601,127.0.0.1:7602"; fails with `malformed`.
base::result<std::vector<wire::endpoint>>
parse_endpoints(std::string_view text);

} // namespace oleanderhinge::admin
