// Events that go into `step` and actions that come out.
#pragma once

#include "oleanderhinge/consensus/messages.hpp"

#include <memory>
#include <optional>

namespace oleanderhinge::consensus
{

// --- Events ---------------------------------------------------------------

// Time passed; expected several times in a heartbeat interval.
struct tick {
};

struct message_received {
    vm_id from;
    message content;
};

// Commands for the log, in order. `tag` returns in the actions.
struct proposal {
    std::uint64_t tag = 0;
    std::string command;
};

struct proposals {
    std::vector<proposal> batch;
};

// Answered by `read_ready` or `rejected` with the same tag.
struct read_requested {
    std::uint64_t tag = 0;
};

// Adds a learner, which becomes a voter once it has caught up if
// `added.voter` is set. Answered by `accepted` or `rejected`.
struct member_added {
    std::uint64_t tag = 0;
    member added;
};

struct member_removed {
    std::uint64_t tag = 0;
    vm_id removed;
};

// Everything up to and including the `persist` action with this ticket is
// durable.
struct persisted {
    std::uint64_t ticket = 0;
};

// The state machine's snapshot at `last` is durable; the log may be cut.
struct snapshot_taken {
    log_index last;
    std::shared_ptr<const std::string> data;
};

// The leader hands over to the most current voter; for a shutdown.
struct transfer_requested {
};

using event = std::variant<
    tick,
    message_received,
    proposals,
    read_requested,
    member_added,
    member_removed,
    persisted,
    snapshot_taken,
    transfer_requested>;

// --- Actions --------------------------------------------------------------

struct send {
    vm_id to;
    message content;
};

struct vote_record {
    term current;
    // Empty: no vote in this term.
    vm_id voted_for;

    bool operator==(const vote_record&) const = default;
};

// Make durable in this order: vote, then truncation, then entries. Report
// `persisted` with the ticket.
struct persist {
    std::uint64_t ticket = 0;
    std::optional<vote_record> vote;
    std::optional<log_index> truncate_from;
    std::vector<entry> entries;
};

// Apply the commands among these committed entries, in order.
struct apply {
    std::vector<entry> entries;
};

struct snapshot_content {
    log_index last;
    term last_term;
    membership members;
    std::shared_ptr<const std::string> data;
};

// Restore the state machine, and make the snapshot durable in place of the
// whole log. Report `persisted` with the ticket.
struct install_snapshot {
    std::uint64_t ticket = 0;
    snapshot_content snapshot;
};

// The proposal was appended; it is committed once an `apply` holds the entry
// with this index and term.
struct accepted {
    std::uint64_t tag = 0;
    log_index index;
    term entry_term;
};

enum class reject_reason : std::uint8_t {
    not_leader,
    // Too many entries wait, the leader hands over, or another membership
    // change is under way.
    busy,
    too_large,
    unknown_member,
};

struct rejected {
    std::uint64_t tag = 0;
    reject_reason reason = reject_reason::not_leader;
};

// The read may run once `after` is applied.
struct read_ready {
    std::uint64_t tag = 0;
    log_index after;
};

enum class role : std::uint8_t { follower, candidate, leader };

// Proposals that were accepted in an earlier term have an unknown outcome once
// this member is no longer leader.
struct role_changed {
    role now = role::follower;
    term current;
    vm_id leader;
};

using action = std::variant<
    send,
    persist,
    apply,
    install_snapshot,
    accepted,
    rejected,
    read_ready,
    role_changed>;

} // namespace oleanderhinge::consensus
