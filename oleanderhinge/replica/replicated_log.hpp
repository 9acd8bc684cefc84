// The interface between the replicated log and the state machine above it.
//
// Example:
//   log.propose(bytes, [](propose_result r) {
//       if (r.state == propose_state::applied) use(r.reply);
//   });
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleanderhinge::replica
{

enum class propose_state : std::uint8_t {
    // Durable on a quorum and applied; `reply` holds the state machine's reply.
    applied,
    // This member is not the leader; nothing was appended.
    not_leader,
    // The command was appended, but leadership was lost, the timeout passed or
    // the node stopped before it was applied. It may be applied later or never.
    unknown,
    // Nothing was appended: too many proposals wait or are uncommitted, the
    // command is too large, leadership is being transferred, an earlier
    // membership change is uncommitted, the member to remove is unknown or the
    // last voter, or the node has stopped.
    unavailable,
};

// Result of a proposal or membership change.
struct propose_result {
    propose_state state = propose_state::unavailable;
    // Set only with `applied`. Membership changes have no reply.
    base::log_index index;
    std::string reply;
};

// Result of a read barrier. If `ok`, the local state machine has applied every
// command that was acknowledged before the barrier was requested, so a local
// read is linearizable.
struct barrier_result {
    bool ok = false;
};

enum class member_role : std::uint8_t {
    follower,
    candidate,
    leader,
    // Replicates but does not vote.
    learner,
    // The membership does not hold this VM with its current disk: the disk was
    // lost, or the member is new. The leader must admit it.
    awaiting_admission,
};

struct member {
    base::vm_id vm;
    // Address for consensus messages.
    wire::endpoint link;
    // Address of the admin API, to which clients are redirected.
    wire::endpoint admin;
    bool voter = true;

    bool operator==(const member&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->vm, this->link, this->admin, this->voter);
    }
};

struct log_status {
    member_role role = member_role::follower;
    base::term current_term;
    // Empty if no leader is known.
    base::vm_id leader;
    base::log_index last_index;
    base::log_index committed;
    base::log_index applied;
    // True on a leader that holds its lease, and on a follower for as long as
    // the lease that its leader last reported is in force.
    bool has_quorum = false;
    // True on a follower that has committed all that its leader had committed
    // when it sent its last message.
    bool has_caught_up = false;
    // Time since a quorum last confirmed the leader, as far as this member
    // knows; UINT32_MAX if unknown.
    std::uint32_t lease_age_ms = 0;
    std::vector<member> members;
};

// Callbacks into the replicated state machine. All calls come from one thread,
// in log order.
struct state_machine {
    // Applies a committed command and returns the reply for its proposer.
    std::function<std::string(base::log_index, const std::string& command)>
        apply;
    // Returns the whole state, in the form that `restore` takes.
    std::function<std::string()> take_snapshot;
    // Replaces the whole state by a snapshot that covers the log up to the
    // index.
    std::function<void(base::log_index, const std::string& snapshot)> restore;
};

// Thread-safe. Callbacks run on a thread of the log, with no lock held. Each
// runs once.
class replicated_log
{
public:
    virtual ~replicated_log() = default;

    // Appends a command if this member is the leader.
    virtual void
    propose(std::string command, std::function<void(propose_result)> done) = 0;
    // `ok` only on a leader that holds its lease.
    virtual void read_barrier(std::function<void(barrier_result)> done) = 0;
    // Adds a member as a learner and makes it a voter once it has caught up if
    // `added.voter` is set. `applied` once that is committed.
    virtual void
    add_member(member added, std::function<void(propose_result)> done) = 0;
    // `applied` once the removal is committed.
    virtual void remove_member(
        base::vm_id removed, std::function<void(propose_result)> done) = 0;
    // The status after the last event that was processed, with the age of the
    // lease at the time of the call.
    virtual log_status status() const = 0;
};

} // namespace oleanderhinge::replica
