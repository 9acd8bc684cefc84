// The replicated state of the control plane: configuration, plans and claims.
//
// The state changes only through `apply` (commands.hpp). Every limit that
// `apply` enforces is a constant or a field of the command, so that nodes with
// different settings never diverge.
//
// Example:
//   state s;
//   reply r = apply(s, command{create_plan{...}}, log_index{1});
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/configuration.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhinge::control_state
{

// Changes that are kept to send deltas to subscribers.
inline constexpr std::size_t max_kept_changes = 1000;
// A patch of the forwarding table above this size is kept as the whole table.
// Tables may take megabytes, so only the newest whole one is kept; of patches,
// this many.
inline constexpr std::size_t max_patch_bytes = std::size_t(64) << 10;
inline constexpr std::size_t max_kept_patches = 64;
// Intents of one plan. At most `max_kept_changes`, so that the changes of the
// newest plan are always kept.
inline constexpr std::size_t max_plan_intents = 1000;
// Operators create up to 18,000 plans a day (docs/design.md, section 1.6); the
// default retention period is 24 h.
inline constexpr std::size_t max_plans = 20000;
inline constexpr std::size_t max_plan_bytes = std::size_t(16) << 20;
// A full configuration is sent in one frame, which is limited to 4 MiB.
inline constexpr std::size_t max_configuration_bytes = std::size_t(3) << 20;
// Removals that are remembered, so that a plan with an older base revision
// conflicts.
inline constexpr std::size_t max_removals = 10000;
// Reports arrive seconds late, and servers end within minutes of their
// registration; the count bounds the snapshot if a whole fleet is replaced.
inline constexpr std::size_t max_ended_servers = 1024;
inline constexpr std::uint64_t ended_server_retention_ms = 10 * 60 * 1000;
// Length of identifiers and of other texts of an object.
inline constexpr std::size_t max_text_bytes = 128;
// Length of an idempotency key.
inline constexpr std::size_t max_key_bytes = 255;
// Larger responses are not stored with the outcome of a claim.
inline constexpr std::size_t max_answer_bytes = std::size_t(64) << 10;
// A UUIDv7 key whose time is further ahead of `state::clock_ms` is refused.
inline constexpr std::uint64_t max_key_lead_ms = 10 * 60 * 1000;

enum class plan_status : std::uint8_t {
    // Not confirmed yet.
    open,
    confirmed,
    // The confirmation was refused, because an object had changed since the
    // base revision.
    conflicted,
};

// One intent of a plan, with the value of the object when the plan was created.
struct planned_change {
    // The value as a `put_*`; empty if the object did not exist.
    std::optional<wire::change> before;
    wire::change after;

    bool operator==(const planned_change&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->before, this->after);
    }
};

// An object that makes a plan conflict: it is part of the plan and has changed
// since the base revision, or its change broke a reference or the uniqueness of
// a credential in the plan.
struct plan_conflict {
    // For example "route diagnose".
    std::string object;
    base::revision changed_at;

    bool operator==(const plan_conflict&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->object, this->changed_at);
    }
};

struct plan {
    base::plan_id id;
    // Revision of the configuration when the plan was created.
    base::revision base_revision;
    // Milliseconds since the Unix epoch, by `state::clock_ms`.
    std::uint64_t created_ms = 0;
    std::vector<planned_change> changes;
    plan_status status = plan_status::open;
    // Revision that the confirmation created; zero unless `confirmed`.
    base::revision confirmed_at;
    // Not empty if `conflicted`.
    std::vector<plan_conflict> conflicts;

    bool operator==(const plan&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->base_revision, this->created_ms);
        archive(this->changes, this->status, this->confirmed_at);
        archive(this->conflicts);
    }
};

// Identifies a claim. The same idempotency key of another customer or route is
// a different claim.
struct claim_key {
    base::customer_id customer;
    base::route_id route;
    std::string key;

    auto operator<=>(const claim_key&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->customer, this->route, this->key);
    }
};

// The exclusive right of one request to send a call that must not run twice,
// and the outcome of the call.
struct claim_record {
    base::request_id owner;
    wire::digest request_digest{};
    // Time of the claim or, if later, the time in the UUIDv7 key. Milliseconds
    // since the Unix epoch.
    std::uint64_t claimed_ms = 0;
    bool finished = false;
    // Valid if `finished`. `failure.code` is `none` if `answer` holds the
    // response of the service.
    base::verdict failure;
    wire::response answer;

    bool operator==(const claim_record&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->owner, this->request_digest, this->claimed_ms);
        archive(this->finished, this->failure, this->answer);
    }
};

// A process of a backend server that has ended its registration.
struct ended_server {
    base::backend_server_id id;
    // Start of the process in Unix milliseconds; later processes under the id
    // are not concerned.
    std::uint64_t started_ms = 0;
    // Of the command that recorded the end.
    base::log_index recorded_at;
    std::uint64_t recorded_ms = 0;

    bool operator==(const ended_server&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->started_ms);
        archive(this->recorded_at, this->recorded_ms);
    }
};

struct state {
    // Index of the last applied command.
    base::log_index applied;
    // Largest time in any command, in milliseconds since the Unix epoch. Never
    // decreases, even if the clock of the next leader is behind.
    std::uint64_t clock_ms = 0;
    wire::configuration config;
    // All changes after revision `changes_after`, oldest first. The changes of
    // one revision are kept or dropped together.
    std::deque<std::pair<base::revision, wire::change>> changes;
    base::revision changes_after;
    // Revision that removed each object that does not exist any more, by name.
    std::map<std::string, base::revision> removals;
    // Text of `config.forwarding` as the operator sent it, for reading back.
    std::string forwarding_document;
    // Recorded layer placement of each service with engines.
    std::map<std::string, std::vector<wire::server_place>> places;
    // Oldest first, one for each id. A report of such a process that arrives
    // late does not bring it back, whatever processes have restarted.
    std::deque<ended_server> ended_servers;
    // Removals up to this revision may have been dropped from `removals`. A
    // plan with a lower base revision conflicts if its object existed then and
    // does not exist now.
    base::revision removals_after;
    std::map<base::plan_id, plan> plans;
    // Encoded size of `plans`.
    std::size_t plan_bytes = 0;
    std::map<claim_key, claim_record> claims;
    // Approximate memory of `claims`.
    std::size_t claim_bytes = 0;
    // Claims before this time have been removed. A UUIDv7 key with an earlier
    // time is refused, since its claim may have been among them.
    std::uint64_t claims_after_ms = 0;

    bool operator==(const state&) const = default;
};

} // namespace oleanderhinge::control_state
