// The forwarding table: which requests an entry gateway passes to which
// service, for which customers, and how the engines of a service behave.
//
// It is replaced as a whole; the highest version is in force.
//
// Example:
//   forwarding_table table;
//   table.version = 7;
//   table.routes.push_back({.name = "rota", .host = "a.example",
//                           .path_prefix = "/rota/"});
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::wire
{

// What may be repeated after a request may have run.
enum class repeat_rule : std::uint8_t {
    // A request may run several times.
    idempotent,
    // A request may run once at most.
    at_most_once,
    // A stream that another server may continue after its last event.
    resumable,
};

struct route_target {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const route_target&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->weight);
    }
};

struct forwarding_route {
    std::string name;
    std::string host;
    // Begins and ends with a slash; the longest one that begins the path wins.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    // Answers are event streams.
    bool streaming = false;
    // Requests without a customer's key are served.
    bool anonymous = false;
    // Longest time that a caller may be kept waiting.
    std::uint32_t timeout_ms = 0;
    // First event of a stream, whole answer otherwise; 0 means none.
    std::uint32_t target_latency_ms = 0;
    // Longest pause between events for an answer that is on time; 0: none.
    std::uint32_t largest_gap_ms = 0;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Servers that one request may be sent to.
    std::uint32_t attempts = 1;
    std::vector<route_target> targets;

    bool operator==(const forwarding_route&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->name, this->host, this->path_prefix, this->repeat);
        archive(this->streaming, this->anonymous, this->timeout_ms);
        archive(this->target_latency_ms, this->largest_gap_ms);
        archive(this->priority, this->attempts, this->targets);
    }
};

// A kind of accelerator.
struct accelerator_kind {
    std::string name;
    double memory_mb = 0;
    // Factor on the time of generation steps and on context.
    double step_factor = 1;
    // Factor on the time of reading prompts.
    double read_factor = 1;

    bool operator==(const accelerator_kind&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->name, this->memory_mb, this->step_factor);
        archive(this->read_factor);
    }
};

// How the model engines of a service behave, as their operator states it.
struct engine_profile {
    std::uint32_t slots = 0;
    std::uint32_t layer_count = 0;
    double layer_mb = 0;
    // Cache of one token over all layers, in bytes.
    double cache_bytes_per_token = 0;
    // Loading a whole model, in seconds.
    double load_seconds = 0;
    // Loads beyond this number slow each other down.
    std::uint32_t loads_at_once = 1;
    double step_ms = 0;
    double step_ms_per_request = 0;
    double step_ms_per_1000_context = 0;
    double read_tokens_per_second = 0;
    // Bytes of one token between two servers of a path.
    double activation_bytes = 0;
    // Link that all transfers between two data centres share, in Mbit/s.
    double data_centre_link_mbps = 0;
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    std::vector<accelerator_kind> kinds;

    bool operator==(const engine_profile&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->slots, this->layer_count, this->layer_mb);
        archive(this->cache_bytes_per_token, this->load_seconds);
        archive(this->loads_at_once, this->step_ms);
        archive(this->step_ms_per_request, this->step_ms_per_1000_context);
        archive(this->read_tokens_per_second, this->activation_bytes);
        archive(this->data_centre_link_mbps, this->usual_prompt_tokens);
        archive(this->usual_answer_tokens, this->kinds);
    }
};

struct forwarding_service {
    std::string name;
    std::string health_path;
    // Connections that one server accepts from all callers together.
    std::uint32_t connection_limit = 0;
    // Present if the servers are engines that hold ranges of layers.
    std::optional<engine_profile> engine;

    bool operator==(const forwarding_service&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->name, this->health_path, this->connection_limit);
        archive(this->engine);
    }
};

struct forwarding_customer {
    base::customer_id id;
    std::vector<std::string> keys;
    // Goes before the priority of the route; empty: the route decides.
    std::optional<std::uint32_t> priority;

    bool operator==(const forwarding_customer&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->keys, this->priority);
    }
};

struct forwarding_table {
    // Zero: none was accepted yet.
    std::uint64_t version = 0;
    std::vector<forwarding_route> routes;
    std::vector<forwarding_service> services;
    // With customers, routes that are not anonymous need a key.
    std::vector<forwarding_customer> customers;
    bool needs_keys = false;
    // Revision of the configuration that brought this table; set by the
    // system.
    base::revision modified;

    bool operator==(const forwarding_table&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->version, this->routes, this->services);
        archive(this->customers, this->needs_keys, this->modified);
    }
};

// The place of a server in the plan for a service with engines.
struct server_place {
    std::string address;
    std::uint16_t port = 0;
    base::data_centre_id data_centre;
    std::string kind;
    double memory_mb = 0;
    base::layer_range layers;

    bool operator==(const server_place&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->address, this->port, this->data_centre, this->kind);
        archive(this->memory_mb, this->layers);
    }
};

// State of an engine, some hundred milliseconds old when it is read.
struct engine_load {
    // Factor on all times; above 1 the server is slow.
    double slowness = 1;
    // Cache in tokens times layers: in use, and in total.
    std::uint64_t cache_used = 0;
    std::uint64_t cache_total = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Layers that it holds now; a report of the server may say so later.
    base::layer_range layers;

    bool operator==(const engine_load&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->slowness, this->cache_used, this->cache_total);
        archive(this->running, this->waiting, this->layers);
    }
};

// What a backend server last said of itself, with the age of that knowledge.
enum class reported_state : std::uint8_t { ready, draining, gone };

struct server_record {
    base::backend_server_id id;
    // Start of the server's process in Unix milliseconds; orders the
    // processes that used one id.
    std::uint64_t started_ms = 0;
    // Grows with each report of one process.
    std::uint64_t sequence = 0;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    base::data_centre_id data_centre;
    std::uint32_t slots = 0;
    reported_state state = reported_state::ready;
    // Accelerator; empty for plain services.
    std::string kind;
    // Layers that are loaded; empty range: none.
    base::layer_range layers;
    // Time since the report arrived at control.
    std::uint32_t age_ms = 0;
    // Known for engines that control has asked.
    std::optional<engine_load> load;

    bool operator==(const server_record&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->started_ms, this->sequence, this->service);
        archive(this->address, this->port, this->data_centre, this->slots);
        archive(this->state, this->kind, this->layers, this->age_ms);
        archive(this->load);
    }
};

} // namespace oleanderhinge::wire
