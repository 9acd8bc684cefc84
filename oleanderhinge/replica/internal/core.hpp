// The decision thread of a node: turns inputs into events of `consensus` and
// carries out the actions.
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
    // More proposals waited than allowed; only to be answered.
    bool refused = false;
};

struct barrier_input {
    barrier_callback done;
};

struct add_input {
    member added;
    propose_callback done;
};

struct remove_input {
    base::vm_id removed;
    propose_callback done;
};

struct packed_input {
    base::vm_id from;
    wire::consensus_message packed;
};

struct hand_over_input {
    barrier_callback done;
};

struct persisted_input {
    std::uint64_t write_sequence = 0;
};

struct snapshot_input {
    consensus::snapshot_content content;
};

using input = std::variant<
    propose_input,
    barrier_input,
    add_input,
    remove_input,
    packed_input,
    hand_over_input,
    persisted_input,
    snapshot_input>;

// What `status` needs, copied after each round.
struct published_status {
    log_status values;
    // When the leader last proved its quorum, by the local clock.
    std::optional<base::time_point> proved;
};

class core
{
public:
    core(
        node_setup setup,
        state_machine machine,
        consensus::node_state state,
        std::unique_ptr<storage::log_store> store);
    ~core();
    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // Thread-safe. After `stop`, inputs are answered at once.
    void add(input in);
    void stop();
    log_status status() const;
    node_counters counters() const;

private:
    void run();
    void run_round(std::deque<input> inputs);
    void take(propose_input& in, consensus::proposals& batch);
    void take(barrier_input& in, consensus::proposals& batch);
    void take(add_input& in, consensus::proposals& batch);
    void take(remove_input& in, consensus::proposals& batch);
    void take(packed_input& in, consensus::proposals& batch);
    void take(hand_over_input& in, consensus::proposals& batch);
    void take(persisted_input& in, consensus::proposals& batch);
    void take(snapshot_input& in, consensus::proposals& batch);
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
    void finish_hand_over(bool ok);
    void publish();
    published_status describe(base::time_point now) const;

    const node_setup setup;
    const state_machine machine;

    // Of the decision thread.
    consensus::node_state state;
    waiters waiting;
    base::time_point next_tick;
    std::vector<waiting_barrier> handing_over;
    std::uint64_t entries_since_snapshot = 0;
    std::uint64_t bytes_since_snapshot = 0;
    bool snapshot_under_way = false;
    bool was_leader = false;
    node_counters counts;

    mutable std::mutex inbox_mutex;
    std::condition_variable wake;
    std::deque<input> inbox;
    std::size_t waiting_proposals = 0;
    bool stopping = false;

    mutable std::mutex status_mutex;
    published_status published;
    node_counters published_counts;

    disk_worker disk;
    std::thread thread;
};

// Conversion of members between the interface and the log.
consensus::member to_consensus(const member& m);
std::vector<member> to_members(const consensus::membership& members);

} // namespace oleanderhinge::replica::internal
