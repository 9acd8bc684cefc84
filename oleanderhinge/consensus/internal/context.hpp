// The parts of `step`. Each takes a `context` and appends its actions there.
#pragma once

#include "oleanderhinge/consensus/queries.hpp"

#include <utility>

namespace oleanderhinge::consensus::internal
{

// One call of `step`: the state, the time, and the actions so far.
struct context {
    node_state& state;
    base::time_point now;
    std::vector<action>& actions;
};

// --- Output (output.cpp) --------------------------------------------------

// Sends to the VM; only the disk `receiver` processes the message.
void send_to(context& c, const vm_id& to, incarnation receiver, body content);
// Like `send_to`, but only once the write is durable. Dropped if the term has
// changed by then.
void send_after_persist(
    context& c,
    std::uint64_t write_sequence,
    const vm_id& to,
    incarnation receiver,
    body content);
// Emits a `persist` action for the current `vote`; returns its write sequence
// number.
std::uint64_t write_vote(context& c);
// Emits a `persist` action that truncates the stored log, then appends entries.
void write_entries(
    context& c, std::optional<log_index> truncate_from, std::vector<entry> e);
// Raises the commit index to `index` and emits `apply` for the new entries.
void commit_up_to(context& c, log_index index);
// `lease_age` for messages to followers; UINT32_MAX if unknown.
std::uint32_t lease_age_ms(const context& c);

// --- Roles (roles.cpp) ----------------------------------------------------

// Draws a new election deadline between the minimum and maximum timeout.
void reset_election_timer(context& c);
// Clears the state of the previous role and leader, except for
// `refuse_votes_until`. `leader` is empty if unknown.
void become_follower(context& c, const vm_id& leader, incarnation disk);
// Adopts a higher term and becomes follower; otherwise does nothing.
void observe_term(context& c, term seen);
// Requests pre-votes, or raises the term and requests votes. `transfer` marks
// vote requests that follow a leadership transfer.
void start_campaign(context& c, bool pre_vote, bool transfer);
void on_vote_request(
    context& c, const vm_id& from, const message& m, const vote_request& r);
void on_vote_reply(context& c, const vm_id& from, const vote_reply& r);
void on_timeout_now(context& c);
// Counts the candidate's own vote if it is durable.
void count_own_vote(context& c);

// --- Leader (leader.cpp) --------------------------------------------------

void become_leader(context& c);
void on_leader_tick(context& c);
// Appends entries of the current term to the own log and replicates them.
void append_as_leader(
    context& c, std::vector<std::pair<entry_kind, std::string>>&& payloads);
void on_proposals(context& c, proposals&& p);
void on_read(context& c, const read_requested& r);
void on_append_reply(context& c, const vm_id& from, const append_reply& r);
// Commits what is durable on a majority of the voters.
void advance_commit(context& c);
// The send time for a message of the leader, in microseconds of its clock;
// later than that of any message before the newest read.
std::int64_t next_send_time(context& c);
// Answers the pending reads that a quorum has confirmed, and asks for
// confirmation of the others.
void answer_reads(context& c);
void on_transfer(context& c);
// Sends entries or a snapshot chunk, as far as the in-flight limits allow. With
// `heartbeat`, sends at least one message.
void replicate(context& c, const vm_id& to, progress& p, bool heartbeat);
// Records that a message sent at `sent_us` was acknowledged, for the lease.
void acknowledge(context& c, progress& p, std::int64_t sent_us);

// --- Follower (follower.cpp) ----------------------------------------------

void on_append(
    context& c, const vm_id& from, incarnation disk, append_request&& r);
// Acknowledges newly durable entries to the leader.
void report_durable(context& c);
// Records a message of the current term's leader: restarts the election timer
// and takes over the age of the lease.
void record_leader_contact(
    context& c,
    const vm_id& from,
    incarnation disk,
    std::int64_t sent_us,
    std::uint32_t lease_age_ms);

// --- Snapshots (snapshot.cpp) ---------------------------------------------

void send_chunk(context& c, const vm_id& to, progress& p, bool heartbeat);
void on_chunk(
    context& c, const vm_id& from, incarnation disk, snapshot_chunk&& m);
void on_snapshot_reply(context& c, const vm_id& from, const snapshot_reply& r);
void on_snapshot_taken(context& c, snapshot_taken&& s);

// --- Members (membership.cpp) ---------------------------------------------

void on_disk_announcement(
    context& c,
    const vm_id& from,
    incarnation disk,
    const disk_announcement& m);
// Answers a leader's message that was addressed to another disk.
void announce_disk_to(
    context& c, const vm_id& to, term echo_term, std::int64_t echo_sent_us);
// Forms the cluster if all initial members report the same disks.
void form_cluster(context& c);
// Announces the own disk to the initial members until a membership is in the
// log.
void announce_disk_if_due(context& c);
void on_member_added(context& c, const member_added& e);
void on_member_removed(context& c, const member_removed& e);
// Makes one learner a voter if it has caught up and is to become one.
void promote_learners(context& c);
// Adds and removes entries of `leader_state::peers` to match the membership.
void refresh_peers(context& c);

} // namespace oleanderhinge::consensus::internal
