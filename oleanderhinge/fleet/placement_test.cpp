#include "oleanderhinge/fleet/placement.hpp"

#include "oleanderhinge/fleet/paths.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::fleet
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(100)};

// The fleet of today's sites: 80 layers of 1,750 MB on three kinds.
wire::engine_profile make_profile()
{
    wire::engine_profile profile;
    profile.layer_count = 80;
    profile.layer_mb = 1750;
    profile.loads_at_once = 6;
    profile.cache_bytes_per_token = 590000;
    profile.step_ms = 1.02;
    profile.step_ms_per_request = 0.00459;
    profile.step_ms_per_1000_context = 0.00615;
    profile.read_tokens_per_second = 164000;
    profile.usual_prompt_tokens = 774;
    profile.usual_answer_tokens = 210;
    profile.kinds = {
        {"a100", 72000, 2.4, 3.2},
        {"v100", 14400, 5.3, 7.9},
        {"l4", 21600, 16, 8.2}};
    return profile;
}

class fleet_fixture : public testing::Test
{
protected:
    fleet_fixture()
    {
        this->add("glasgow", 1, 6, 6);
        this->add("edinburgh", 1, 10, 4);
        this->add("inverness", 2, 4, 4);
    }

    void add(const std::string& place, int a100, int v100, int l4)
    {
        for (int i = 0; i < a100 + v100 + l4; ++i) {
            wire::server_record record;
            const auto id = place + std::to_string(i);
            record.id = base::backend_server_id{id};
            record.started_ms = 1;
            record.service = "chat";
            record.address = id;
            record.port = 80;
            record.data_centre = base::data_centre_id{place};
            record.kind = i < a100 ? "a100" : i < a100 + v100 ? "v100" : "l4";
            this->servers.push_back(record);
        }
    }

    // Plans, and lets every order be carried out at once.
    std::size_t settle(base::time_point now)
    {
        std::size_t count = 0;
        update(this->plan, this->profile, this->servers, now);
        for (const auto& order :
             due_orders(this->plan, this->profile, this->servers, true, now)) {
            ++count;
            this->last_handover = order.running;
            for (auto& server : this->servers)
                if (server.id == order.server)
                    server.layers = order.layers;
        }
        return count;
    }

    // The complete path that stays in one data centre, if there is one.
    path path_inside(const std::string& place) const
    {
        std::vector<path_server> found;
        for (const auto& server : this->servers)
            if (server.data_centre.value() == place)
                found.push_back(
                    {server.id,
                     {server.address, server.port},
                     server.data_centre,
                     server.layers,
                     1});
        const auto paths = find_paths(
            found, this->profile.layer_count, base::data_centre_id{place}, {});
        return paths.empty() ? path{} : paths.front().parts;
    }

    wire::server_record take_out(const std::string& id)
    {
        for (auto i = this->servers.begin(); i != this->servers.end(); ++i) {
            if (i->id.value() != id)
                continue;
            const auto record = *i;
            this->servers.erase(i);
            return record;
        }
        return {};
    }

    wire::engine_profile profile = make_profile();
    std::vector<wire::server_record> servers;
    placement plan;
    handover last_handover = handover::finish_running;
};

// Guards against data centres that depend on each other on a calm day.
TEST_F(fleet_fixture, each_data_centre_gets_a_copy_of_its_own)
{
    EXPECT_EQ(this->settle(start), this->servers.size());
    for (const auto* place : {"glasgow", "edinburgh", "inverness"})
        EXPECT_TRUE(is_complete(this->path_inside(place), 80)) << place;
}

// Guards against a server that is ordered to hold more than fits: it crashes.
TEST_F(fleet_fixture, no_server_is_ordered_more_than_its_memory_holds)
{
    for (int round = 0; round < 5; ++round) {
        const auto now = start + seconds(10 * round);
        update(this->plan, this->profile, this->servers, now);
        for (const auto& [address, server] : this->plan.servers)
            EXPECT_LE(
                server.wanted.end.value() - server.wanted.first.value(),
                largest_range(this->profile, server.memory_mb));
        // Ever more servers are lost.
        this->servers.resize(this->servers.size() - 5);
    }
}

// Guards against layers that move about while nothing changes.
TEST_F(fleet_fixture, a_settled_fleet_gets_no_orders)
{
    this->settle(start);
    EXPECT_EQ(this->settle(start + seconds(4)), 0U);
    EXPECT_EQ(this->settle(start + seconds(60)), 0U);
}

// Pattern: a small server crashes for some seconds. Guards against a data
// centre that stays without a path, and against neighbours that have no room
// left for requests: one of the first servers stands in.
TEST_F(fleet_fixture, a_first_server_stands_in_for_a_crashed_server)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    const auto lost = this->take_out("glasgow3");
    EXPECT_EQ(this->settle(start + seconds(1)), 0U);
    EXPECT_EQ(this->settle(start + milliseconds(1500)), 1U);
    // Waiting for the longest answer there would take seconds.
    EXPECT_EQ(this->last_handover, handover::cut_running);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
    // Nothing moves while it is away.
    EXPECT_EQ(this->settle(start + seconds(3)), 0U);
    // It is back and empty: it loads its old place, then the other goes back.
    auto back = lost;
    back.started_ms = 2;
    back.layers = {};
    this->servers.push_back(back);
    this->settle(start + seconds(5));
    EXPECT_EQ(this->servers.back().layers, lost.layers);
    EXPECT_EQ(this->settle(start + seconds(6)), 1U);
    EXPECT_EQ(this->last_handover, handover::finish_running);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
    EXPECT_EQ(this->settle(start + seconds(7)), 0U);
}

// Pattern: the largest server of a data centre goes dark. Guards against a
// chain that waits until its layers are divided anew.
TEST_F(fleet_fixture, several_first_servers_stand_in_for_a_large_server)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    const auto lost = this->take_out("glasgow0");
    EXPECT_EQ(lost.kind, "a100");
    this->settle(start + seconds(1));
    EXPECT_GT(this->settle(start + milliseconds(1500)), 1U);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// Pattern: a first server is lost for good. Guards against a data centre whose
// layers all move although none is missing.
TEST_F(fleet_fixture, the_other_first_servers_go_on_without_a_lost_one)
{
    this->settle(start);
    std::vector<std::string> first;
    for (const auto& server : this->servers)
        if (server.data_centre.value() == "glasgow" &&
            server.layers.first.value() == 0)
            first.push_back(server.id.value());
    ASSERT_GT(first.size(), 2U);
    this->take_out(first.front());
    for (int second = 1; second < 20; ++second)
        EXPECT_EQ(this->settle(start + seconds(second)), 0U) << second;
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// Pattern: the leader of control dies while a first server stands in. Guards
// against a successor that sends it back to its place and breaks the chain.
TEST_F(fleet_fixture, a_successor_keeps_a_stand_in)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    this->take_out("glasgow3");
    this->settle(start + seconds(1));
    this->settle(start + milliseconds(1500));
    this->plan = restore(places_of(this->plan), start + seconds(3));
    EXPECT_EQ(this->settle(start + seconds(5)), 0U);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// Pattern: some servers report seconds after the others. Guards against a
// division of the rest that leaves them without layers for good.
TEST_F(fleet_fixture, servers_that_report_late_get_their_share)
{
    const auto late = this->take_out("inverness0");
    const auto later = this->take_out("glasgow8");
    this->settle(start);
    this->servers.push_back(late);
    this->settle(start + seconds(1));
    this->servers.push_back(later);
    this->settle(start + seconds(2));
    this->settle(start + seconds(30));
    for (const auto& server : this->servers)
        EXPECT_NE(server.layers, base::layer_range{}) << server.id.value();
    for (const auto* place : {"glasgow", "edinburgh", "inverness"})
        EXPECT_TRUE(is_complete(this->path_inside(place), 80)) << place;
}

// Guards against chains that engines reject for their length, where a data
// centre has many small servers: several shorter ones are divided.
TEST_F(fleet_fixture, a_large_data_centre_gets_chains_that_engines_accept)
{
    this->servers.clear();
    this->profile.kinds.push_back({"small", 4400, 5, 8});
    this->add("polva", 3, 0, 0);
    for (int i = 0; i < 40; ++i) {
        auto small = this->servers.front();
        small.id = base::backend_server_id{"small" + std::to_string(i)};
        small.address = small.id.value();
        small.kind = "small";
        this->servers.push_back(small);
    }
    this->settle(start);
    const auto parts = this->path_inside("polva");
    EXPECT_TRUE(is_complete(parts, 80));
    EXPECT_LE(parts.size(), path_costs{}.most_parts);
}

// Pattern: a VM of control restarts with its clock at zero. Guards against a
// plan that was taken over and is divided anew for a spare, as if the fleet
// were still loading.
TEST_F(fleet_fixture, a_plan_that_was_taken_over_is_no_first_division)
{
    this->settle(start);
    auto spare = this->servers.back();
    spare.id = base::backend_server_id{"spare"};
    spare.address = "spare";
    spare.kind = "a100";
    spare.layers = {};
    const base::time_point early{seconds(3)};
    this->plan = restore(places_of(this->plan), early);
    this->servers.push_back(spare);
    update(this->plan, this->profile, this->servers, early);
    this->servers.pop_back();
    for (const auto& server : this->servers)
        EXPECT_EQ(
            this->plan.servers.at({server.address, 80}).layers, server.layers)
            << server.id.value();
}

// Pattern: empty servers are added to a fleet that works. Guards against
// servers that stay idle, and against layers that move for them.
TEST_F(fleet_fixture, an_added_server_joins_the_first_ones)
{
    this->settle(start);
    wire::server_record added;
    for (const auto& server : this->servers)
        if (server.kind == "l4")
            added = server;
    added.id = base::backend_server_id{"added"};
    added.address = "added";
    added.layers = {};
    this->servers.push_back(added);
    EXPECT_EQ(this->settle(start + seconds(60)), 1U);
    EXPECT_EQ(this->servers.back().layers.first.value(), 0U);
    EXPECT_GT(this->servers.back().layers.end.value(), 0U);
}

// Guards against neighbours that cover while a fleet loads for the first time.
TEST_F(fleet_fixture, loading_servers_need_no_cover)
{
    update(this->plan, this->profile, this->servers, start);
    due_orders(this->plan, this->profile, this->servers, true, start);
    for (auto& server : this->servers)
        if (server.data_centre.value() != "glasgow" || server.kind == "a100")
            server.layers = this->plan.servers.at({server.address, 80}).layers;
    const auto later = start + seconds(2);
    update(this->plan, this->profile, this->servers, later);
    for (const auto& [address, server] : this->plan.servers)
        EXPECT_EQ(server.wanted, server.layers);
}

// Guards against a place that stays empty when its server is lost for good.
TEST_F(fleet_fixture, a_new_server_takes_the_place_of_one_that_is_gone)
{
    this->settle(start);
    const auto lost = this->take_out("glasgow3");
    this->add("glasgow", 0, 0, 0);
    auto fresh = lost;
    fresh.id = base::backend_server_id{"fresh"};
    fresh.address = "fresh";
    fresh.layers = {};
    this->servers.push_back(fresh);
    this->settle(start + replace_after + seconds(1));
    EXPECT_EQ(this->servers.back().layers, lost.layers);
}

// Guards against a new leader that divides the fleet anew.
TEST_F(fleet_fixture, a_successor_takes_over_what_servers_hold)
{
    this->settle(start);
    this->take_out("edinburgh4");
    placement successor;
    update(successor, this->profile, this->servers, start + seconds(9));
    for (const auto& server : this->servers)
        EXPECT_EQ(
            successor.servers.at({server.address, 80}).layers, server.layers);
}

// Guards against a thundering load: more than this many slow each other down.
TEST_F(fleet_fixture, orders_respect_the_loads_at_once)
{
    update(this->plan, this->profile, this->servers, start);
    EXPECT_EQ(
        due_orders(this->plan, this->profile, this->servers, false, start)
            .size(),
        6U);
    EXPECT_TRUE(
        due_orders(
            this->plan, this->profile, this->servers, false, start + seconds(1))
            .empty());
}

// Guards against an order that got lost: it is sent again.
TEST_F(fleet_fixture, an_order_without_effect_is_repeated)
{
    update(this->plan, this->profile, this->servers, start);
    const auto first =
        due_orders(this->plan, this->profile, this->servers, true, start);
    EXPECT_TRUE(
        due_orders(
            this->plan, this->profile, this->servers, true, start + seconds(1))
            .empty());
    EXPECT_EQ(
        due_orders(
            this->plan,
            this->profile,
            this->servers,
            true,
            start + order_repeat)
            .size(),
        first.size());
}

} // namespace
} // namespace oleanderhinge::fleet
