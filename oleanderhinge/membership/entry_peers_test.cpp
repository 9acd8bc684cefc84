// Guards against entry nodes of a data centre that do not discover each other,
// or that keep a failed node as a registrar.
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
struct peer_network {
    std::map<wire::endpoint, entry_peers> nodes;
    base::time_point now = start;
    std::size_t heartbeats = 0;
    std::size_t joined = 0;

    static wire::endpoint at(std::uint16_t i) { return {"10.0.0.1", i}; }

    // A VM name of about 70 characters, so that 24 of them do not fit a
    // datagram.
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

    void advance_seconds(int count)
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
    peer_network network;
    for (std::uint16_t i = 0; i < 30; ++i)
        network.add(i, i + 1u);
    network.advance_seconds(5);
    network.expect_all_know(30);
    EXPECT_EQ(network.joined, 30u * 29u) << "each join must be reported once";
    // The only seed fails.
    network.nodes.erase(peer_network::at(0));
    network.advance_seconds(4);
    network.expect_all_know(29);
}

TEST(entry_peers, restarted_node_is_reported_again)
{
    peer_network network;
    network.add(0, 1);
    network.add(1, 2);
    network.advance_seconds(2);
    EXPECT_EQ(network.joined, 2u);
    network.add(1, 3);
    network.advance_seconds(2);
    EXPECT_EQ(network.joined, 4u);
}

TEST(entry_peers, leaving_node_is_dropped_at_once_and_may_return)
{
    peer_network network;
    for (std::uint16_t i = 0; i < 3; ++i)
        network.add(i, i + 1u);
    network.advance_seconds(3);
    network.run(leave(network.nodes.at(peer_network::at(2))));
    EXPECT_EQ(live_endpoints(network.nodes.at(peer_network::at(0))).size(), 2u);
    EXPECT_EQ(live_endpoints(network.nodes.at(peer_network::at(2))).size(), 2u);
    network.add(2, 9);
    network.advance_seconds(2);
    network.expect_all_know(3);
}

TEST(entry_peers, batches_replace_most_heartbeats)
{
    peer_network network;
    network.add(0, 1);
    network.add(1, 2);
    network.advance_seconds(3);
    network.heartbeats = 0;
    for (int i = 0; i < 20; ++i) {
        for (auto& [endpoint, node] : network.nodes) {
            note_batch_sent(node, network.now + seconds(1));
            for (auto& [other, receiver] : network.nodes)
                note_batch_received(
                    receiver, node.options.self.vm, network.now + seconds(1));
        }
        network.advance_seconds(1);
    }
    EXPECT_EQ(network.heartbeats, 2u * 20u / 5u);
    network.expect_all_know(2);
}

// If the datagram that announces a new server is lost, the server must become
// known before its announcement is repeated.
TEST(entry_peers, a_node_that_lacks_servers_asks_for_a_full_batch)
{
    peer_network network;
    network.add(0, 1);
    network.add(1, 2);
    network.advance_seconds(2);
    auto& node = network.nodes.at(peer_network::at(0));
    const auto other = peer_network::vm(1);
    network.joined = 0;
    network.run(request_directory(node, other, network.now));
    EXPECT_EQ(network.joined, 1u);
    EXPECT_TRUE(
        request_directory(node, other, network.now + seconds(1)).empty());
    EXPECT_FALSE(
        request_directory(node, other, network.now + seconds(2)).empty());
    EXPECT_TRUE(request_directory(node, base::vm_id{"x"}, network.now).empty());
}

TEST(entry_peers, acknowledgments_name_all_nodes_in_turn)
{
    peer_network network;
    for (std::uint16_t i = 0; i < 17; ++i)
        network.add(i, i + 1u);
    network.advance_seconds(4);
    std::set<wire::endpoint> named;
    for (std::uint64_t sequence = 100; sequence < 106; ++sequence)
        for (const auto& e :
             endpoints_for_ack(network.nodes.begin()->second, sequence))
            named.insert(e);
    EXPECT_EQ(named.size(), 17u);
}

TEST(entry_peers, other_data_centres_and_unbounded_peers_are_ignored)
{
    peer_network network;
    network.add(0, 1);
    auto& node = network.nodes.begin()->second;
    node.options.max_peers = 4;
    wire::entry_heartbeat h;
    h.data_centre = base::data_centre_id{"voru-b"};
    apply_heartbeat(node, h, start);
    EXPECT_EQ(node.foreign_data_centre_heartbeats, 1u);
    h.data_centre = node.options.data_centre;
    for (std::uint16_t i = 1; i < 50; ++i) {
        h.self = {base::vm_id{"x" + std::to_string(i)}, peer_network::at(i)};
        h.known.assign(1, {base::vm_id{"y"}, peer_network::at(i + 100)});
        apply_heartbeat(node, h, start);
    }
    EXPECT_EQ(node.peers.size(), 4u);
    EXPECT_LE(node.probes.size(), 4u);
    tick(node, start + seconds(120));
    EXPECT_TRUE(node.peers.empty());
}

} // namespace
} // namespace oleanderhinge::membership
