// The replicated state of the control plane: configuration, plans and claims.
//
// The state changes only through `apply` (commands.hpp). Every container has
// a bound, and each bound is either a constant here or a field of the command,
// so that nodes with different settings never diverge.
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

// Changes kept for deltas to subscribers.
inline constexpr std::size_t max_kept_changes = 1000;
// Intents of one plan. A plan always fits into the kept changes.
inline constexpr std::size_t max_plan_intents = 1000;
// A day of 18,000 plans (docs/design.md, section 1.6) and some room.
inline constexpr std::size_t max_plans = 20000;
inline constexpr std::size_t max_plan_bytes = std::size_t(16) << 20;
// A whole configuration must fit into one frame of 4 MiB.
inline constexpr std::size_t max_configuration_bytes = std::size_t(3) << 20;
// Removals that are remembered, so that a plan with an older base conflicts.
inline constexpr std::size_t max_removals = 10000;
// Length of identifiers and of other texts of an object, in bytes.
inline constexpr std::size_t max_text = 128;
inline constexpr std::size_t max_key = 255;
// Largest answer that is kept as the outcome of a claim, in bytes.
inline constexpr std::size_t max_answer_bytes = std::size_t(64) << 10;
// A UUIDv7 key may be ahead of the clock of control by this much.
inline constexpr std::uint64_t max_key_lead_ms = 10 * 60 * 1000;

enum class plan_status : std::uint8_t {
    // Waits for its confirmation.
    open,
    confirmed,
    // The confirmation was refused, since an object had changed.
    conflicted,
};

// One intent of a plan with the object's value when the plan was made.
struct planned_change {
    // A `put_*` with the value; empty if the object did not exist.
    std::optional<wire::change> before;
    wire::change after;

    bool operator==(const planned_change&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->before, this->after);
    }
};

// An object that changed after the base revision of a plan.
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
    // Revision of the configuration when the plan was made.
    base::revision base_revision;
    std::uint64_t created_ms = 0;
    std::vector<planned_change> changes;
    plan_status status = plan_status::open;
    // Revision that the confirmation made; zero unless `confirmed`.
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

// The right of one request to send a call that may not be repeated.
struct claim_record {
    base::request_id owner;
    wire::digest request_digest{};
    // Time of the claim, or the time in a UUIDv7 key if that is later.
    std::uint64_t claimed_ms = 0;
    bool finished = false;
    // Meaningful when `finished`; `failure.code` is `none` when `answer` holds
    // the response of the service.
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

struct state {
    // Index of the last applied command.
    base::log_index applied;
    // Largest time of any command; never goes back, whatever the clocks of
    // successive leaders say.
    std::uint64_t clock_ms = 0;
    wire::configuration config;
    // Changes after revision `changes_after`, oldest first. A revision is
    // kept as a whole or not at all.
    std::deque<std::pair<base::revision, wire::change>> changes;
    base::revision changes_after;
    // Revision that removed an object that does not exist now, by name.
    std::map<std::string, base::revision> removals;
    // Text of `config.forwarding` as its operator sent it, for reading back.
    std::string forwarding_document;
    // Places of the plan for each service with engines.
    std::map<std::string, std::vector<wire::server_place>> places;
    // Removals up to this revision may be forgotten; a plan with a lower base
    // conflicts if its object does not exist.
    base::revision removals_after;
    std::map<base::plan_id, plan> plans;
    std::size_t plan_bytes = 0;
    std::map<claim_key, claim_record> claims;
    std::size_t claim_bytes = 0;
    // Claims before this time were dropped; keys that are older are refused.
    std::uint64_t claims_after_ms = 0;

    bool operator==(const state&) const = default;
};

} // namespace oleanderhinge::control_state
