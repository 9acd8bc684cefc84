// Commands of the replicated state machine and their replies.
//
// `apply` is the only function that changes the state. It is deterministic:
// the time and every configurable limit are fields of the command, set by its
// proposer. Each command may be applied again after a lost answer and then
// gets the first result.
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

// Makes a plan from intents. The id is chosen by the operator's client or the
// proposer; the same id with the same intents returns the first plan.
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

// Puts a plan in force, as one new revision.
struct confirm_plan {
    base::plan_id id;
    std::uint64_t now_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->id, this->now_ms);
    }
};

// Claims an idempotency key for `owner`.
struct claim {
    claim_key key;
    wire::digest request_digest{};
    base::request_id owner;
    std::uint64_t now_ms = 0;
    std::uint64_t retention_ms = 0;
    // Limits of the table of claims.
    std::uint64_t max_claims = 0;
    std::uint64_t max_bytes = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->request_digest, this->owner, this->now_ms);
        archive(this->retention_ms, this->max_claims, this->max_bytes);
    }
};

// Records how a claimed call ended. A `not_run` outcome releases the claim.
struct record_outcome {
    claim_key key;
    base::request_id owner;
    base::verdict failure;
    wire::response answer;
    // Above this size of the table only the verdict is kept.
    std::uint64_t max_bytes = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->owner, this->failure, this->answer);
        archive(this->max_bytes);
    }
};

// Drops claims and plans that are older than their retention.
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

// Puts a forwarding table in force if its version is the highest so far.
struct replace_forwarding {
    wire::forwarding_table table;
    // The table as its operator sent it.
    std::string document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->table, this->document);
    }
};

// Keeps the places of a plan for the leader's successors.
struct record_places {
    std::string service;
    std::vector<wire::server_place> places;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->service, this->places);
    }
};

using command = std::variant<
    create_plan,
    confirm_plan,
    claim,
    record_outcome,
    expire,
    replace_forwarding,
    record_places>;

// Reply to `create_plan`.
struct plan_reply {
    enum class outcome : std::uint8_t {
        created,
        // The same request was applied before.
        repeated,
        // See `faults`.
        invalid,
        // The id belongs to a plan with other intents.
        id_taken,
        // Too many plans are kept.
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
        // There is no such plan, or it has expired.
        unknown_plan,
        // The configuration would not fit into one frame.
        too_large,
    };

    outcome result = outcome::unknown_plan;
    // An earlier confirmation gave this result.
    bool repeated = false;
    plan content;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->result, this->repeated, this->content);
    }
};

// Reply to `claim`. Only `granted` allows the owner to send the call.
struct claim_result {
    wire::claim_state state = wire::claim_state::unavailable;
    // The owner held the claim before.
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
    // False if the owner holds no such claim.
    bool stored = false;
    bool repeated = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->stored, this->repeated);
    }
};

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
    // False if the version in force is as high or higher; nothing changed.
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

// The command could not be decoded; nothing changed.
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
    places_reply>;

// Applies a committed command. `index` is its place in the log; a command at
// or below `target.applied` is a programming error and throws
// std::logic_error.
reply apply(state& target, const command& item, base::log_index index);

// Applies an encoded command; a malformed one only moves `applied`.
reply apply_encoded(
    state& target, std::string_view bytes, base::log_index index);

std::string encode(const command& item);
base::result<command> decode_command(std::string_view bytes);
std::string encode(const reply& item);
base::result<reply> decode_reply(std::string_view bytes);

} // namespace oleanderhinge::control_state
