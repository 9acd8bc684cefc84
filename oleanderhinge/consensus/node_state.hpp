// State of one member and the function that advances it.
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

// What the leader knows about one other member.
struct progress {
    incarnation disk;
    log_index next;
    log_index match;
    // Probing: one message at a time until a reply shows where to continue.
    bool probing = true;
    // Sent and unacknowledged: last index and bytes of each message.
    std::deque<std::pair<log_index, std::size_t>> in_flight;
    std::size_t in_flight_bytes = 0;
    // `previous` of the last message; while probing, a refusal of any other
    // message is out of date.
    log_index last_previous;
    // Set while a snapshot is sent: its last index and the acknowledged bytes.
    std::optional<log_index> snapshot;
    std::uint64_t snapshot_offset = 0;
    // Latest sending time among the messages that this disk acknowledged in
    // the leader's term.
    std::optional<base::time_point> acknowledged;
    base::time_point chunk_sent;
};

struct leader_state {
    base::time_point since;
    // The no-op that opened the term.
    log_index opened;
    std::map<vm_id, progress> peers;
    // Tags of reads that wait for the lease or for `opened`.
    std::vector<std::uint64_t> reads;
    // Set while a transfer waits for its receiver to catch up.
    std::optional<base::time_point> transfer_until;
    base::time_point last_heartbeat;
};

struct candidate_state {
    bool pre_vote = true;
    std::set<vm_id> granted;
};

// A snapshot that arrives in chunks.
struct incoming_snapshot {
    term leader_term;
    log_index last;
    std::string data;
};

// A message that waits for a `persist` action, and the term it belongs to.
struct held_message {
    std::uint64_t ticket = 0;
    term current;
    send content;
};

struct counters {
    std::uint64_t elections = 0;
    std::uint64_t leader_changes = 0;
    std::uint64_t lease_losses = 0;
    std::uint64_t entries_appended = 0;
    std::uint64_t snapshots_installed = 0;
    std::uint64_t readmissions = 0;
};

struct node_state {
    vm_id self;
    incarnation disk;
    timing times;
    limits bounds;
    base::random_source random{0};
    // The VMs that form the cluster at its first start.
    membership initial;

    // Durable once the ticket that carries it is persisted.
    vote_record vote;
    consensus::log log;

    log_index committed;
    // Last index given out in `apply` actions.
    log_index applied;
    log_index durable;
    std::uint64_t last_ticket = 0;
    // Tickets under way with the last index that each makes durable.
    std::deque<std::pair<std::uint64_t, log_index>> tickets;
    // Ticket that makes the present `vote` durable, and the last one done.
    std::uint64_t vote_ticket = 0;
    std::uint64_t persisted_ticket = 0;
    std::vector<held_message> held;
    // Last snapshot, for followers that lag behind `log.base`.
    std::optional<snapshot_content> snapshot;

    consensus::role role = role::follower;
    vm_id leader;
    incarnation leader_disk;
    base::time_point election_deadline;
    // Votes are refused until this time: a leader may hold a lease.
    base::time_point vote_barred_until;
    // As a follower: when the leader was heard, and the age of its lease then.
    std::optional<base::time_point> leader_heard;
    base::duration leader_lease_age{0};
    // Highest index known to equal the log of the present leader.
    log_index verified;
    std::int64_t last_sent_us = 0;
    std::optional<incoming_snapshot> incoming;

    leader_state leading;
    candidate_state campaign;

    // Forming a cluster: disks heard of, and what each other VM reported last.
    std::map<vm_id, incarnation> known;
    std::map<vm_id, std::map<vm_id, incarnation>> reported;
    base::time_point next_introduction;

    consensus::counters counts;
};

// What `make_state` needs; the log and the vote come from the disk.
struct setup {
    vm_id self;
    incarnation disk;
    timing times;
    limits bounds;
    std::uint64_t seed = 0;
    membership initial;
    vote_record vote;
    std::optional<snapshot_content> snapshot;
    // Without a gap behind the snapshot.
    std::vector<entry> entries;
};

// State after a start. For `election_min` it grants no vote, since it may have
// acknowledged a lease before the restart.
node_state make_state(setup from, base::time_point now);

// Advances the state. The actions are to be carried out in order.
std::vector<action> step(node_state& state, event what, base::time_point now);

} // namespace oleanderhinge::consensus
