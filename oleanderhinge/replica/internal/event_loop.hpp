// The event loop of a node, on a thread of its own: turns inputs into events of
// `consensus` and carries out the actions.
//
// Example:
//   loop.add(propose_input{"bytes", [](propose_result r) { ... }});
#pragma once

#include "oleanderhinge/replica/internal/disk_worker.hpp"
#include "oleanderhinge/replica/internal/waiters.hpp"
#include "oleanderhinge/replica/node.hpp"

#include <atomic>

namespace oleanderhinge::replica::internal
{

struct propose_input {
    std::string command;
    propose_callback done;
    // The queue was full. The event loop only answers with `unavailable`, so
    // that the callback runs on its thread.
    bool refused = false;
};

struct barrier_input {
    barrier_callback done;
};

struct add_member_input {
    member added;
    propose_callback done;
};

struct remove_member_input {
    base::vm_id removed;
    propose_callback done;
};

struct message_input {
    base::vm_id from;
    wire::consensus_message encoded;
};

struct transfer_input {
    barrier_callback done;
};

struct persisted_input {
    std::uint64_t write_sequence = 0;
};

struct disk_input {
    consensus::disk_state state;
    // Why writes are refused; empty if they are not.
    std::string reason;
};

struct snapshot_saved_input {
    consensus::snapshot_content content;
};

using input = std::variant<
    propose_input,
    barrier_input,
    add_member_input,
    remove_member_input,
    message_input,
    transfer_input,
    persisted_input,
    disk_input,
    snapshot_saved_input>;

// Copied after each round of the event loop, for `status`.
struct published_status {
    log_status values;
    // Time of the local clock when a quorum last confirmed the leader.
    std::optional<base::time_point> confirmed_at;
};

class event_loop
{
public:
    event_loop(
        node_setup setup,
        state_machine machine,
        consensus::node_state state,
        std::unique_ptr<storage::log_store> store);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Thread-safe. After `stop`, inputs are rejected at once, on the caller's
    // thread.
    void add(input in);
    // Ends the event loop and the disk thread; see `node::stop`.
    void stop();
    log_status status() const;
    node_counters counters() const;

private:
    void run();
    void run_round(std::deque<input> inputs);
    void handle_input(propose_input& in, consensus::proposals& batch);
    void handle_input(barrier_input& in, consensus::proposals& batch);
    void handle_input(add_member_input& in, consensus::proposals& batch);
    void handle_input(remove_member_input& in, consensus::proposals& batch);
    void handle_input(message_input& in, consensus::proposals& batch);
    void handle_input(transfer_input& in, consensus::proposals& batch);
    void handle_input(persisted_input& in, consensus::proposals& batch);
    void handle_input(disk_input& in, consensus::proposals& batch);
    void handle_input(snapshot_saved_input& in, consensus::proposals& batch);
    static void refuse(input& in);

    void advance(consensus::event what);
    void carry_out(consensus::send& a);
    void carry_out(consensus::persist& a);
    void carry_out(consensus::apply& a);
    void carry_out(consensus::install_snapshot& a);
    void carry_out(consensus::accepted& a);
    void carry_out(consensus::rejected& a);
    void carry_out(consensus::read_ready& a);
    void carry_out(consensus::role_changed& a);

    void take_snapshot_if_due();
    void finish_transfers(bool ok);
    void publish();
    published_status make_status(base::time_point now) const;

    const node_setup setup;
    const state_machine machine;

    // Used by the event loop thread only.
    consensus::node_state state;
    waiters waiting;
    base::time_point next_tick;
    std::vector<pending_barrier> pending_transfers;
    std::uint64_t entries_since_snapshot = 0;
    std::uint64_t bytes_since_snapshot = 0;
    bool snapshot_in_progress = false;
    bool was_leader = false;
    node_counters counts;

    mutable std::mutex inbox_mutex;
    std::condition_variable wake;
    std::deque<input> inbox;
    std::size_t queued_proposals = 0;
    bool stopping = false;

    mutable std::mutex status_mutex;
    published_status published;
    node_counters published_counts;

    disk_worker disk;
    std::thread thread;
};

// Conversion between the members of the interface and those of consensus.
consensus::member to_consensus(const member& m);
std::vector<member> to_members(const consensus::membership& members);

} // namespace oleanderhinge::replica::internal
