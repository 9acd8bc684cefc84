// One member of the replicated log: runs `consensus` on `storage` and a
// network function. One thread decides and applies, one writes to the disk.
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

// Sends a message to a VM; may drop it. Called on the decision thread; must not
// block.
using network_function =
    std::function<void(const base::vm_id& to, wire::consensus_message)>;
using clock_function = std::function<base::time_point()>;

struct node_setup {
    base::vm_id self;
    // Members of the cluster at its first start, the same at each of them and
    // with `self`. An added member lists the existing ones or nothing.
    std::vector<member> initial;
    consensus::timing times;
    consensus::limits bounds;
    storage::store_options files;
    std::uint32_t group = 0;
    // For election timeouts; zero asks the operating system.
    std::uint64_t seed = 0;
    // Incarnation of a fresh folder, for tests; zero draws one from the
    // operating system. It must differ from all earlier ones of the cluster.
    base::incarnation fresh_disk;
    // A snapshot is taken after this many entries or bytes of commands.
    std::uint64_t snapshot_entries = 50000;
    std::uint64_t snapshot_bytes = std::uint64_t(64) << 20;
    // Limit for proposals and barriers, and for membership changes.
    base::duration propose_limit = std::chrono::seconds(5);
    base::duration membership_limit = std::chrono::seconds(60);
    // Proposals that wait for the decision thread; more get `unavailable`.
    std::size_t waiting_proposals = 65536;
    network_function network;
    clock_function clock = &base::monotonic_now;
    // Called on a failed write or sync, or when a member contradicts the
    // protocol. The default logs the reason and ends the process.
    std::function<void(const std::string& reason)> fatal;
    // Called on the decision thread after a change of role or membership.
    std::function<void(const log_status&)> changed;
};

struct node_counters {
    std::uint64_t elections = 0;
    std::uint64_t leader_changes = 0;
    std::uint64_t lease_losses = 0;
    std::uint64_t entries = 0;
    std::uint64_t applied = 0;
    std::uint64_t syncs = 0;
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
    // Recovers the folder, restores the state machine and starts both threads.
    // Fails if the folder is damaged. `files` must outlive the node.
    static base::result<std::unique_ptr<node>>
    open(node_setup setup, storage::file_system& files, state_machine machine);

    // Stops without handing over.
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

    // A message from another member, with the identity that its link proved.
    void receive(const base::vm_id& from, wire::consensus_message packed);

    // A leader lets its most current follower take over; others do nothing.
    // `done` runs when this member no longer leads, or with `ok` false after
    // the election timeout.
    void hand_over(std::function<void(barrier_result)> done);

    // Ends both threads. Outstanding proposals get `unknown`, barriers fail.
    // Later calls are answered at once, on the thread of the caller.
    void stop();

    node_counters counters() const;

private:
    struct implementation;
    explicit node(std::unique_ptr<implementation> parts_in);

    std::unique_ptr<implementation> parts;
};

} // namespace oleanderhinge::replica
