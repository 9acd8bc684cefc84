// Events that `step` takes and actions that it returns. A `tag` is chosen by
// the caller and returned in the action that answers the event.
//
// Example:
//   auto actions = step(state, proposals{{{tag, "bytes"}}}, now);
//   // holds accepted{tag, index, term} or rejected{tag, reason}
#pragma once

#include "oleanderhinge/consensus/messages.hpp"

#include <memory>
#include <optional>

namespace oleanderhinge::consensus
{

// --- Events ---------------------------------------------------------------

// Advances the timers. Must come several times per heartbeat interval.
struct tick {
};

// `from` must be authenticated by the transport.
struct message_received {
    vm_id from;
    message content;
};

// A command for the log. Answered by `accepted` or `rejected`.
struct proposal {
    std::uint64_t tag = 0;
    std::string command;
};

// Commands to append in this order.
struct proposals {
    std::vector<proposal> batch;
};

// Linearizable read. Answered by `read_ready` once a quorum has answered a
// message that the leader sent after the read came, or by `rejected`. No clock
// is relied on.
struct read_requested {
    std::uint64_t tag = 0;
};

// Adds a learner, which becomes a voter once it has caught up if `added.voter`
// is set. For an existing member, replaces its endpoints; a voter stays one.
// Answered by `accepted` or `rejected`.
struct member_added {
    std::uint64_t tag = 0;
    member added;
};

// Removes a member. The last voter cannot be removed. Answered by `accepted` or
// `rejected`.
struct member_removed {
    std::uint64_t tag = 0;
    vm_id removed;
};

// All writes up to and including this one are durable.
struct persisted {
    std::uint64_t write_sequence = 0;
};

// The snapshot of the own state machine at `last` is durable, so the log up to
// it may be compacted.
struct snapshot_taken {
    log_index last;
    std::shared_ptr<const std::string> data;
};

// Leadership transfer before a shutdown: the leader lets a voter that has its
// whole log take over. It gives up waiting for one after
// `election_timeout_min`. Followers ignore this.
struct transfer_requested {
};

// Whether the disk refuses writes, since it is full. While it does, this member
// does not stand for election, and as leader hands over to a voter that has
// stored what this member cannot.
struct disk_state {
    bool refuses_writes = false;
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
    transfer_requested,
    disk_state>;

// --- Actions --------------------------------------------------------------

struct send {
    vm_id to;
    message content;
};

// Current term and vote, which must be durable before they have an effect.
struct vote_record {
    term current_term;
    // Empty if this member has not voted in the term.
    vm_id voted_for;

    bool operator==(const vote_record&) const = default;
};

// Make durable in this order: vote, truncation, entries. Then report
// `persisted` with the same write sequence number.
struct persist {
    std::uint64_t write_sequence = 0;
    std::optional<vote_record> vote;
    // Remove the stored entries at this index and after it.
    std::optional<log_index> truncate_from;
    std::vector<entry> entries;
};

// Apply the commands among these committed entries to the state machine, in
// order.
struct apply {
    std::vector<entry> entries;
};

// A snapshot of the state machine at `last`, with the membership in force
// there.
struct snapshot_content {
    log_index last;
    term last_term;
    membership members;
    std::shared_ptr<const std::string> data;
};

// Restore the state machine from the snapshot, and make the snapshot durable in
// place of the whole log. Then report `persisted` with the same write sequence
// number.
struct install_snapshot {
    std::uint64_t write_sequence = 0;
    snapshot_content snapshot;
};

// The proposal was appended to the leader's log. It is committed once an
// `apply` holds the entry with this index and term.
struct accepted {
    std::uint64_t tag = 0;
    log_index index;
    term entry_term;
};

enum class reject_reason : std::uint8_t {
    not_leader,
    // Too many uncommitted entries, a leadership transfer, or a membership
    // change while an earlier one or the term's first entry is uncommitted.
    busy,
    // The command is larger than `limits::max_command_bytes`.
    too_large,
    // Not a member, or the last voter.
    unknown_member,
};

// Nothing was appended.
struct rejected {
    std::uint64_t tag = 0;
    reject_reason reason = reject_reason::not_leader;
};

// The read may be served by the state machine once `after` is applied.
struct read_ready {
    std::uint64_t tag = 0;
    log_index after;
};

enum class role : std::uint8_t { follower, candidate, leader };

// Role, term or known leader changed. Once this member is no longer leader, the
// outcome of proposals that it accepted and has not applied is unknown.
struct role_changed {
    role now = role::follower;
    term current_term;
    // Empty if unknown.
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
