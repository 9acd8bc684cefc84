// Guards against nodes that lose acknowledged commands in a restart, answer
// without a quorum, or do not re-admit a member that lost its disk. The
// protocol itself is tested without threads in consensus/.
#include "oleanderhinge/replica/node.hpp"
#include "oleanderhinge/storage/memory_file_system.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <map>
#include <set>
#include <thread>

namespace oleanderhinge::replica
{
namespace
{

using namespace std::chrono_literals;

// Far above the time that any condition needs.
constexpr auto condition_timeout = 30s;

base::vm_id vm(int i)
{
    return base::vm_id{"control-" + std::to_string(i)};
}

// Nodes in one process. Messages are passed by direct calls.
class cluster
{
public:
    explicit cluster(int size)
    {
        for (int i = 1; i <= size; ++i)
            this->initial.push_back({vm(i), {"127.0.0.1", 1}, {}, true});
        // Creates all hosts, with one for a member that is added later, before
        // any thread reads the map.
        for (int i = 1; i <= size + 1; ++i)
            this->hosts[i];
        for (int i = 1; i <= size; ++i)
            this->start(i);
    }
    ~cluster()
    {
        for (auto& [id, n] : this->hosts)
            this->stop(n);
    }

    void start(int i)
    {
        auto& h = this->hosts[i];
        node_setup setup;
        setup.self = vm(i);
        if (i <= int(this->initial.size()))
            setup.initial = this->initial;
        setup.first_start = this->first_start;
        setup.snapshot_interval_entries = this->snapshot_interval_entries;
        setup.bounds.trailing_entries = 10;
        setup.on_fatal_error = [&h](const std::string& reason) {
            const std::lock_guard lock(h.mutex);
            h.fatal = reason;
        };
        setup.network = [this,
                         i](const base::vm_id& to, wire::consensus_message m) {
            this->deliver(i, to, std::move(m));
        };
        h.applied.clear();
        state_machine machine;
        machine.apply = [&h](base::log_index, const std::string& command) {
            const std::lock_guard lock(h.mutex);
            h.applied.push_back(command);
            return "did " + command;
        };
        machine.take_snapshot = [&h] {
            const std::lock_guard lock(h.mutex);
            std::string all;
            for (const auto& c : h.applied)
                all += c + "\n";
            return all;
        };
        machine.restore = [&h](base::log_index, const std::string& all) {
            const std::lock_guard lock(h.mutex);
            h.applied.clear();
            for (std::size_t at = 0; at < all.size();) {
                const auto end = all.find('\n', at);
                h.applied.push_back(all.substr(at, end - at));
                at = end + 1;
            }
        };
        auto made = base::handle(
            [&]() -> base::result<std::shared_ptr<node>> {
                BOOST_LEAF_AUTO(n, node::open(setup, h.files, machine));
                return std::shared_ptr<node>(std::move(n));
            },
            [](const base::error& e) {
                ADD_FAILURE() << e.detail;
                return std::shared_ptr<node>();
            });
        const std::lock_guard lock(h.mutex);
        h.running = std::move(made);
    }

    void stop(int i) { this->stop(this->hosts[i]); }

    // While `isolated`, drops all messages from and to the node.
    void isolate(int i, bool isolated)
    {
        const std::lock_guard lock(this->isolated_mutex);
        if (isolated)
            this->isolated_nodes.insert(i);
        else
            this->isolated_nodes.erase(i);
    }

    std::shared_ptr<node> at(int i)
    {
        auto& h = this->hosts[i];
        const std::lock_guard lock(h.mutex);
        return h.running;
    }

    std::vector<std::string> applied(int i)
    {
        auto& h = this->hosts[i];
        const std::lock_guard lock(h.mutex);
        return h.applied;
    }

    std::string fatal(int i)
    {
        auto& h = this->hosts[i];
        const std::lock_guard lock(h.mutex);
        return h.fatal;
    }

    storage::memory_file_system& files(int i) { return this->hosts[i].files; }

    // Waits until `condition` holds, at most for `condition_timeout`. Returns
    // whether it holds.
    template <class Condition>
    bool eventually(Condition&& condition)
    {
        const auto limit = base::monotonic_now() + condition_timeout;
        std::unique_lock lock(this->delivered_mutex);
        while (!condition()) {
            if (base::monotonic_now() > limit)
                return false;
            this->delivered.wait_for(lock, 5ms);
        }
        return true;
    }

    // Waits for a leader other than `except` that holds its lease, and returns
    // its number.
    int leader(int except = 0)
    {
        int found = 0;
        EXPECT_TRUE(this->eventually([&] {
            for (auto& [id, h] : this->hosts) {
                const auto n = this->at(id);
                if (id == except || !n)
                    continue;
                const auto s = n->status();
                if (s.role == member_role::leader && s.has_quorum)
                    found = id;
            }
            return found != 0;
        }));
        return found;
    }

    propose_result propose(int i, const std::string& command)
    {
        auto answer = std::make_shared<std::promise<propose_result>>();
        this->at(i)->propose(
            command, [answer](propose_result r) { answer->set_value(r); });
        return answer->get_future().get();
    }

    bool barrier(int i)
    {
        auto answer = std::make_shared<std::promise<bool>>();
        this->at(i)->read_barrier(
            [answer](barrier_result r) { answer->set_value(r.ok); });
        return answer->get_future().get();
    }

    std::uint64_t snapshot_interval_entries = 50;
    // Processes that start find settings of a first start.
    bool first_start = true;
    std::vector<member> initial;

private:
    struct host {
        std::mutex mutex;
        std::shared_ptr<node> running;
        storage::memory_file_system files;
        std::vector<std::string> applied;
        std::string fatal;
    };

    void stop(host& h)
    {
        std::shared_ptr<node> old;
        {
            const std::lock_guard lock(h.mutex);
            old = std::move(h.running);
            h.running.reset();
        }
        if (old)
            old->stop();
    }

    void deliver(int from, const base::vm_id& to, wire::consensus_message m)
    {
        {
            const std::lock_guard lock(this->isolated_mutex);
            if (this->isolated_nodes.contains(from))
                return;
            for (const int i : this->isolated_nodes) {
                if (vm(i) == to)
                    return;
            }
        }
        for (auto& [id, h] : this->hosts) {
            if (vm(id) != to)
                continue;
            // The node must not be destroyed here: the caller may be one of its
            // own threads, which the destructor joins.
            const auto n = this->at(id);
            if (n)
                n->receive(vm(from), std::move(m));
            break;
        }
        this->delivered.notify_all();
    }

    std::map<int, host> hosts;
    std::mutex isolated_mutex;
    std::set<int> isolated_nodes;
    std::mutex delivered_mutex;
    std::condition_variable delivered;
};

// A power loss of all during the first start. Guards against members that wait
// for each other for ever, since no restart has settings of a first start.
TEST(node, members_interrupted_at_the_first_start_form_the_cluster)
{
    cluster c(3);
    c.first_start = false;
    base::random_source random(1);
    for (int i = 1; i <= 3; ++i) {
        c.stop(i);
        c.files(i).crash(storage::unsynced::lost, random);
    }
    for (int i = 1; i <= 3; ++i)
        c.start(i);
    EXPECT_NE(c.leader(), 0);
}

TEST(node, a_single_member_applies_and_keeps_commands)
{
    cluster c(1);
    ASSERT_EQ(c.leader(), 1);
    for (int i = 0; i < 120; ++i) {
        const auto command = "c" + std::to_string(i);
        const auto r = c.propose(1, command);
        ASSERT_EQ(r.state, propose_state::applied);
        ASSERT_EQ(r.reply, "did " + command);
    }
    EXPECT_TRUE(c.barrier(1));
    const auto before = c.applied(1);
    c.stop(1);
    base::random_source random(1);
    c.files(1).crash(storage::unsynced::lost, random);
    c.start(1);
    ASSERT_EQ(c.leader(), 1);
    EXPECT_TRUE(c.barrier(1));
    EXPECT_EQ(c.applied(1), before);
}

TEST(node, three_members_survive_the_loss_of_the_leader)
{
    cluster c(3);
    const int first = c.leader();
    for (int i = 0; i < 200; ++i)
        ASSERT_EQ(
            c.propose(first, "a" + std::to_string(i)).state,
            propose_state::applied);
    c.isolate(first, true);
    const int second = c.leader(first);
    ASSERT_NE(second, first);
    EXPECT_EQ(c.propose(second, "b").state, propose_state::applied);
    // The isolated leader has lost its lease and must not answer.
    EXPECT_FALSE(c.barrier(first));
    EXPECT_NE(c.propose(first, "x").state, propose_state::applied);
    c.isolate(first, false);
    EXPECT_TRUE(
        c.eventually([&] { return c.applied(first) == c.applied(second); }));
}

// A member that was isolated until the leader compacted the entries that it
// needs gets a snapshot instead.
TEST(node, a_member_catches_up_from_a_snapshot)
{
    cluster c(3);
    const int leader = c.leader();
    const int isolated_member = leader % 3 + 1;
    c.isolate(isolated_member, true);
    for (int i = 0; i < 300; ++i)
        ASSERT_EQ(
            c.propose(leader, "s" + std::to_string(i)).state,
            propose_state::applied);
    ASSERT_TRUE(c.eventually(
        [&] { return c.at(leader)->counters().snapshots_taken > 1; }));
    c.isolate(isolated_member, false);
    EXPECT_TRUE(c.eventually(
        [&] { return c.applied(isolated_member) == c.applied(leader); }));
    EXPECT_GT(c.at(isolated_member)->counters().snapshots_installed, 0u);
}

TEST(node, a_member_with_a_lost_disk_is_readmitted)
{
    cluster c(3);
    const int leader = c.leader();
    const int lost = leader % 3 + 1;
    for (int i = 0; i < 80; ++i)
        c.propose(leader, "l" + std::to_string(i));
    c.stop(lost);
    c.files(lost).wipe();
    c.start(lost);
    EXPECT_TRUE(c.eventually([&] {
        const auto s = c.at(lost)->status();
        return s.role == member_role::follower && s.has_quorum &&
               c.applied(lost) == c.applied(leader);
    }));
    // The third member fails right after the re-admission, so the re-admitted
    // one is needed for the quorum.
    c.isolate(6 - leader - lost, true);
    EXPECT_EQ(c.propose(leader, "after").state, propose_state::applied);
    EXPECT_EQ(c.at(leader)->counters().readmissions, 1u);
}

TEST(node, members_are_added_and_removed)
{
    cluster c(3);
    const int leader = c.leader();
    c.start(4);
    EXPECT_EQ(c.at(4)->status().role, member_role::awaiting_admission);
    auto added = std::make_shared<std::promise<propose_result>>();
    c.at(leader)->add_member(
        {vm(4), {"127.0.0.1", 4}, {}, true},
        [added](propose_result r) { added->set_value(r); });
    EXPECT_EQ(added->get_future().get().state, propose_state::applied);
    EXPECT_TRUE(c.eventually([&] {
        const auto s = c.at(4)->status();
        return s.role == member_role::follower && s.members.size() == 4;
    }));
    auto removed = std::make_shared<std::promise<propose_result>>();
    c.at(leader)->remove_member(
        vm(leader % 3 + 1),
        [removed](propose_result r) { removed->set_value(r); });
    EXPECT_EQ(removed->get_future().get().state, propose_state::applied);
    EXPECT_EQ(c.at(leader)->status().members.size(), 3u);
}

TEST(node, a_leader_hands_over_at_shutdown)
{
    cluster c(3);
    const int first = c.leader();
    auto answer = std::make_shared<std::promise<bool>>();
    c.at(first)->transfer_leadership(
        [answer](barrier_result r) { answer->set_value(r.ok); });
    EXPECT_TRUE(answer->get_future().get());
    const int second = c.leader(first);
    EXPECT_EQ(c.propose(second, "x").state, propose_state::applied);
    EXPECT_NE(c.propose(first, "y").state, propose_state::applied);
}

// A write that may not have reached the disk must not be acknowledged.
TEST(node, a_failed_sync_is_fatal_and_acknowledges_nothing)
{
    cluster c(1);
    ASSERT_EQ(c.leader(), 1);
    c.files(1).fail_next_sync();
    auto state = std::make_shared<std::promise<propose_state>>();
    c.at(1)->propose(
        "x", [state](propose_result r) { state->set_value(r.state); });
    EXPECT_TRUE(c.eventually([&] { return !c.fatal(1).empty(); }));
    c.stop(1);
    EXPECT_EQ(state->get_future().get(), propose_state::unknown);
    EXPECT_TRUE(c.applied(1).empty());
}

// Guards against a member that ends since its disk is full, and against
// acknowledgments of what it has not stored.
TEST(node, a_full_disk_acknowledges_nothing_until_it_has_room)
{
    cluster c(1);
    ASSERT_EQ(c.leader(), 1);
    // Reads wait until the leader has stored the first entry of its term.
    EXPECT_TRUE(c.eventually([&] {
        const auto status = c.at(1)->status();
        return status.committed != base::log_index{} &&
               status.committed == status.last_index;
    }));
    c.files(1).set_full(true);
    auto state = std::make_shared<std::promise<propose_state>>();
    auto answer = state->get_future();
    c.at(1)->propose(
        "x", [state](propose_result r) { state->set_value(r.state); });
    EXPECT_TRUE(
        c.eventually([&] { return c.at(1)->counters().disk_refusals == 1; }));
    EXPECT_TRUE(c.barrier(1));
    EXPECT_TRUE(c.applied(1).empty());
    c.files(1).set_full(false);
    EXPECT_EQ(answer.get(), propose_state::applied);
    EXPECT_EQ(c.applied(1), std::vector<std::string>{"x"});
    EXPECT_EQ(c.fatal(1), "");
}

// The leader's disk is full. Guards against a group whose leader stores
// nothing, and against a member that does not take part again.
TEST(node, a_leader_with_a_full_disk_hands_over_and_comes_back)
{
    cluster c(3);
    const int first = c.leader();
    ASSERT_EQ(c.propose(first, "a").state, propose_state::applied);
    c.files(first).set_full(true);
    c.propose(first, "b");
    const int second = c.leader(first);
    EXPECT_TRUE(c.eventually(
        [&] { return c.at(first)->status().role != member_role::leader; }));
    EXPECT_EQ(c.propose(second, "c").state, propose_state::applied);
    c.files(first).set_full(false);
    const std::vector<std::string> all{"a", "b", "c"};
    EXPECT_TRUE(c.eventually([&] { return c.applied(first) == all; }));
    EXPECT_EQ(c.fatal(first), "");
}

TEST(node, concurrent_proposals_are_applied_once_in_one_order)
{
    cluster c(3);
    const int leader = c.leader();
    constexpr int callers = 4;
    constexpr int proposals_per_caller = 200;
    std::vector<std::thread> threads;
    for (int t = 0; t < callers; ++t) {
        threads.emplace_back([&c, leader, t] {
            for (int i = 0; i < proposals_per_caller; ++i) {
                const auto command =
                    std::to_string(t) + ":" + std::to_string(i);
                EXPECT_EQ(
                    c.propose(leader, command).state, propose_state::applied);
                EXPECT_TRUE(c.at(leader)->status().has_quorum);
            }
        });
    }
    for (auto& t : threads)
        t.join();
    const auto all = c.applied(leader);
    EXPECT_EQ(all.size(), std::size_t(callers * proposals_per_caller));
    EXPECT_EQ(std::set<std::string>(all.begin(), all.end()).size(), all.size());
    for (const int i : {1, 2, 3})
        EXPECT_TRUE(c.eventually([&] { return c.applied(i) == all; }));
}

} // namespace
} // namespace oleanderhinge::replica
