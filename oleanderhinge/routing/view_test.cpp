// Guards against servers that stay ejected for ever, too many ejections at a
// time, load that is counted twice, and removed servers left in the index.
#include "oleanderhinge/routing/view.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace oleanderhinge::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{100s};

server_info make_server(int number)
{
    server_info info;
    info.id = base::backend_server_id{"s" + std::to_string(number)};
    info.agent_incarnation = base::incarnation{1};
    info.state = wire::server_state::serving;
    info.model = base::model_id{"m"};
    info.layers = {base::layer_index{0}, base::layer_index{8}};
    info.layer_count = 8;
    return info;
}

server_view make_view(int servers)
{
    server_view v;
    for (int i = 0; i < servers; ++i)
        put_server(v, make_server(i), start);
    return v;
}

void fail_times(server_view& v, int number, int times, base::time_point now)
{
    for (int i = 0; i < times; ++i)
        note_failure(v, make_server(number).id, now);
}

TEST(ejection, follows_consecutive_failures_and_returns_in_steps)
{
    auto v = make_view(3);
    const auto id = make_server(0).id;
    fail_times(v, 0, 2, start);
    note_success(v, id, start);
    fail_times(v, 0, 2, start);
    EXPECT_EQ(traffic_share(v, id, start), 1) << "success ends the series";
    fail_times(v, 0, 1, start);
    const struct {
        base::duration after;
        double share;
    } steps[] = {
        {0ms, 0},
        {999ms, 0},
        {1000ms, 0.1},
        {1999ms, 0.1},
        {2000ms, 0.25},
        {3000ms, 0.5},
        {4000ms, 1}};
    for (const auto& step : steps)
        EXPECT_EQ(traffic_share(v, id, start + step.after), step.share);
    // One failure during the return ejects again, for twice as long.
    fail_times(v, 0, 1, start + 2500ms);
    EXPECT_EQ(traffic_share(v, id, start + 4400ms), 0);
    EXPECT_EQ(traffic_share(v, id, start + 4500ms), 0.1);
}

TEST(ejection, takes_at_most_a_third_of_a_stage)
{
    const struct {
        int servers;
        int ejected;
    } cases[] = {{1, 0}, {2, 0}, {3, 1}, {5, 1}, {6, 2}, {10, 3}};
    for (const auto& c : cases) {
        auto v = make_view(c.servers);
        int ejected = 0;
        for (int i = 0; i < c.servers; ++i) {
            fail_times(v, i, 5, start);
            ejected += traffic_share(v, make_server(i).id, start) == 0;
        }
        EXPECT_EQ(ejected, c.ejected) << c.servers << " servers";
    }
}

TEST(ejection, ends_with_a_new_incarnation)
{
    auto v = make_view(3);
    fail_times(v, 0, 3, start);
    auto restarted = make_server(0);
    restarted.agent_incarnation = base::incarnation{2};
    put_server(v, restarted, start);
    EXPECT_EQ(traffic_share(v, restarted.id, start), 1);
}

TEST(load_correction, counts_each_request_once)
{
    auto v = make_view(1);
    const auto id = make_server(0).id;
    const wire::load_report three{.in_progress = 3, .limit = 8};
    note_sent(v, id, start);
    note_sent(v, id, start + 500ms);
    EXPECT_EQ(estimated_requests(v, id), 2);
    // The report includes the first two, but not the one sent just before.
    note_sent(v, id, start + 995ms);
    update_load(v, id, base::incarnation{1}, three, start + 1000ms);
    EXPECT_EQ(estimated_requests(v, id), 4);
    note_ended(v, id);
    EXPECT_EQ(estimated_requests(v, id), 3);
    update_load(v, id, base::incarnation{9}, {}, start + 1000ms);
    EXPECT_EQ(estimated_requests(v, id), 3) << "other incarnation";
}

RC_GTEST_PROP(view, index_holds_exactly_the_present_servers, ())
{
    server_view v;
    std::map<int, server_info> present;
    for (int i = 0; i < 100; ++i) {
        const int number = *rc::gen::inRange(0, 12);
        if (*rc::gen::inRange(0, 3) == 0) {
            remove_server(v, make_server(number).id);
            present.erase(number);
            continue;
        }
        auto s = make_server(number);
        if (*rc::gen::inRange(0, 2) == 0)
            s.adapters = {"law", "law"};
        s.layers.end =
            base::layer_index{std::uint32_t(*rc::gen::inRange(1, 3)) * 4};
        put_server(v, s, start);
        present[number] = s;
    }
    std::size_t indexed = 0;
    for (const auto& [key, ranges] : v.models)
        for (const auto& [range, group] : ranges) {
            RC_ASSERT(!group.all.empty());
            indexed += group.all.size();
            for (const auto index : group.all)
                RC_ASSERT(v.servers[index].info.layers == range);
        }
    std::size_t expected = 0;
    for (const auto& [number, s] : present)
        expected += s.adapters.empty() ? 1 : 2;
    RC_ASSERT(indexed == expected);
    RC_ASSERT(v.by_id.size() == present.size());
}

} // namespace
} // namespace oleanderhinge::routing
