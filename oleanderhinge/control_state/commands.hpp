// Commands of the replicated state machine and their replies.
//
// `apply` is the only function that changes the state. It is deterministic:
// the time and every configurable limit are fields of the command, set by its
// proposer. A proposer that lost the reply may propose the command again: it
// takes effect once. Repeated plans, confirmations, claims and outcomes are
// marked as such in their reply.
//
// Example:
//   command c = confirm_plan{plan_id{"7d..."}, now_ms};
//   log.propose(encode(c), ...);
//   // on every node, in log order:
//   reply r = apply(state, c, index);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control_state/state.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oleanderhinge::control_state
{

// Creates a plan from intents. The id is chosen by the operator's client or
// the proposer; the same id with the same intents returns the existing plan.
struct create_plan {
    base::plan_id id;
    std::vector<wire::change> intents;
    std::uint64_t now_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->intents, this->now_ms);
    }
};

// Applies a plan to the configuration as one new revision, or marks it as
// conflicted if an object of the plan has changed since its base revision.
struct confirm_plan {
    base::plan_id id;
    std::uint64_t now_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->now_ms);
    }
};

// Claims an idempotency key for `owner`, so that no other request sends a call
// with this key.
struct claim {
    claim_key key;
    wire::digest request_digest{};
    base::request_id owner;
    std::uint64_t now_ms = 0;
    std::uint64_t retention_ms = 0;
    // Limits of the claim table: entries, and bytes as `claim_bytes` counts
    // them.
    std::uint64_t max_claims = 0;
    std::uint64_t max_bytes = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->request_digest, this->owner, this->now_ms);
        archive(this->retention_ms, this->max_claims, this->max_bytes);
    }
};

// Records how a claimed call ended. A failure that is `not_run` releases the
// claim, so that another request can claim the key.
struct record_outcome {
    claim_key key;
    base::request_id owner;
    base::verdict failure;
    wire::response answer;
    // If the answer would make the claim table larger than this, only the
    // verdict is stored.
    std::uint64_t max_bytes = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->owner, this->failure, this->answer);
        archive(this->max_bytes);
    }
};

// Removes claims and plans that are older than their retention period.
struct expire {
    std::uint64_t now_ms = 0;
    std::uint64_t claim_retention_ms = 0;
    std::uint64_t plan_retention_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->now_ms, this->claim_retention_ms);
        archive(this->plan_retention_ms);
    }
};

// Replaces the forwarding table if the version is higher than the present one.
struct replace_forwarding {
    wire::forwarding_table table;
    // The table as the operator sent it, stored unchanged for reading back.
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->table, this->document);
    }
};

// Stores the layer placement of a service, so that the next leader starts from
// it instead of moving layers.
struct record_places {
    std::string service;
    std::vector<wire::server_place> places;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->places);
    }
};

// Records that a process of a backend server has ended its registration.
struct record_ended_server {
    base::backend_server_id id;
    // As in `ended_server`.
    std::uint64_t started_ms = 0;
    std::uint64_t now_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->started_ms, this->now_ms);
    }
};

using command = std::variant<
    create_plan,
    confirm_plan,
    claim,
    record_outcome,
    expire,
    replace_forwarding,
    record_places,
    record_ended_server>;

// Reply to `create_plan`.
struct plan_reply {
    enum class outcome : std::uint8_t {
        created,
        // The plan already exists with the same intents.
        repeated,
        // The intents failed validation; see `faults`.
        invalid,
        // Another plan with different intents has this id.
        id_taken,
        // The limit on the number or the total size of plans is reached.
        full,
    };

    outcome result = outcome::invalid;
    plan content;
    // One sentence for each fault: field, value and what is allowed.
    std::vector<std::string> faults;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->result, this->content, this->faults);
    }
};

// Reply to `confirm_plan`.
struct confirm_reply {
    enum class outcome : std::uint8_t {
        confirmed,
        conflict,
        // The plan does not exist or has expired.
        unknown_plan,
        // The new configuration would exceed `max_configuration_bytes`. The
        // plan stays open.
        too_large,
    };

    outcome result = outcome::unknown_plan;
    // The result is that of an earlier confirmation.
    bool repeated = false;
    plan content;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->result, this->repeated, this->content);
    }
};

// Reply to `claim`. The owner may send the call only if `state` is `granted`.
struct claim_result {
    wire::claim_state state = wire::claim_state::unavailable;
    // The claim existed before: it is held by the same owner, or is finished.
    bool repeated = false;
    base::verdict failure;
    wire::response answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->state, this->repeated, this->failure, this->answer);
    }
};

// Reply to `record_outcome`.
struct outcome_result {
    // False if the request does not own the claim, or if the claim does not
    // exist; true for a release of a claim that does not exist.
    bool stored = false;
    bool repeated = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->stored, this->repeated);
    }
};

// Reply to `expire`: how many claims and plans were removed.
struct expire_reply {
    std::uint64_t claims = 0;
    std::uint64_t plans = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->claims, this->plans);
    }
};

// Reply to `replace_forwarding`.
struct replace_reply {
    // False if the present version is equal or higher; nothing has changed
    // then.
    bool in_force = false;
    std::uint64_t version_in_force = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->in_force, this->version_in_force);
    }
};

// Reply to `record_places`.
struct places_reply {
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

// Reply to `record_ended_server`.
struct ended_server_reply {
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

// Reply to a command that could not be decoded; only `state::applied` has
// changed.
struct malformed_command {
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->detail);
    }
};

using reply = std::variant<
    malformed_command,
    plan_reply,
    confirm_reply,
    claim_result,
    outcome_result,
    expire_reply,
    replace_reply,
    places_reply,
    ended_server_reply>;

// Applies a committed command. `index` is its index in the log. Throws
// std::logic_error if `index` is not above `target.applied`.
reply apply(state& target, const command& item, base::log_index index);

// Applies an encoded command. A malformed command advances `applied`, changes
// nothing else and gets the reply `malformed_command`.
reply apply_encoded(
    state& target, std::string_view bytes, base::log_index index);

std::string encode(const command& item);
// Fails with `unsupported_version` or with the error of `wire::from_bytes`.
base::result<command> decode_command(std::string_view bytes);
std::string encode(const reply& item);
// Fails with the error of `wire::from_bytes`.
base::result<reply> decode_reply(std::string_view bytes);

} // namespace oleanderhinge::control_state
