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
    // Durable on a quorum and applied; `reply` is the state machine's answer.
    applied,
    // Not the leader; nothing was appended.
    not_leader,
    // Leadership was lost or the time limit passed after the command was
    // appended; it may be applied later or never.
    unknown,
    // The leader has no quorum or too many proposals wait; nothing was
    // appended.
    unavailable,
};

struct propose_result {
    propose_state state = propose_state::unavailable;
    base::log_index index;
    std::string reply;
};

// Result of a read barrier. With `ok`, the local state machine contains every
// command that was acknowledged before the barrier was requested.
struct barrier_result {
    bool ok = false;
};

enum class member_role : std::uint8_t {
    follower,
    candidate,
    leader,
    // Replicates but does not vote.
    learner,
    // Came back with an empty disk under a known id; must be re-admitted.
    awaiting_admission,
};

struct member {
    base::vm_id vm;
    // Link port for consensus messages.
    wire::endpoint link;
    // Admin API, for redirects.
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
    base::log_index last;
    base::log_index committed;
    base::log_index applied;
    // True on a leader that holds its lease, and on a follower that heard from
    // such a leader within the lease.
    bool quorum = false;
    // On the leader and its followers: time since the leader last proved its
    // quorum, as known here.
    std::uint32_t lease_age_ms = 0;
    std::vector<member> members;
};

// The state machine. All calls come from one thread, in log order.
struct state_machine {
    // Applies a committed command and returns the reply for its proposer.
    std::function<std::string(base::log_index, const std::string& command)>
        apply;
    std::function<std::string()> take_snapshot;
    std::function<void(base::log_index, const std::string& snapshot)> restore;
};

// Thread-safe. Callbacks run on a thread of the log without any lock.
class replicated_log
{
public:
    virtual ~replicated_log() = default;

    virtual void
    propose(std::string command, std::function<void(propose_result)> done) = 0;
    virtual void read_barrier(std::function<void(barrier_result)> done) = 0;
    // Adds a member as learner and promotes it once it has caught up, or
    // removes one. `applied` when the change is committed.
    virtual void
    add_member(member added, std::function<void(propose_result)> done) = 0;
    virtual void remove_member(
        base::vm_id removed, std::function<void(propose_result)> done) = 0;
    virtual log_status status() const = 0;
};

} // namespace oleanderhinge::replica
