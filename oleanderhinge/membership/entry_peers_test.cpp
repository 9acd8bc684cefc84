// Guards against entry nodes of a data centre that do not find each other, or
// that keep a dead node as a registrar.
#include "oleanderhinge/membership/entry_peers.hpp"

#include "oleanderhinge/wire/frame.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace oleanderhinge::membership
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(1000)};

// Nodes that exchange heartbeats without loss; only node 0 is a seed.
struct world {
    std::map<wire::endpoint, entry_peers> nodes;
    base::time_point now = start;
    std::size_t heartbeats = 0;
    std::size_t joined = 0;

    static wire::endpoint at(std::uint16_t i) { return {"10.0.0.1", i}; }

    // A VM name of 70 characters: 24 of them do not fit a datagram.
    static base::vm_id vm(std::uint16_t i)
    {
        return base::vm_id{std::to_string(i) + std::string(68, 'e')};
    }

    void add(std::uint16_t i, std::uint64_t incarnation)
    {
        entry_peers p;
        p.options.self = {vm(i), at(i)};
        p.options.own_incarnation = base::incarnation{incarnation};
        p.options.data_centre = base::data_centre_id{"tartu-a"};
        p.options.seeds = {at(0)};
        this->nodes[at(i)] = std::move(p);
    }

    void run(std::vector<peer_action> actions)
    {
        for (auto& action : actions) {
            if (std::holds_alternative<peer_joined>(action))
                ++this->joined;
            const auto* send = std::get_if<send_heartbeat>(&action);
            if (send == nullptr)
                continue;
            ++this->heartbeats;
            EXPECT_LE(
                wire::seal("x", send->content, wire::stamp{1}).size(),
                wire::max_datagram);
            const auto to = this->nodes.find(send->to);
            if (to != this->nodes.end())
                this->run(
                    apply_heartbeat(to->second, send->content, this->now));
        }
    }

    void pass(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->now += seconds(1);
            for (auto& [endpoint, node] : this->nodes)
                this->run(tick(node, this->now));
        }
    }

    void expect_all_know(std::size_t count) const
    {
        for (const auto& [endpoint, node] : this->nodes)
            EXPECT_EQ(live_endpoints(node).size(), count) << endpoint.port;
    }
};

TEST(entry_peers, all_nodes_find_each_other_through_one_seed)
{
    world w;
    for (std::uint16_t i = 0; i < 30; ++i)
        w.add(i, i + 1u);
    w.pass(5);
    w.expect_all_know(30);
    EXPECT_EQ(w.joined, 30u * 29u) << "each join must be reported once";
    // The seed dies, then a node joins; it needs another seed to be found.
    w.nodes.erase(world::at(0));
    w.pass(4);
    w.expect_all_know(29);
}

TEST(entry_peers, restarted_node_is_reported_again)
{
    world w;
    w.add(0, 1);
    w.add(1, 2);
    w.pass(2);
    EXPECT_EQ(w.joined, 2u);
    w.add(1, 3);
    w.pass(2);
    EXPECT_EQ(w.joined, 4u);
}

TEST(entry_peers, leaving_node_is_dropped_at_once_and_may_return)
{
    world w;
    for (std::uint16_t i = 0; i < 3; ++i)
        w.add(i, i + 1u);
    w.pass(3);
    w.run(leave(w.nodes.at(world::at(2))));
    EXPECT_EQ(live_endpoints(w.nodes.at(world::at(0))).size(), 2u);
    EXPECT_EQ(live_endpoints(w.nodes.at(world::at(2))).size(), 2u);
    w.add(2, 9);
    w.pass(2);
    w.expect_all_know(3);
}

TEST(entry_peers, batches_replace_most_heartbeats)
{
    world w;
    w.add(0, 1);
    w.add(1, 2);
    w.pass(3);
    w.heartbeats = 0;
    for (int i = 0; i < 20; ++i) {
        for (auto& [endpoint, node] : w.nodes) {
            note_batch_sent(node, w.now + seconds(1));
            for (auto& [other, receiver] : w.nodes)
                note_batch_received(
                    receiver, node.options.self.vm, w.now + seconds(1));
        }
        w.pass(1);
    }
    EXPECT_EQ(w.heartbeats, 2u * 20u / 5u);
    w.expect_all_know(2);
}

// A lost datagram with a new server must not hide it until the next repair.
TEST(entry_peers, a_node_that_lacks_servers_asks_for_a_full_batch)
{
    world w;
    w.add(0, 1);
    w.add(1, 2);
    w.pass(2);
    auto& node = w.nodes.at(world::at(0));
    const auto other = world::vm(1);
    w.joined = 0;
    w.run(ask_directory(node, other, w.now));
    EXPECT_EQ(w.joined, 1u);
    EXPECT_TRUE(ask_directory(node, other, w.now + seconds(1)).empty());
    EXPECT_FALSE(ask_directory(node, other, w.now + seconds(2)).empty());
    EXPECT_TRUE(ask_directory(node, base::vm_id{"x"}, w.now).empty());
}

TEST(entry_peers, acknowledgments_name_all_nodes_in_turn)
{
    world w;
    for (std::uint16_t i = 0; i < 17; ++i)
        w.add(i, i + 1u);
    w.pass(4);
    std::set<wire::endpoint> named;
    for (std::uint64_t sequence = 100; sequence < 106; ++sequence)
        for (const auto& e :
             endpoints_for_ack(w.nodes.begin()->second, sequence))
            named.insert(e);
    EXPECT_EQ(named.size(), 17u);
}

TEST(entry_peers, other_data_centres_and_unbounded_peers_are_ignored)
{
    world w;
    w.add(0, 1);
    auto& node = w.nodes.begin()->second;
    node.options.max_peers = 4;
    wire::entry_heartbeat h;
    h.data_centre = base::data_centre_id{"voru-b"};
    apply_heartbeat(node, h, start);
    EXPECT_EQ(node.foreign_data_centre, 1u);
    h.data_centre = node.options.data_centre;
    for (std::uint16_t i = 1; i < 50; ++i) {
        h.self = {base::vm_id{"x" + std::to_string(i)}, world::at(i)};
        h.known.assign(1, {base::vm_id{"y"}, world::at(i + 100)});
        apply_heartbeat(node, h, start);
    }
    EXPECT_EQ(node.peers.size(), 4u);
    EXPECT_LE(node.probes.size(), 4u);
    tick(node, start + seconds(120));
    EXPECT_TRUE(node.peers.empty());
}

} // namespace
} // namespace oleanderhinge::membership
