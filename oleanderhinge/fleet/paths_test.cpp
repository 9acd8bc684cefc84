#include "oleanderhinge/fleet/paths.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace oleanderhinge::fleet
{
namespace
{

path_server make_server(
    const std::string& id,
    const std::string& data_centre,
    std::uint32_t first,
    std::uint32_t end,
    double ms_per_layer = 0.1)
{
    return {
        base::backend_server_id{id},
        {id, 80},
        base::data_centre_id{data_centre},
        {base::layer_index{first}, base::layer_index{end}},
        ms_per_layer};
}

std::string names(const path& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += part.server.value() + ":" +
                std::to_string(part.layers.first.value()) + "-" +
                std::to_string(part.layers.end.value()) + " ";
    return text;
}

const base::data_centre_id home{"a"};

path cheapest(
    const std::vector<path_server>& servers, std::uint32_t layer_count)
{
    const auto found = find_paths(servers, layer_count, home, {});
    return found.empty() ? path{} : found.front().parts;
}

// Guards against paths that cross between data centres for a small gain in
// speed, although all transfers share one link.
TEST(find_paths, stays_in_the_home_data_centre_unless_others_are_much_faster)
{
    std::vector<path_server> servers{
        make_server("a1", "a", 0, 40),
        make_server("a2", "a", 40, 80),
        make_server("b1", "b", 0, 80, 0.05)};
    // Saving half a millisecond is worth less than the charge for events that
    // cross.
    servers[2].ms_per_layer = 0.095;
    EXPECT_EQ(names(cheapest(servers, 80)), "a1:0-40 a2:40-80 ");
    // The time saved on half of the layers is worth less than the charge for
    // prompts that cross.
    servers[0].ms_per_layer = 0.12;
    servers[2].layers.end = base::layer_index{40};
    EXPECT_EQ(names(cheapest(servers, 80)), "a1:0-40 a2:40-80 ");
    servers[0].ms_per_layer = 1;
    EXPECT_EQ(names(cheapest(servers, 80)), "b1:0-40 a2:40-80 ");
}

// Guards against a data centre that cannot serve because one server of its only
// chain is lost.
TEST(find_paths, runs_missing_layers_in_another_data_centre)
{
    const std::vector<path_server> servers{
        make_server("a1", "a", 0, 30),
        make_server("a3", "a", 50, 80),
        make_server("b1", "b", 20, 45),
        make_server("b2", "b", 45, 60)};
    const auto found = cheapest(servers, 80);
    EXPECT_TRUE(is_complete(found, 80));
    EXPECT_EQ(found.front().server.value(), "a1");
}

// Guards against first servers that are idle while all requests go to another
// one that is slightly cheaper, and queue for its batches.
TEST(find_paths, returns_a_path_for_each_first_server)
{
    const auto found = find_paths(
        {make_server("a1", "a", 0, 10, 0.2),
         make_server("a2", "a", 0, 10),
         make_server("a3", "a", 10, 80),
         make_server("b1", "b", 0, 80, 0.3)},
        80,
        home,
        {});
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(names(found[0].parts), "a2:0-10 a3:10-80 ");
    EXPECT_EQ(names(found[1].parts), "a1:0-10 a3:10-80 ");
    EXPECT_EQ(names(found[2].parts), "b1:0-80 ");
    EXPECT_LT(found[0].cost, found[1].cost);
}

// Guards against paths with more parts than engines accept.
TEST(find_paths, a_path_has_no_more_parts_than_engines_accept)
{
    std::vector<path_server> servers;
    for (std::uint32_t i = 0; i < 40; ++i)
        servers.push_back(make_server(std::to_string(i), "a", i, i + 1));
    EXPECT_TRUE(cheapest(servers, 40).empty());
    servers.push_back(make_server("wide", "a", 10, 30, 1));
    EXPECT_EQ(cheapest(servers, 40).size(), 21U);
}

// Guards against sending requests while some layer has no holder.
TEST(find_paths, finds_nothing_when_a_layer_is_missing)
{
    const std::vector<path_server> servers{
        make_server("a1", "a", 0, 30), make_server("a2", "a", 31, 80)};
    EXPECT_TRUE(cheapest(servers, 80).empty());
    EXPECT_TRUE(cheapest({}, 80).empty());
    EXPECT_TRUE(cheapest(servers, 0).empty());
}

// Guards against a path on which a layer runs twice or not at all, for any set
// of ranges.
RC_GTEST_PROP(find_paths, a_path_runs_every_layer_once_and_in_order, ())
{
    const auto count = *rc::gen::inRange(1, 30);
    std::vector<path_server> servers;
    for (int i = 0; i < count; ++i) {
        const auto first = *rc::gen::inRange<std::uint32_t>(0, 20);
        const auto length = *rc::gen::inRange<std::uint32_t>(1, 12);
        servers.push_back(make_server(
            std::to_string(i),
            *rc::gen::element<std::string>("a", "b", "c"),
            first,
            std::min(first + length, 20U),
            *rc::gen::inRange(1, 100) / 100.0));
    }
    const auto found = cheapest(servers, 20);
    std::vector<bool> held(20);
    for (const auto& server : servers)
        for (auto i = server.layers.first.value();
             i < server.layers.end.value();
             ++i)
            held[i] = true;
    const bool possible =
        std::find(held.begin(), held.end(), false) == held.end();
    RC_ASSERT(possible == !found.empty());
    if (!found.empty())
        RC_ASSERT(is_complete(found, 20));
    std::set<std::string> seen;
    for (const auto& part : found)
        RC_ASSERT(seen.insert(part.server.value()).second);
}

// Cost of the cheapest way to run the layers from `layer` on, by trying all.
double cheapest_cost(
    const std::vector<path_server>& servers,
    std::uint32_t layer,
    std::uint32_t layer_count,
    const base::data_centre_id& from,
    double change_ms,
    const path_costs& costs)
{
    if (layer == layer_count)
        return 0;
    double least = 1e9;
    for (const auto& server : servers) {
        const auto end = std::min(server.layers.end.value(), layer_count);
        if (server.layers.first.value() > layer || end <= layer)
            continue;
        const double change = server.data_centre == from ? 0 : change_ms;
        least = std::min(
            least,
            change + server.ms_per_layer * (end - layer) + costs.part_ms +
                cheapest_cost(
                    servers,
                    end,
                    layer_count,
                    server.data_centre,
                    costs.crossing_ms,
                    costs));
    }
    return least;
}

// Guards against a search that misses the cheapest path.
RC_GTEST_PROP(find_paths, finds_the_cheapest_path, ())
{
    constexpr std::uint32_t layer_count = 6;
    const path_costs costs;
    std::vector<path_server> servers;
    const auto count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < count; ++i) {
        const auto first = *rc::gen::inRange<std::uint32_t>(0, layer_count);
        const auto size = *rc::gen::inRange<std::uint32_t>(1, layer_count);
        servers.push_back(make_server(
            std::to_string(i),
            std::string(1, char(*rc::gen::inRange('a', 'd'))),
            first,
            first + size,
            *rc::gen::inRange(1, 50) / 10.0));
    }
    const auto found = find_paths(servers, layer_count, home, costs);
    const auto least = cheapest_cost(
        servers, 0, layer_count, home, costs.remote_start_ms, costs);
    RC_ASSERT(found.empty() == (least >= 1e9));
    if (!found.empty())
        RC_ASSERT(std::abs(found.front().cost - least) < 1e-6);
}

// Guards against a charge that was right for one link only: prompts of 800
// tokens occupy a link of 2,500 Mbit/s for 42 ms, one of 19,000 for 10.
TEST(costs_of, a_crossing_costs_what_a_prompt_occupies_the_link)
{
    wire::engine_profile engine;
    EXPECT_EQ(costs_of(engine).crossing_ms, path_costs{}.crossing_ms);
    engine.usual_prompt_tokens = 800;
    engine.activation_bytes = 16400;
    engine.data_centre_link_mbps = 2500;
    EXPECT_NEAR(costs_of(engine).crossing_ms, 42.7, 0.1);
}

} // namespace
} // namespace oleanderhinge::fleet
