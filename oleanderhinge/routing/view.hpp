// The state of the backend servers as known to one entry node, for selection.
//
// The owner updates the view with announcements, load reports, the requests it
// sends and their outcomes. The view indexes servers by model, version, adapter
// and layer range, and within these by data centre and region, so that the time
// of a selection does not grow with the number of servers.
//
// Not thread-safe: the owner serialises all calls.
//
// Example:
//   server_view v;
//   put_server(v, server_info{...}, now);
//   note_sent(v, server, now);
//   auto chosen = choose_chain(v, chain_query{...}, random, now);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/routing/prefix_index.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::routing
{

// A backend server as announced by its agent.
struct server_info {
    base::backend_server_id id;
    base::incarnation agent_incarnation;
    wire::endpoint agent;
    base::data_centre_id data_centre;
    base::region_id region;
    wire::server_state state = wire::server_state::starting;
    base::route_kind kind = base::route_kind::model;
    // For model servers only.
    base::model_id model;
    std::string version;
    std::vector<std::string> adapters;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
    // Speed of the accelerator relative to the reference one, which has 100.
    std::uint32_t speed_percent = 100;
    // For plain services only.
    std::string service;
    wire::load_report load;
    // End of the server's lease; it is not selected from this time on.
    base::time_point expires = base::time_point::max();
};

// Converts an announcement, whose lease ends at `expires`.
server_info
to_server_info(const wire::announcement& message, base::time_point expires);

struct server_view_options {
    // Costs of one hop, in microseconds, by the distance of its ends; they span
    // a factor of 100.
    double same_data_centre_us = 300;
    double same_region_us = 2000;
    double other_region_us = 30000;
    // Step time of an idle server of 100% speed that has not reported one, in
    // microseconds.
    double default_step_us = 10000;
    // Decode steps expected of a request. The discount for a cached prefix is
    // the share of the prefill and decode steps that it saves.
    double expected_steps = 128;
    // Requests sent less than this before a load report arrives are taken as
    // not included in it.
    base::duration report_lag = std::chrono::milliseconds(20);
    // Consecutive failures after which a server is ejected.
    std::uint32_t failures_to_eject = 3;
    // Length of the first ejection; each further one doubles it up to the
    // maximum.
    base::duration ejection_time = std::chrono::seconds(1);
    base::duration max_ejection_time = std::chrono::seconds(30);
    // After an ejection the server gets 10%, 25% and 50% of its traffic, each
    // for this time.
    base::duration recovery_step = std::chrono::seconds(1);
    // Candidates sampled of each layer range in the caller's data centre. One
    // more is sampled from its region and one from all regions, if these have
    // further servers.
    std::uint32_t candidates_per_range = 2;
    // Increase of a server's cost, as a multiple of its step time, when the
    // requests at it, or those that wait, are as many as its slot limit.
    // Waiting work delays the first token, so it weighs more.
    double busy_weight = 2;
    double waiting_weight = 8;
    // Relative increase of the cost for each consecutive failure before
    // ejection, until `failure_penalty_time` after the last one. A penalty
    // without an end would stay on a server that is no longer selected, since
    // only a later request can reset the count.
    double failure_weight = 4;
    base::duration failure_penalty_time = std::chrono::seconds(1);
    // Relative increase of the cost while a refusal for overload is in force,
    // and the upper limit of the `retry_after` that the server asks for.
    double refusal_weight = 4;
    base::duration max_refusal_penalty_time = std::chrono::seconds(1);
    // Largest reduction of a server's cost for a cached prefix, as a share of
    // that cost.
    double max_prefix_discount = 0.3;
    // Time to prefill one block, in decode steps.
    double prefill_steps_per_block = 2;
    prefix_options prefixes;
    // Switches for the benchmark, to compare the policy without one mechanism:
    // counting requests that no load report includes, and preferring servers
    // with a cached prefix.
    bool load_correction = true;
    bool prefix_affinity = true;
};

namespace internal
{

// Index into `server_view::servers`.
using server_index = std::uint32_t;

// Servers of one layer range, or of one plain service.
struct server_group {
    std::vector<server_index> all;
    std::unordered_map<base::data_centre_id, std::vector<server_index>>
        by_data_centre;
    std::unordered_map<base::region_id, std::vector<server_index>> by_region;
};

struct server_entry {
    server_info info;
    // False if this index is free.
    bool occupied = false;
    // Send times of this node's requests that no load report includes, oldest
    // first.
    std::vector<base::time_point> unreported_sends;
    // Requests of this node that ended since the last load report.
    std::uint32_t ended_since_report = 0;
    std::uint32_t consecutive_failures = 0;
    base::time_point last_failure;
    // Ejections since a request last succeeded at the full traffic share. While
    // this is 0, the server is neither ejected nor recovering.
    std::uint32_t consecutive_ejections = 0;
    base::time_point ejected_until;
    // End of the last refusal for overload, by rank.
    std::array<base::time_point, base::rank_count> refused_until{};
};

// Model, version, adapter.
using model_key = std::tuple<base::model_id, std::string, std::string>;

// Ordered by first layer, as the chain search needs them.
using layer_groups = std::map<base::layer_range, server_group>;

} // namespace internal

// To be changed only through the functions below.
struct server_view {
    server_view_options options;
    std::vector<internal::server_entry> servers;
    // Indices of `servers` that hold no server.
    std::vector<internal::server_index> free_indices;
    std::unordered_map<base::backend_server_id, internal::server_index> by_id;
    std::map<internal::model_key, internal::layer_groups> models;
    std::map<std::string, internal::server_group> services;
    prefix_index prefixes;
};

// Adds or replaces a server. If its incarnation, model or service, layers,
// adapters or location changed, its failures, refusals, ejection, unreported
// requests and prefix entries are reset.
void put_server(server_view& v, const server_info& info, base::time_point now);
void remove_server(server_view& v, const base::backend_server_id& id);

// Applies a load report that arrived at `now`. Ignored for an unknown server or
// another incarnation.
void update_load(
    server_view& v,
    const base::backend_server_id& id,
    base::incarnation agent_incarnation,
    const wire::load_report& load,
    base::time_point now);

// Records that this node sent a request (an attempt or a call) to the server.
void note_sent(
    server_view& v, const base::backend_server_id& id, base::time_point now);
// Records that a request that this node sent has ended; it no longer counts as
// load.
void note_ended(server_view& v, const base::backend_server_id& id);

// Records that the server refused work of a rank for overload. Its cost for
// this rank is raised for `retry_after`, at most `max_refusal_penalty_time`.
void note_refused(
    server_view& v,
    const base::backend_server_id& id,
    base::rank work_rank,
    std::chrono::milliseconds retry_after,
    base::time_point now);

// Record the outcome of a request at the server, for ejection. A refusal for
// overload is not a failure.
void note_success(
    server_view& v, const base::backend_server_id& id, base::time_point now);
void note_failure(
    server_view& v, const base::backend_server_id& id, base::time_point now);

// Estimated number of requests at the server: those of its last load report,
// plus the requests that this node sent since, less those that ended since. 0
// for an unknown server.
double
estimated_requests(const server_view& v, const base::backend_server_id& id);

// Share of its normal traffic that the server gets at `now`: 0 while it is
// ejected, unknown, expired or not serving; 0.1, 0.25, 0.5 and then 1 after an
// ejection.
double traffic_share(
    const server_view& v,
    const base::backend_server_id& id,
    base::time_point now);

} // namespace oleanderhinge::routing
