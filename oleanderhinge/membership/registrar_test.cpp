// Guards against agents that change registrars unnecessarily, datagrams that
// are too large to send, and entries that expire when a registrar fails.
#include "oleanderhinge/membership/registrar.hpp"

#include "oleanderhinge/membership/agent_view.hpp"
#include "oleanderhinge/membership/model_totals.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

namespace oleanderhinge::membership
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(1000)};

wire::endpoint node(std::size_t i)
{
    return {"10.0.0." + std::to_string(i), 7302};
}

std::vector<wire::endpoint> node_list(std::size_t count)
{
    std::vector<wire::endpoint> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back(node(i));
    return nodes;
}

wire::announcement announce(const std::string& id, std::uint64_t sequence)
{
    wire::announcement a;
    a.server = base::backend_server_id{id};
    a.agent_incarnation = base::incarnation{7};
    a.sequence = sequence;
    a.state = wire::server_state::serving;
    a.model = base::model_id{"hinge"};
    a.version = "v3";
    a.layers = {base::layer_index{0}, base::layer_index{8}};
    a.layer_count = 16;
    a.load.limit = 8;
    return a;
}

// Removing a node moves only the servers that it was a registrar of. Adding a
// node moves servers only to the new node.
RC_GTEST_PROP(rendezvous, movement_is_minimal, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    const auto gone = *rc::gen::inRange<std::size_t>(0, count);
    const base::backend_server_id server{*rc::gen::arbitrary<std::string>()};
    const auto all = node_list(count);
    auto fewer = all;
    fewer.erase(fewer.begin() + std::ptrdiff_t(gone));
    std::reverse(fewer.begin(), fewer.end());
    const auto before = choose_registrars(server, all);
    const auto after = choose_registrars(server, fewer);
    RC_ASSERT(before.size() == std::min<std::size_t>(3, count));
    auto kept = before;
    std::erase(kept, node(gone));
    RC_ASSERT(std::equal(
        kept.begin(), kept.end(), after.begin(), after.begin() + kept.size()));
    if (kept.size() == before.size())
        RC_ASSERT(after == before);
}

TEST(rendezvous, load_is_spread_evenly)
{
    const auto nodes = node_list(16);
    std::map<wire::endpoint, int> load;
    for (int i = 0; i < 4300; ++i)
        for (const auto& n : choose_registrars(
                 base::backend_server_id{"s" + std::to_string(i)}, nodes))
            ++load[n];
    // The mean is 806; 130 is five standard deviations of the binomial
    // distribution.
    for (const auto& [n, count] : load)
        EXPECT_NEAR(count, 4300 * 3 / 16, 130) << n.address;
}

// Entry nodes that exchange batches; the first three are registrars of "s".
struct data_centre {
    struct entry {
        directory servers;
        registrar state;
        bool alive = true;
    };
    std::vector<entry> entries;
    std::vector<wire::endpoint> order;

    explicit data_centre(std::size_t count)
        : entries(count)
        , order(choose_nodes("s", node_list(count), count))
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->entries[i].state.options.self = this->order[i];
            this->entries[i].state.options.vm =
                base::vm_id{"e" + std::to_string(i)};
        }
    }

    // Simulates one second: the agent announces itself, then batches are
    // exchanged. Returns the entry nodes that sent a heartbeat.
    std::vector<std::size_t>
    round(std::optional<wire::announcement> item, base::time_point now)
    {
        std::vector<std::size_t> senders;
        for (std::size_t i = 0; item && i < registrar_count; ++i)
            if (this->entries[i].alive)
                apply_announcement(this->entries[i].servers, *item, now);
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            auto& from = this->entries[i];
            if (!from.alive)
                continue;
            for (const auto& batch :
                 make_batch(from.state, take_snapshot(from.servers), now)) {
                if (!batch.alive.empty())
                    senders.push_back(i);
                for (auto& to : this->entries)
                    if (&to != &from && to.alive) {
                        apply_update(to.servers, batch, now);
                        note_batch(
                            to.state, batch, from.state.options.self, now);
                    }
            }
        }
        for (auto& e : this->entries)
            expire(e.servers, now);
        return senders;
    }

    bool known_everywhere() const
    {
        return std::all_of(
            this->entries.begin(), this->entries.end(), [](const entry& e) {
                return !e.alive || !e.servers.servers.empty();
            });
    }
};

TEST(registrar, two_registrars_send_heartbeats_and_one_failure_expires_nothing)
{
    for (std::size_t dead = 0; dead < 3; ++dead) {
        data_centre dc(6);
        auto now = start;
        std::uint64_t sequence = 0;
        std::vector<std::size_t> senders;
        for (int i = 0; i < 20; ++i) {
            now += seconds(1);
            if (i == 8)
                dc.entries[dead].alive = false;
            senders = dc.round(announce("s", ++sequence), now);
            EXPECT_TRUE(dc.known_everywhere()) << dead << " " << i;
            if (i == 7) {
                EXPECT_EQ(senders, (std::vector<std::size_t>{0, 1}));
            }
        }
        EXPECT_EQ(senders.size(), 2u) << dead;
        // The agent stops announcing itself.
        for (int i = 0; i < 4; ++i)
            dc.round(std::nullopt, now += seconds(1));
        for (const auto& e : dc.entries)
            EXPECT_TRUE(!e.alive || e.servers.servers.empty());
    }
}

TEST(registrar, changes_are_passed_on_once_and_repaired_in_turn)
{
    directory servers;
    registrar state;
    state.options.self = node(1);
    state.options.repair_rounds = 10;
    std::size_t sent = 0;
    auto now = start;
    std::uint64_t sequence = 0;
    const auto next = [&](std::uint32_t in_progress, std::uint32_t end) {
        auto a = announce("s", ++sequence);
        a.load.in_progress = in_progress;
        a.layers.end = base::layer_index{end};
        apply_announcement(servers, a, now += seconds(1));
        sent = 0;
        for (const auto& b : make_batch(state, take_snapshot(servers), now)) {
            sent += b.changed.size();
            EXPECT_EQ(b.changed.size(), b.ages_ms.size());
        }
    };
    next(0, 8);
    EXPECT_EQ(sent, 1u) << "join";
    std::size_t repairs = 0;
    for (int i = 0; i < 20; ++i) {
        next(std::uint32_t(i % 8), 8);
        repairs += sent;
    }
    EXPECT_EQ(repairs, 2u) << "load travels in heartbeats only";
    next(0, 16);
    EXPECT_EQ(sent, 1u) << "range";
}

// A sealed datagram must not exceed the limit for names of any length.
RC_GTEST_PROP(registrar, datagrams_are_bounded, ())
{
    directory servers;
    registrar state;
    const auto count = *rc::gen::inRange(0, 60);
    for (int i = 0; i < count; ++i) {
        auto a = announce("s" + std::to_string(i), 1);
        a.version.assign(*rc::gen::inRange<std::size_t>(0, 1600), 'v');
        apply_announcement(servers, a, start);
    }
    std::size_t changed = 0;
    std::size_t alive = 0;
    const auto view = take_snapshot(servers);
    for (const auto& b : make_batch(state, view, start)) {
        RC_ASSERT(
            wire::seal("secret", b, wire::stamp{1}).size() <=
            wire::max_datagram);
        changed += b.changed.size();
        alive += b.alive.size();
    }
    RC_ASSERT(changed + state.too_large == std::size_t(count));
    RC_ASSERT(alive == std::size_t(count));
}

TEST(model_totals, capacity_is_that_of_the_worst_stage)
{
    directory servers;
    struct row {
        const char* id;
        std::uint32_t first, end, in_progress;
    };
    for (const auto& r :
         {row{"a", 0, 8, 2},
          row{"b", 0, 8, 0},
          row{"c", 8, 16, 5},
          row{"d", 4, 16, 7}}) {
        auto a = announce(r.id, 1);
        a.layers = {base::layer_index{r.first}, base::layer_index{r.end}};
        a.load.in_progress = r.in_progress;
        apply_announcement(servers, a, start);
    }
    auto totals = total_models(take_snapshot(servers), start);
    ASSERT_EQ(totals.size(), 1u);
    EXPECT_EQ(totals[0].servers, 4u);
    EXPECT_EQ(totals[0].free_slots, 4u);
    EXPECT_EQ(totals[0].worst_stage.first.value(), 8u);
    EXPECT_EQ(totals[0].worst_stage.end.value(), 16u);
    // Layers 8 to 16 lose all their servers.
    apply_announcement(servers, announce("a", 2), start + seconds(2));
    totals = total_models(take_snapshot(servers), start + seconds(3));
    EXPECT_EQ(totals[0].free_slots, 0u);
    EXPECT_EQ(totals[0].worst_stage.first.value(), 8u);
}

TEST(model_totals, summaries_fit_and_old_ones_are_ignored)
{
    std::vector<wire::model_total> totals(64);
    for (std::size_t i = 0; i < totals.size(); ++i)
        totals[i] = {
            base::model_id{"model-" + std::to_string(i)}, "v1", 3, 10, {}};
    summary_sender sender{base::data_centre_id{"voru-b"}, base::incarnation{1}};
    const auto first = make_summaries(sender, totals);
    totals[0].free_slots = 99;
    const auto second = make_summaries(sender, totals);
    EXPECT_GT(first.size(), 1u);
    remote_models remote;
    const auto apply_all = [&](const auto& list, base::time_point now) {
        bool any = false;
        for (const auto& s : list) {
            EXPECT_LE(
                wire::seal("x", s, wire::stamp{1}).size(), wire::max_datagram);
            any = apply_summary(remote, s, now) || any;
        }
        return any;
    };
    EXPECT_TRUE(apply_all(second, start));
    EXPECT_FALSE(apply_all(second, start)) << "repeated";
    EXPECT_FALSE(apply_all(first, start + seconds(1))) << "overtaken";
    const auto found = data_centres_of_model(
        remote, base::model_id{"model-0"}, "v1", start + seconds(1));
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].second.free_slots, 99u);
    // Another sender takes over with a summary that was made later.
    summary_sender other{sender.data_centre, base::incarnation{2}};
    EXPECT_TRUE(apply_all(make_summaries(other, totals), start + seconds(10)));
    expire(remote, start + seconds(40));
    EXPECT_TRUE(remote.models.empty());
}

// --- Agent ------------------------------------------------------------------

struct agent_network {
    agent_view view;
    std::vector<wire::endpoint> alive;
    base::time_point now = start;

    // Sends one announcement; returns the endpoints it was sent to.
    std::vector<wire::endpoint> announce_once()
    {
        this->now += seconds(1);
        auto sent = choose_announcement_targets(this->view, this->now);
        for (const auto& to : sent)
            if (std::find(this->alive.begin(), this->alive.end(), to) !=
                this->alive.end())
                apply_ack(
                    this->view,
                    {.server = this->view.options.server,
                     .entry_nodes = this->alive},
                    to,
                    this->now);
        return sent;
    }
};

TEST(agent_view, learns_nodes_from_one_seed_and_replaces_a_dead_registrar)
{
    agent_network network;
    network.view.options.server = base::backend_server_id{"s"};
    network.view.options.seeds = {node(0), node(99)};
    network.alive = node_list(8);
    network.announce_once();
    for (int i = 0; i < 4; ++i)
        network.announce_once();
    const auto expected =
        choose_registrars(network.view.options.server, network.alive);
    const auto dead = expected.front();
    std::erase(network.alive, dead);
    // The registrar does not answer for one lease and is replaced.
    for (int i = 0; i < 5; ++i)
        network.announce_once();
    const auto sent = network.announce_once();
    for (const auto& e :
         choose_registrars(network.view.options.server, network.alive))
        EXPECT_NE(std::find(sent.begin(), sent.end(), e), sent.end());
    // After it returns, it is a registrar again within one retry interval.
    network.alive.push_back(dead);
    for (int i = 0; i < 6; ++i)
        network.announce_once();
    EXPECT_EQ(network.announce_once(), expected);
}

TEST(agent_view, without_answers_all_seeds_are_tried_and_others_forgotten)
{
    agent_network network;
    network.view.options.seeds = node_list(5);
    network.alive = {node(1), node(7)};
    for (int i = 0; i < 10; ++i)
        network.announce_once();
    EXPECT_TRUE(network.view.nodes.contains(node(7)));
    network.alive.clear();
    for (int i = 0; i < 30; ++i)
        network.announce_once();
    EXPECT_FALSE(network.view.nodes.contains(node(7)));
    EXPECT_EQ(count_answering(network.view, network.now), 0u);
    EXPECT_EQ(network.announce_once().size(), 5u);
    network.alive = {node(4)};
    network.announce_once();
    EXPECT_EQ(network.announce_once().front(), node(4));
}

} // namespace
} // namespace oleanderhinge::membership
