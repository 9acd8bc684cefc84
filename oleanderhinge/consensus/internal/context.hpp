// What the parts of `step` share: the state, the time and the actions so far.
#pragma once

#include "oleanderhinge/consensus/queries.hpp"

#include <utility>

namespace oleanderhinge::consensus::internal
{

struct context {
    node_state& state;
    base::time_point now;
    std::vector<action>& actions;
};

// --- Output (output.cpp) --------------------------------------------------

// Sends to the VM with the disk `receiver`.
void send_to(context& c, const vm_id& to, incarnation receiver, body content);
// The same once `ticket` is persisted, unless the term has changed by then.
void send_after(
    context& c,
    std::uint64_t ticket,
    const vm_id& to,
    incarnation receiver,
    body content);
// Emits a `persist` action and returns its ticket.
std::uint64_t write_vote(context& c);
void write_entries(
    context& c, std::optional<log_index> truncate_from, std::vector<entry> e);
// Raises the commit index and emits `apply`.
void commit_up_to(context& c, log_index index);
// Age of the lease for messages to followers; the largest value if unknown.
std::uint32_t lease_age_ms(const context& c);

// --- Roles (roles.cpp) ----------------------------------------------------

void reset_election(context& c);
void become_follower(context& c, const vm_id& leader, incarnation disk);
// Adopts a higher term; does nothing for the present or a lower one.
void observe_term(context& c, term seen);
void start_campaign(context& c, bool pre_vote, bool transfer);
void on_vote_request(
    context& c, const vm_id& from, const message& m, const vote_request& r);
void on_vote_reply(context& c, const vm_id& from, const vote_reply& r);
void on_timeout_now(context& c);
// Counts the own vote once it is durable.
void count_own_vote(context& c);

// --- Leader (leader.cpp) --------------------------------------------------

void become_leader(context& c);
void lead_tick(context& c);
// Appends entries of the present term and sends them.
void append_as_leader(
    context& c, std::vector<std::pair<entry_kind, std::string>>&& payloads);
void on_proposals(context& c, proposals&& p);
void on_read(context& c, const read_requested& r);
void on_append_reply(context& c, const vm_id& from, const append_reply& r);
void advance_commit(context& c);
// Answers the reads that the lease allows now.
void answer_reads(context& c);
void on_transfer(context& c);
// Sends what the windows allow; with `heartbeat` at least one message.
void replicate(context& c, const vm_id& to, progress& p, bool heartbeat);
void acknowledge(context& c, progress& p, std::int64_t sent_us);

// --- Follower (follower.cpp) ----------------------------------------------

void on_append(
    context& c, const vm_id& from, incarnation disk, append_request&& r);
// Reports what became durable to the leader.
void report_durable(context& c);
// Records that the leader of the present term was heard.
void heard_leader(
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

void on_introduction(
    context& c, const vm_id& from, incarnation disk, const introduction& m);
// Answers a message of a leader that was meant for another disk.
void introduce_to(
    context& c, const vm_id& to, term echo_term, std::int64_t echo_sent_us);
// Forms the cluster if all initial members agree on their disks.
void form_cluster(context& c);
void introduction_tick(context& c);
void on_member_added(context& c, const member_added& e);
void on_member_removed(context& c, const member_removed& e);
// Makes a learner that has caught up a voter.
void promote_learners(context& c);
// Brings the leader's table of peers in line with the membership.
void refresh_peers(context& c);

} // namespace oleanderhinge::consensus::internal
