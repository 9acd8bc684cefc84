// The configuration that operators state and every node applies.
//
// Example:
//   configuration config;
//   apply(config, change{put_route{r}}, revision{1});
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/wire/archive.hpp"
#include "oleanderhinge/wire/forwarding.hpp"
#include "oleanderhinge/wire/forwarding_patch.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhinge::wire
{

// What an entry node does with new requests of a route while it has no
// confirmed configuration.
enum class isolation_policy : std::uint8_t {
    refuse,
    // Goes on with the last configuration for at most 3,600 s. Only for model
    // routes.
    serve_last,
};

// A route: a model pipeline or a plain service, and the work it serves.
struct route {
    base::route_id id;
    base::route_kind kind = base::route_kind::model;
    // Model routes.
    base::model_id model;
    std::string version;
    std::string adapter;
    std::uint32_t layer_count = 0;
    // Service routes: name that the agents announce.
    std::string service;
    // Service routes: whether a call may be sent a second time after
    // `may_have_run`.
    bool idempotent = false;
    base::rank work_rank = base::rank::standard;
    // Targets in milliseconds; 0 means none.
    std::uint32_t first_token_target_ms = 0;
    std::uint32_t token_target_ms = 0;
    // Limit for the whole request, in milliseconds.
    std::uint32_t request_timeout_ms = 60000;
    isolation_policy isolation = isolation_policy::refuse;
    // Revision that changed this object last; set by the system.
    base::revision modified;

    bool operator==(const route&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->kind, this->model, this->version);
        archive(this->adapter, this->layer_count, this->service);
        archive(this->idempotent, this->work_rank);
        archive(this->first_token_target_ms, this->token_target_ms);
        archive(this->request_timeout_ms, this->isolation, this->modified);
    }
};

// A customer and its credential.
struct customer {
    base::customer_id id;
    // SHA-256 of the bearer token, in hexadecimal. The token is not stored.
    std::string credential_sha256;
    // Share relative to other customers of the same rank; at least 1.
    std::uint32_t weight = 1;
    // Routes that it may use; empty means all.
    std::vector<base::route_id> routes;
    base::revision modified;

    bool operator==(const customer&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->credential_sha256, this->weight);
        archive(this->routes, this->modified);
    }
};

// What a backend server is ordered to hold and whether it drains.
struct server_order {
    base::backend_server_id server;
    bool draining = false;
    // Empty model: no order to load.
    base::model_id model;
    std::string version;
    std::string adapter;
    base::layer_range layers;
    // Set by the system; grows with each change of this object.
    base::fencing_number number;
    base::revision modified;

    bool operator==(const server_order&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->draining, this->model, this->version);
        archive(this->adapter, this->layers, this->number, this->modified);
    }
};

// Least share of each rank while another floods, in percent; sum at most 100.
struct rank_shares {
    std::uint32_t urgent = 50;
    std::uint32_t standard = 20;
    std::uint32_t deferrable = 10;
    base::revision modified;

    bool operator==(const rank_shares&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->urgent, this->standard, this->deferrable);
        archive(this->modified);
    }
};

// The whole configuration at one revision.
struct configuration {
    base::revision at;
    std::map<base::route_id, route> routes;
    std::map<base::customer_id, customer> customers;
    std::map<base::backend_server_id, server_order> orders;
    rank_shares shares;
    forwarding_table forwarding;

    bool operator==(const configuration&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->at, this->routes, this->customers, this->orders);
        archive(this->shares, this->forwarding);
    }
};

// One change of one object; a plan and a configuration update are lists of
// them.
struct put_route {
    route value;
    bool operator==(const put_route&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

struct remove_route {
    base::route_id id;
    bool operator==(const remove_route&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id);
    }
};

struct put_customer {
    customer value;
    bool operator==(const put_customer&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

struct remove_customer {
    base::customer_id id;
    bool operator==(const remove_customer&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id);
    }
};

struct put_order {
    server_order value;
    bool operator==(const put_order&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

struct remove_order {
    base::backend_server_id server;
    bool operator==(const remove_order&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server);
    }
};

struct put_shares {
    rank_shares value;
    bool operator==(const put_shares&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

// Replaces the forwarding table. Not an intent of a plan: the operators of the
// platform send whole tables, which count as confirmed.
struct put_forwarding {
    forwarding_table value;
    bool operator==(const put_forwarding&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

// Replaces the forwarding table by the difference from the one before; part of
// configuration updates only.
struct patch_forwarding {
    forwarding_patch value;
    bool operator==(const patch_forwarding&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->value);
    }
};

using change = std::variant<
    put_route,
    remove_route,
    put_customer,
    remove_customer,
    put_order,
    remove_order,
    put_shares,
    put_forwarding,
    patch_forwarding>;

// Whether the change can be applied: a patch needs the table that it was made
// for.
bool fits(const configuration& config, const change& item);

// Applies one change and stamps the object with `at`. Sets `config.at`.
// Precondition: `fits`.
void apply(configuration& config, const change& item, base::revision at);

// Name of the changed object for messages, for example "route diagnose".
std::string object_name(const change& item);

// Revision that changed the object last; zero if there is no such object.
base::revision last_modified(const configuration& config, const change& item);

} // namespace oleanderhinge::wire
