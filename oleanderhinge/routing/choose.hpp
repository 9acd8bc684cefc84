// Choice of a chain of model servers, or of a server of a plain service.
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
    // Empty: the model without an adapter.
    std::string adapter;
    base::rank work_rank = base::rank::standard;
    // Layers of the model; the ranges of the chain cover [0, layer_count).
    std::uint32_t layer_count = 0;
    // Place of the entry node.
    base::data_centre_id data_centre;
    base::region_id region;
    // Servers that already failed or refused this request.
    std::vector<base::backend_server_id> avoid;
    // See `prefix_hashes`; empty if the prompt is of no interest.
    std::vector<prefix_hash> prefixes;
};

// A chain whose ranges cover [0, layer_count) without gap or overlap.
struct chain {
    std::vector<wire::stage> stages;
    // Estimated cost of one token step and its share of the waiting, in
    // microseconds.
    double cost_us = 0;
};

struct service_query {
    std::string service;
    base::rank work_rank = base::rank::standard;
    base::data_centre_id data_centre;
    base::region_id region;
    std::vector<base::backend_server_id> avoid;
};

struct server_choice {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    wire::endpoint agent;
    double cost_us = 0;
};

// Fails with `unavailable` if no chain of usable servers covers the model; the
// detail names how many layers are covered. A server that is ejected is used
// only if its stage has no other.
base::result<chain> choose_chain(
    const view& v,
    const chain_query& query,
    base::random_source& random,
    base::time_point now);

// Fails with `unavailable` if no usable server offers the service.
base::result<server_choice> choose_server(
    const view& v,
    const service_query& query,
    base::random_source& random,
    base::time_point now);

} // namespace oleanderhinge::routing
