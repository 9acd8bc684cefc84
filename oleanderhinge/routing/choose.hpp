// Selects the pipeline of model servers, or the server of a plain service, that
// a request is sent to.
//
// A chain has one server for each of its layer ranges. Selection samples a few
// servers of each range and takes the path of least estimated cost over them.
//
// Example:
//   chain_query query{.model = route.model, .version = route.version,
//                     .layer_count = route.layer_count};
//   base::result<chain> chosen = choose_chain(view, query, random, now);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/routing/view.hpp"

#include <string>
#include <vector>

namespace oleanderhinge::routing
{

struct chain_query {
    base::model_id model;
    std::string version;
    // Empty for the base model without an adapter.
    std::string adapter;
    base::rank work_rank = base::rank::standard;
    // Number of layers of the model.
    std::uint32_t layer_count = 0;
    // Location of the entry node.
    base::data_centre_id data_centre;
    base::region_id region;
    // Servers that are never selected.
    std::vector<base::backend_server_id> avoid;
    // Servers that are selected only if there is no chain without them.
    std::vector<base::backend_server_id> last_resort;
    // Result of `prefix_hashes` for the prompt; empty to ignore cached
    // prefixes.
    std::vector<prefix_hash> prefixes;
};

// Stages in order; their layer ranges cover [0, layer_count) without gap or
// overlap.
struct chain {
    std::vector<wire::stage> stages;
    // Estimated cost of one token step, in microseconds: the step times of the
    // servers, raised for load, queues and failures and lowered for cached
    // prefixes, and the hops up to the last stage.
    double cost_us = 0;
};

struct service_query {
    std::string service;
    base::rank work_rank = base::rank::standard;
    // Location of the entry node.
    base::data_centre_id data_centre;
    base::region_id region;
    // Servers that have failed or refused this request; never selected.
    std::vector<base::backend_server_id> avoid;
};

struct server_choice {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    wire::endpoint agent;
    // Estimated cost of one call, in microseconds, including the hop to the
    // server.
    double cost_us = 0;
};

// Selects a chain for the query. Fails with `unavailable` if no server
// announces the model, version and adapter, or if no chain of usable servers
// covers all layers; the detail of the latter says up to which layer servers
// were found. An ejected server is selected only if its layer range has no
// other candidate.
base::result<chain> choose_chain(
    const server_view& v,
    const chain_query& query,
    base::random_source& random,
    base::time_point now);

// Selects a server of the service. Fails with `unavailable` if no usable server
// offers it. An ejected server is selected only if there is no other candidate.
base::result<server_choice> choose_server(
    const server_view& v,
    const service_query& query,
    base::random_source& random,
    base::time_point now);

} // namespace oleanderhinge::routing
