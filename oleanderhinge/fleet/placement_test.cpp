#include "oleanderhinge/fleet/placement.hpp"

#include "oleanderhinge/fleet/placement_fixture_test.hpp"

namespace oleanderhinge::fleet
{
namespace
{

using namespace test;

// Guards against data centres that depend on each other while no server has
// failed.
TEST_F(fleet_fixture, each_data_centre_gets_a_copy_of_its_own)
{
    EXPECT_EQ(this->settle(start), this->servers.size());
    for (const auto* data_centre : {"glasgow", "edinburgh", "inverness"})
        EXPECT_TRUE(is_complete(this->path_inside(data_centre), 80))
            << data_centre;
}

// Guards against orders for more layers than fit into a server's memory, which
// crash the server.
TEST_F(fleet_fixture, no_server_is_ordered_more_than_its_memory_holds)
{
    for (int round = 0; round < 5; ++round) {
        const auto now = start + seconds(10 * round);
        update(this->plan, this->profile, this->servers, now);
        for (const auto& [address, server] : this->plan.servers)
            EXPECT_LE(
                server.target.end.value() - server.target.first.value(),
                largest_range(this->profile, server.memory_mb));
        // Five more servers are lost in each round.
        this->servers.resize(this->servers.size() - 5);
    }
}

// Guards against layers that are moved while nothing changes.
TEST_F(fleet_fixture, a_settled_fleet_gets_no_orders)
{
    this->settle(start);
    EXPECT_EQ(this->settle(start + seconds(4)), 0U);
    EXPECT_EQ(this->settle(start + seconds(60)), 0U);
}

// A small server crashes for some seconds, and a server of the first part takes
// its layers. Guards against a data centre that stays without a path, and
// against neighbours that take the layers and have no memory left for requests.
TEST_F(fleet_fixture, a_first_part_server_replaces_a_crashed_server)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    const auto lost = this->remove_server("glasgow3");
    EXPECT_EQ(this->settle(start + seconds(1)), 0U);
    EXPECT_EQ(this->settle(start + milliseconds(1500)), 1U);
    // Completing the longest answer there would take seconds.
    EXPECT_EQ(this->last_handover, handover::abort_running);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
    // No layers move while it is unavailable.
    EXPECT_EQ(this->settle(start + seconds(3)), 0U);
    // The server restarts without layers: it loads its assigned layers, then
    // the substitute returns to its own.
    auto restarted = lost;
    restarted.started_ms = 2;
    restarted.layers = {};
    this->servers.push_back(restarted);
    this->settle(start + seconds(5));
    EXPECT_EQ(this->servers.back().layers, lost.layers);
    EXPECT_EQ(this->settle(start + seconds(6)), 1U);
    EXPECT_EQ(this->last_handover, handover::finish_running);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
    EXPECT_EQ(this->settle(start + seconds(7)), 0U);
}

// The largest server of a data centre stops reporting. Guards against a chain
// that cannot serve until the model is divided again.
TEST_F(fleet_fixture, several_first_part_servers_replace_a_large_server)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    const auto lost = this->remove_server("glasgow0");
    EXPECT_EQ(lost.kind, "a100");
    this->settle(start + seconds(1));
    EXPECT_GT(this->settle(start + milliseconds(1500)), 1U);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// One of several servers of the first part is lost permanently. Guards against
// moving all layers of the data centre although each still has a holder.
TEST_F(fleet_fixture, losing_one_first_part_server_moves_no_layers)
{
    this->settle(start);
    std::vector<std::string> first;
    for (const auto& server : this->servers)
        if (server.data_centre.value() == "glasgow" &&
            server.layers.first.value() == 0)
            first.push_back(server.id.value());
    ASSERT_GT(first.size(), 2U);
    this->remove_server(first.front());
    for (int second = 1; second < 20; ++second)
        EXPECT_EQ(this->settle(start + seconds(second)), 0U) << second;
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// The leader of control fails while a substitute holds the layers of a lost
// server. Guards against a new leader that orders the substitute back to its
// assigned layers and so breaks the chain.
TEST_F(fleet_fixture, a_new_leader_keeps_a_substitute)
{
    this->settle(start);
    this->settle(start + milliseconds(500));
    this->remove_server("glasgow3");
    this->settle(start + seconds(1));
    this->settle(start + milliseconds(1500));
    this->plan = restore(places_of(this->plan), start + seconds(3));
    EXPECT_EQ(this->settle(start + seconds(5)), 0U);
    EXPECT_TRUE(is_complete(this->path_inside("glasgow"), 80));
}

// Some servers first report seconds after the others. Guards against a first
// division that leaves them without layers permanently.
TEST_F(fleet_fixture, servers_that_report_late_get_layers)
{
    const auto late = this->remove_server("inverness0");
    const auto later = this->remove_server("glasgow8");
    this->settle(start);
    this->servers.push_back(late);
    this->settle(start + seconds(1));
    this->servers.push_back(later);
    this->settle(start + seconds(2));
    this->settle(start + seconds(30));
    for (const auto& server : this->servers)
        EXPECT_NE(server.layers, base::layer_range{}) << server.id.value();
    for (const auto* data_centre : {"glasgow", "edinburgh", "inverness"})
        EXPECT_TRUE(is_complete(this->path_inside(data_centre), 80))
            << data_centre;
}

// Guards against chains with more parts than engines accept in a data centre
// with many small servers; several shorter chains are made instead.
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
    EXPECT_LE(parts.size(), path_costs{}.max_parts);
}

// A VM of control restarts with its clock at zero and restores a plan. Guards
// against dividing the model again for a spare server, as during the
// late-report window after a first division.
TEST_F(fleet_fixture, a_restored_plan_is_not_divided_again)
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

// A server without layers is added to a fully assigned fleet. Guards against a
// server that stays idle, and against moving the layers of others for it.
TEST_F(fleet_fixture, an_added_server_joins_the_first_part)
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
    EXPECT_EQ(this->settle(start + seconds(60)), 0U);
    EXPECT_EQ(this->settle(start + seconds(60) + spare_hold), 1U);
    EXPECT_EQ(this->servers.back().layers.first.value(), 0U);
    EXPECT_GT(this->servers.back().layers.end.value(), 0U);
}

// Guards against failover for servers that are still loading after the first
// division.
TEST_F(fleet_fixture, loading_servers_cause_no_failover)
{
    update(this->plan, this->profile, this->servers, start);
    due_orders(this->plan, this->profile, this->servers, true, start);
    for (auto& server : this->servers)
        if (server.data_centre.value() != "glasgow" || server.kind == "a100")
            server.layers = this->plan.servers.at({server.address, 80}).layers;
    const auto later = start + seconds(2);
    update(this->plan, this->profile, this->servers, later);
    for (const auto& [address, server] : this->plan.servers)
        EXPECT_EQ(server.target, server.layers);
}

// Guards against layers that stay without a holder when their server is lost
// permanently.
TEST_F(fleet_fixture, a_new_server_takes_the_place_of_one_that_is_gone)
{
    this->settle(start);
    const auto lost = this->remove_server("glasgow3");
    this->add("glasgow", 0, 0, 0);
    auto fresh = lost;
    fresh.id = base::backend_server_id{"fresh"};
    fresh.address = "fresh";
    fresh.layers = {};
    this->servers.push_back(fresh);
    this->settle(start + replace_after + seconds(1));
    EXPECT_EQ(this->servers.back().layers, lost.layers);
}

// Guards against a new leader without a recorded plan that divides the model
// again.
TEST_F(fleet_fixture, a_new_leader_adopts_reported_layers)
{
    this->settle(start);
    this->remove_server("edinburgh4");
    placement successor;
    update(successor, this->profile, this->servers, start + seconds(9));
    for (const auto& server : this->servers)
        EXPECT_EQ(
            successor.servers.at({server.address, 80}).layers, server.layers);
}

// One odd report, among those of servers that hold no layers yet, claims layers
// that the model does not have or that its memory cannot hold. Guards against a
// plan that relies on them and gives the other servers nothing.
TEST_F(fleet_fixture, impossible_layers_are_not_adopted)
{
    const auto real_servers = this->servers;
    for (const auto& [first, end] :
         std::vector<std::pair<std::uint32_t, std::uint32_t>>{
             {0, 4294967295}, {0, 80}, {4294967294, 4294967295}, {70, 81}}) {
        this->servers = real_servers;
        this->plan = {};
        wire::server_record odd = real_servers.back();
        odd.id = base::backend_server_id{"odd"};
        odd.address = "odd";
        odd.layers = {base::layer_index{first}, base::layer_index{end}};
        this->servers.push_back(odd);
        this->settle(start);
        for (const auto& server : this->servers)
            EXPECT_NE(server.layers, base::layer_range{})
                << server.id.value() << ", odd: " << first << '-' << end;
    }
}

// One odd report names a data centre that no other server is in. Guards against
// a model that is divided over all data centres because this one cannot hold a
// copy.
TEST_F(fleet_fixture, a_single_server_elsewhere_does_not_join_the_data_centres)
{
    auto odd = this->servers.back();
    odd.id = base::backend_server_id{"odd"};
    odd.address = "odd";
    odd.data_centre = base::data_centre_id{"nowhere"};
    this->servers.push_back(odd);
    this->settle(start);
    for (int second = 1; second < 30; ++second) {
        if (second == 5)
            this->remove_server("odd");
        this->settle(start + seconds(second));
        for (const auto* data_centre : {"glasgow", "edinburgh", "inverness"})
            EXPECT_TRUE(is_complete(this->path_inside(data_centre), 80))
                << data_centre << ' ' << second;
    }
}

// Guards against a leader that never gets out of planning, or plans layers that
// do not fit, because a manifest has sizes that no engine has.
TEST_F(fleet_fixture, absurd_sizes_end_in_a_plan_within_memory)
{
    const auto real = this->profile;
    for (const double layer_mb : {0.0, 1e-300, 1e300})
        for (const double memory_mb : {-1e300, 0.0, 72000.0, 1e300}) {
            this->plan = {};
            this->profile = real;
            this->profile.layer_mb = layer_mb;
            this->profile.cache_bytes_per_token = 0;
            this->profile.kinds[0].memory_mb = memory_mb;
            update(this->plan, this->profile, this->servers, start);
            for (const auto& [address, server] : this->plan.servers)
                EXPECT_LE(server.target.end.value(), 80U)
                    << layer_mb << ' ' << memory_mb;
        }
    EXPECT_EQ(largest_range(real, -1), 0U);
    EXPECT_EQ(largest_range(real, 1e300), 80U);
}

// Pattern: many servers are replaced at the same time, and each takes a few
// layers. Guards against orders that wait for the reports of loads that ended
// long before.
TEST_F(fleet_fixture, orders_do_not_wait_for_the_reports_of_ended_loads)
{
    this->profile.load_seconds = 2;
    const base::time_point now{std::chrono::seconds(100)};
    update(this->plan, this->profile, this->servers, now);
    const auto count_due = [&](base::time_point at) {
        return due_orders(this->plan, this->profile, this->servers, false, at)
            .size();
    };
    EXPECT_EQ(count_due(now), this->profile.loads_at_once);
    EXPECT_EQ(count_due(now + std::chrono::milliseconds(50)), 0U);
    // Loads of the whole model take 2 s, those of a part at most 1 s. No load
    // is reported, and orders are sent again after 3 s only.
    std::size_t later = 0;
    for (int tenth = 1; tenth < 29; ++tenth)
        later += count_due(now + std::chrono::milliseconds(100 * tenth));
    EXPECT_GT(later, this->profile.loads_at_once);
}

// Guards against more concurrent loads than `loads_at_once`, which slow each
// other down.
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

// A server that loads other layers refuses. Guards against layers without a
// holder for as long as a lost order is waited for.
TEST_F(fleet_fixture, a_refused_order_is_repeated_soon)
{
    update(this->plan, this->profile, this->servers, start);
    const auto first =
        due_orders(this->plan, this->profile, this->servers, true, start);
    note_refused(this->plan, first.front());
    const auto count_due = [&](base::duration after) {
        return due_orders(
                   this->plan,
                   this->profile,
                   this->servers,
                   true,
                   start + after)
            .size();
    };
    EXPECT_EQ(count_due(refused_resend_after - milliseconds(1)), 0U);
    EXPECT_EQ(count_due(refused_resend_after), 1U);
}

// Guards against a lost order that is never sent again.
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
            start + order_resend_after)
            .size(),
        first.size());
}

} // namespace
} // namespace oleanderhinge::fleet
