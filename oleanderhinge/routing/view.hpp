// What an entry node knows of the backend servers when it chooses one.
//
// The owner feeds the view with announcements, load reports, its own
// dispatches and their outcomes. The view indexes servers by model, version,
// adapter and layer range, and by data centre and region inside each, so that
// the cost of a choice does not grow with the number of servers.
//
// The functions are not thread-safe; the owner locks.
//
// Example:
//   view v;
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

// A backend server as announced.
struct server_info {
    base::backend_server_id id;
    base::incarnation agent_incarnation;
    wire::endpoint agent;
    base::data_centre_id data_centre;
    base::region_id region;
    wire::server_state state = wire::server_state::starting;
    base::route_kind kind = base::route_kind::model;
    // Model servers.
    base::model_id model;
    std::string version;
    std::vector<std::string> adapters;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
    // Relative speed of the accelerator.
    std::uint32_t speed_percent = 100;
    // Plain services.
    std::string service;
    wire::load_report load;
    // The server counts as gone from this time on; see
    // `view_options::server_lease`.
    base::time_point expires = base::time_point::max();
};

// The part of an announcement that the view needs.
server_info
to_server_info(const wire::announcement& message, base::time_point expires);

struct view_options {
    // Costs of one hop between stages, in microseconds; a hundredfold range.
    double same_data_centre_us = 300;
    double same_region_us = 2000;
    double other_region_us = 30000;
    // Step time of an idle server of 100% speed before its first report.
    double default_step_us = 10000;
    // Steps that a request is expected to run, to weigh a wait in the queue
    // against a slower step.
    double expected_steps = 128;
    // A load report does not include what was sent this long before it.
    base::duration report_lag = std::chrono::milliseconds(20);
    // Consecutive failures that eject a server, and the first time it is out.
    std::uint32_t failures_to_eject = 3;
    base::duration ejection_time = std::chrono::seconds(1);
    base::duration max_ejection_time = std::chrono::seconds(30);
    // Length of each step of the return (10%, 25%, 50%).
    base::duration return_step = std::chrono::seconds(1);
    // Candidates that are sampled of each layer range in the caller's data
    // centre; one more comes from its region and one from anywhere.
    std::uint32_t candidates = 2;
    // Weights of slots in use and of waiting work in the cost of a server, in
    // steps per limit. Waiting work delays the first token, so it weighs more.
    double busy_weight = 2;
    double waiting_weight = 8;
    // Growth of the cost for each consecutive failure before ejection, for
    // `failure_memory` after the last one. Without an end, a server that is
    // never chosen again could never prove itself.
    double failure_weight = 4;
    base::duration failure_memory = std::chrono::seconds(1);
    // Growth of the cost while the server asks for a pause, and the longest
    // pause that is granted to it.
    double refusal_weight = 4;
    base::duration max_refusal_memory = std::chrono::seconds(1);
    // Most that a warm prefix is worth, as a share of the server's cost, and
    // the steps that the prefill of one block takes.
    double max_prefix_worth = 0.3;
    double prefill_steps_per_block = 2;
    prefix_options prefixes;
    // Mechanisms that the benchmark switches off one at a time.
    bool load_correction = true;
    bool prefix_worth = true;
};

namespace internal
{

using slot = std::uint32_t;

// Servers of one layer range, or of one plain service.
struct group {
    std::vector<slot> all;
    std::unordered_map<base::data_centre_id, std::vector<slot>> by_data_centre;
    std::unordered_map<base::region_id, std::vector<slot>> by_region;
};

struct server_entry {
    server_info info;
    bool used = false;
    // Requests that this node sent and that no report includes, oldest first,
    // and the number that ended since the last report.
    std::vector<base::time_point> sent;
    std::uint32_t ended = 0;
    std::uint32_t consecutive_failures = 0;
    base::time_point last_failure;
    // Ejections without a full return in between; 0 means not ejected.
    std::uint32_t ejections = 0;
    base::time_point ejected_until;
    // Until when the server asked not to be sent work of a rank.
    std::array<base::time_point, base::rank_count> refused_until{};
};

// Model, version, adapter.
using model_key = std::tuple<base::model_id, std::string, std::string>;

// Ordered by first layer, as the search for a chain visits them.
using layer_groups = std::map<base::layer_range, group>;

} // namespace internal

// State of the view. Change it only through the functions below.
struct view {
    view_options options;
    std::vector<internal::server_entry> servers;
    std::vector<internal::slot> unused;
    std::unordered_map<base::backend_server_id, internal::slot> by_id;
    std::map<internal::model_key, internal::layer_groups> models;
    std::map<std::string, internal::group> services;
    prefix_index prefixes;
};

// Adds or replaces a server. A new incarnation resets what this node knows of
// its load and failures.
void put_server(view& v, const server_info& info, base::time_point now);
void remove_server(view& v, const base::backend_server_id& id);

// A load report that arrived with an announcement or an answer. Ignored for an
// unknown server or another incarnation.
void update_load(
    view& v,
    const base::backend_server_id& id,
    base::incarnation agent_incarnation,
    const wire::load_report& load,
    base::time_point now);

// This node sent a request (an attempt or a call) to the server.
void note_sent(
    view& v, const base::backend_server_id& id, base::time_point now);
// A request that this node sent has ended; it no longer counts as load.
void note_ended(view& v, const base::backend_server_id& id);

// The server refused work of a rank for overload. It is chosen less for this
// rank until `retry_after` has passed.
void note_refused(
    view& v,
    const base::backend_server_id& id,
    base::rank work_rank,
    std::chrono::milliseconds retry_after,
    base::time_point now);

// Outcome of a request at the server, for ejection. A refusal for overload is
// not a failure.
void note_success(
    view& v, const base::backend_server_id& id, base::time_point now);
void note_failure(
    view& v, const base::backend_server_id& id, base::time_point now);

// Estimated requests at the server: its last report, plus what this node sent
// since, less what ended since.
double estimated_requests(const view& v, const base::backend_server_id& id);

// Share of its normal traffic that the server gets at `now`: 0 while it is
// ejected, unknown, expired or not serving, then 0.1, 0.25, 0.5, 1.
double traffic_share(
    const view& v, const base::backend_server_id& id, base::time_point now);

} // namespace oleanderhinge::routing
