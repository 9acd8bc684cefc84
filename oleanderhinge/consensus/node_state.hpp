// State of one Raft member, and the deterministic function that advances it.
// There are no threads, clocks or I/O here: the caller passes events and the
// time, and carries out the actions.
//
// Example:
//   node_state state = make_state(setup, now);
//   for (action& a : step(state, tick{}, now)) carry_out(a);
#pragma once

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/consensus/events.hpp"
#include "oleanderhinge/consensus/log.hpp"

#include <deque>
#include <map>
#include <set>

namespace oleanderhinge::consensus
{

// Replication state that the leader keeps for one other member.
struct progress {
    incarnation disk;
    // Next entry to send, and the last one that is known to be replicated.
    log_index next;
    log_index match;
    // While set, one message with entries is in flight at a time, until a reply
    // shows where the logs match.
    bool probing = true;
    // Last index and bytes of each message sent and not yet acknowledged.
    std::deque<std::pair<log_index, std::size_t>> in_flight;
    std::size_t in_flight_bytes = 0;
    // `previous` of the last append_request. While probing, the rejection of
    // any other request is out of date and ignored.
    log_index last_sent_previous;
    // While a snapshot is being sent: its last index and acknowledged bytes.
    std::optional<log_index> snapshot;
    std::uint64_t snapshot_offset = 0;
    // Send time of the latest message that this disk acknowledged in the
    // leader's term.
    std::optional<base::time_point> acknowledged_sent_at;
    // Send time of the last chunk with data; zero to send the next at once.
    base::time_point chunk_sent_at;
};

// A read that waits for a quorum to answer a message sent after it came.
struct pending_read {
    std::uint64_t tag = 0;
    // `leader_state::last_sent` when it came.
    base::time_point after;
};

// State of a leader; reset at each change of role.
struct leader_state {
    base::time_point elected_at;
    // Index of the no-op entry that started the term.
    log_index term_start_index;
    std::map<vm_id, progress> peers;
    // Latest send time in a message of this term. Each read advances it, so
    // that the messages before and after the read differ even if the clock
    // stood still with the VM.
    base::time_point last_sent;
    // In the order in which they came.
    std::vector<pending_read> pending_reads;
    // Send time of the last messages sent for reads.
    base::time_point read_round;
    // Set while a leadership transfer waits for a voter to catch up.
    std::optional<base::time_point> transfer_deadline;
    // Time when heartbeats were last sent to all peers.
    base::time_point last_heartbeat;
};

// State of a candidate; reset at each attempt.
struct candidate_state {
    bool pre_vote = true;
    // Members that granted the vote or pre-vote, with this one.
    std::set<vm_id> granted;
};

// The chunks of a snapshot received so far, without a gap.
struct incoming_snapshot {
    term leader_term;
    log_index last;
    std::string data;
};

// A message that is sent once a write is durable. It is dropped if the term has
// changed by then.
struct held_message {
    std::uint64_t write_sequence = 0;
    term current_term;
    send content;
};

// Totals since the start of the process.
struct counters {
    std::uint64_t elections = 0;
    std::uint64_t leader_changes = 0;
    std::uint64_t lease_losses = 0;
    std::uint64_t entries_appended = 0;
    std::uint64_t snapshots_installed = 0;
    std::uint64_t readmissions = 0;
};

// Changed only by `step`; queries.hpp has functions that read it.
struct node_state {
    vm_id self;
    incarnation disk;
    timing times;
    limits bounds;
    base::random_source random{0};
    // Members of the cluster at its first start. Only VMs and endpoints count:
    // the disks are announced, and all members become voters.
    membership initial;
    // This member takes part in forming the cluster only once all others of
    // `initial` have reported its disk. Two such members never form a cluster.
    bool waits_for_invitation = false;

    // Durable once the write `vote_write_sequence` is.
    vote_record vote;
    consensus::log log;

    log_index committed;
    // Last index emitted in an `apply` action.
    log_index applied;
    // Last index that is durable on the own disk.
    log_index durable;
    std::uint64_t last_write_sequence = 0;
    // Writes in progress: sequence number, and last index durable with it.
    std::deque<std::pair<std::uint64_t, log_index>> pending_writes;
    // The write that makes the current `vote` durable, and the last one done.
    std::uint64_t vote_write_sequence = 0;
    std::uint64_t persisted_sequence = 0;
    std::vector<held_message> held_messages;
    // Last snapshot, sent to followers that need entries up to `log.base`.
    std::optional<snapshot_content> snapshot;

    // The disk refuses writes; see `disk_state`.
    bool disk_refuses_writes = false;

    consensus::role role = role::follower;
    vm_id leader;
    incarnation leader_disk;
    base::time_point election_deadline;
    // Until this time a leader may hold a lease that this member acknowledged,
    // so votes and pre-votes are refused.
    base::time_point refuse_votes_until;
    // On a follower: time of the leader's last message, and the age of the
    // leader's lease that the message gave.
    std::optional<base::time_point> last_leader_contact;
    base::duration leader_lease_age{0};
    // What the leader had committed when it sent its last message; empty if
    // the message did not say.
    std::optional<log_index> leader_committed;
    // The log equals the current leader's up to this index.
    log_index leader_match_index;
    // Latest `sent_us` received from the current leader.
    std::int64_t leader_sent_us = 0;
    std::optional<incoming_snapshot> incoming;

    leader_state leading;
    candidate_state campaign;

    // For forming the cluster: the disks known here, and those that each other
    // VM last reported as known to it.
    std::map<vm_id, incarnation> known_disks;
    std::map<vm_id, std::map<vm_id, incarnation>> reported_disks;
    base::time_point next_announcement;

    consensus::counters counts;
};

// Arguments of `make_state`. Vote, snapshot and entries are read from the disk.
struct setup {
    vm_id self;
    incarnation disk;
    timing times;
    limits bounds;
    std::uint64_t seed = 0;
    membership initial;
    bool waits_for_invitation = false;
    vote_record vote;
    std::optional<snapshot_content> snapshot;
    // The entries that follow the snapshot, without a gap.
    std::vector<entry> entries;
};

// State of a member that has just started. It grants no vote for
// `election_timeout_min`, since it may have acknowledged a leader's lease
// before a restart.
node_state make_state(setup options, base::time_point now);

// Advances the state by one event. The caller must carry out the actions in
// order. `now` is the time of a monotonic clock.
std::vector<action> step(node_state& state, event what, base::time_point now);

} // namespace oleanderhinge::consensus
