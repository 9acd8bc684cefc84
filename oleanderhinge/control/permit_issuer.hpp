// Divides the requests that servers with a limit take among the gateways.
//
// The leader of control has one token bucket for each server with a limit. The
// rate is the limit; the bucket starts empty and saves at most `permit_burst`.
// Each whole token is a permit for one request. The permits of the servers of a
// service go to gateways in proportion to the requests that these get for it:
// each permit adds the gateway's share to its credit, and the gateway with the
// highest credit gets the permit for one credit. The credit is per service, so
// that servers with equal limits do not all choose the same gateway at a time.
//
// Permits are usable for `fleet::permit_lifetime` T. Those usable in some 4 s
// are issued in 4 s + T, so that at a limit of L requests a second
//   requests in 4 s <= 4 L + permit_burst(L) + L T <= 5.25 L + 3 < 6 L + 5,
// and 6 L + 5 is what a server allows (1.5 times its limit and 5 requests). The
// difference covers delays between control, gateways and servers.
//
// Performs no I/O.
//
// Example:
//   note_demand(issuer, link, demand, now);
//   for (auto& [link, grant] : issue(issuer, servers, now)) send(link, grant);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/fleet/directory.hpp"
#include "oleanderhinge/fleet/server_limits.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

// Demand that has not been reported again for this time is forgotten.
inline constexpr base::duration demand_lifetime = std::chrono::seconds(1);

// Permits that a server with this limit saves while nobody needs them.
constexpr double permit_burst(double per_second)
{
    return 1 + per_second / 4;
}

// A server whose limit is in force.
struct limited_server {
    base::backend_server_id server;
    std::uint64_t started_ms = 0;
    std::string service;
    // Requests a second.
    double per_second = 0;
};

struct permit_issuer {
    struct bucket {
        std::uint64_t started_ms = 0;
        // The limit at `filled`.
        double per_second = 0;
        double tokens = 0;
        base::time_point filled;
    };
    struct demand {
        // Requests a second by service.
        std::map<std::string, double> services;
        base::time_point received;
    };
    std::map<base::backend_server_id, bucket> buckets;
    // By the gateway's link.
    std::map<net::link_id, demand> demands;
    // By service and link, in permits. A gateway keeps its credit while it has
    // no demand.
    std::map<std::string, std::map<net::link_id, double>> credits;
};

// --- Commands ---------------------------------------------------------------

// Replaces what the gateway reported before.
void note_demand(
    permit_issuer& issuer,
    net::link_id gateway,
    const wire::permit_demand& demand,
    base::time_point now);

// The link to the gateway has closed.
void forget_gateway(permit_issuer& issuer, net::link_id gateway);

// Returns the permits that are due, by the gateway's link, for each gateway
// with demand: an empty grant shows it that there is a leader. `limited` has
// all servers with a limit; the others, and earlier processes, are forgotten.
std::map<net::link_id, wire::permit_grant> issue(
    permit_issuer& issuer,
    const std::vector<limited_server>& limited,
    base::time_point now);

// This node does not lead: the next buckets start empty. Demand is kept.
void stop_issuing(permit_issuer& issuer);

// --- Queries ----------------------------------------------------------------

// The servers with a limit whose process is the one in the directory.
std::vector<limited_server> limited_servers(
    const fleet::directory& known,
    const fleet::limit_table& limits,
    base::time_point now);

} // namespace oleanderhinge::control
