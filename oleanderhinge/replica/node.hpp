// One member of the replicated log: runs Raft (`consensus`) on a `storage`
// folder and a network function. The event loop thread runs Raft and applies
// commands; the disk thread writes to the folder.
//
// Example:
//   node_setup setup{.self = vm, .initial = members, .network = send};
//   BOOST_LEAF_AUTO(log, node::open(setup, *files, machine));
//   log->propose("bytes", [](propose_result r) { ... });
//   log->receive(peer, message_from_link);
//   log->stop();
#pragma once

#include "oleanderhinge/consensus/queries.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/storage/log_store.hpp"

#include <memory>

namespace oleanderhinge::replica
{

// Sends a message to a VM, or drops it. Called on the event loop thread; must
// not block.
using network_function =
    std::function<void(const base::vm_id& to, wire::consensus_message)>;
using clock_function = std::function<base::time_point()>;

struct node_setup {
    base::vm_id self;
    // Members of the cluster at its first start, `self` included; each of them
    // must have the same list. A member that is added later has the existing
    // members or none.
    std::vector<member> initial;
    // Whether the cluster starts for the first time, so that an empty folder is
    // no lost disk. If not, a member that was interrupted at the first start
    // still takes part in forming the cluster; one with an empty folder does so
    // only once all other initial members have invited it.
    bool first_start = true;
    consensus::timing times;
    consensus::limits bounds;
    storage::store_options store;
    std::uint32_t group = 0;
    // Seed for random election timeouts; zero takes one from the operating
    // system.
    std::uint64_t seed = 0;
    // Disk incarnation of an empty folder, for tests. Must differ from all
    // earlier ones of the cluster. Zero takes a random one from the operating
    // system.
    base::incarnation new_disk_incarnation;
    // A snapshot is taken after this many entries or bytes of commands.
    std::uint64_t snapshot_interval_entries = 50000;
    // Small enough for a disk of 64 MiB, which holds the log since the
    // snapshot, a part of the log before it and, for a moment, two snapshots.
    std::uint64_t snapshot_interval_bytes = std::uint64_t(8) << 20;
    // Timeout of proposals and read barriers, and of membership changes.
    base::duration propose_timeout = std::chrono::seconds(5);
    base::duration membership_change_timeout = std::chrono::seconds(60);
    // Proposals that may wait for the event loop thread; further ones get
    // `unavailable`.
    std::size_t max_queued_proposals = 65536;
    network_function network;
    clock_function clock = &base::monotonic_now;
    // Called if a write or sync fails, on the disk thread, or if a committed
    // membership does not parse, on the event loop thread. The default logs the
    // reason and ends the process. A full disk is no fatal error: nothing that
    // it did not store is acknowledged, and writes are repeated until there is
    // room.
    std::function<void(const std::string& reason)> on_fatal_error;
    // Called after a change of role, leader, term or members: once by `open`,
    // for the recovered state, and then on the event loop thread.
    std::function<void(const log_status&)> on_status_change;
};

// Totals since `open`.
struct node_counters {
    std::uint64_t elections = 0;
    std::uint64_t leader_changes = 0;
    std::uint64_t lease_losses = 0;
    std::uint64_t entries = 0;
    std::uint64_t applied = 0;
    std::uint64_t syncs = 0;
    // Times when the disk became full.
    std::uint64_t disk_refusals = 0;
    std::uint64_t bytes = 0;
    std::uint64_t snapshots_taken = 0;
    std::uint64_t snapshots_installed = 0;
    std::uint64_t readmissions = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t messages_malformed = 0;
};

class node final : public replicated_log
{
public:
    // Recovers the folder and starts both threads; the event loop thread first
    // restores the state machine from the snapshot. Fails with the errors of
    // `storage::log_store::open`, with `corrupt` on an unknown kind of entry
    // and with `malformed` on a snapshot or membership that does not parse.
    // `files` must outlive the node.
    static base::result<std::unique_ptr<node>>
    open(node_setup setup, storage::file_system& files, state_machine machine);

    // Stops without a leadership transfer.
    ~node() override;
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void propose(
        std::string command, std::function<void(propose_result)> done) override;
    void read_barrier(std::function<void(barrier_result)> done) override;
    void
    add_member(member added, std::function<void(propose_result)> done) override;
    void remove_member(
        base::vm_id removed, std::function<void(propose_result)> done) override;
    log_status status() const override;

    // Takes a message from another member. The transport must have
    // authenticated `from`. Messages that do not parse are counted and dropped.
    void receive(const base::vm_id& from, wire::consensus_message encoded);

    // Leadership transfer: a leader lets a voter that has its whole log take
    // over. `done` gets `ok` once this member no longer leads, at once if it is
    // not the leader; it gets `ok` false after the shortest election timeout.
    void transfer_leadership(std::function<void(barrier_result)> done);

    // Ends both threads. Proposals that were appended get `unknown`, others
    // `unavailable`; barriers fail. Later calls are answered at once, on the
    // caller's thread.
    void stop();

    node_counters counters() const;

private:
    struct implementation;
    explicit node(std::unique_ptr<implementation> impl_in);

    std::unique_ptr<implementation> impl;
};

} // namespace oleanderhinge::replica
