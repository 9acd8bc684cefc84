#include "oleanderhinge/control/permit_issuer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration tick = 100ms;
constexpr base::duration window = 4s;
const base::time_point start{1h};

limited_server server_with(double per_second, std::string id = "a")
{
    return {base::backend_server_id{std::move(id)}, 1, "chat", per_second};
}

void demand(
    permit_issuer& issuer,
    std::uint64_t gateway,
    double per_second,
    base::time_point now)
{
    note_demand(
        issuer, net::link_id{gateway}, {{{"chat", float(per_second)}}}, now);
}

std::uint32_t
permits_in(const std::map<net::link_id, wire::permit_grant>& grants)
{
    std::uint32_t permits = 0;
    for (const auto& [gateway, grant] : grants)
        for (const auto& item : grant.items)
            permits += item.permits;
    return permits;
}

struct issued {
    base::time_point at;
    std::uint32_t permits = 0;
    double limit = 0;
};

// The permits that are usable in the 4 s that end with the last tick, each at
// any time of its life, and the bounds on them: that of the issuer, and below
// what the server allows. The highest limit of the time counts.
void check_window(const std::vector<issued>& ticks)
{
    const auto begin = ticks.back().at - window;
    std::uint32_t usable = 0;
    double limit = 0;
    bool same_limit = true;
    for (const auto& item : ticks) {
        const auto lifetime = fleet::permit_lifetime(item.limit);
        if (item.at + lifetime <= begin) {
            limit = item.limit;
            same_limit = true;
        } else {
            usable += item.permits;
        }
        same_limit = same_limit && (limit == 0 || limit == item.limit);
        limit = std::max(limit, item.limit);
    }
    const double seconds =
        std::chrono::duration<double>(window + fleet::permit_lifetime(limit))
            .count();
    if (same_limit)
        RC_ASSERT(usable <= seconds * limit + permit_burst(limit));
    RC_ASSERT(usable < 1.5 * 4 * limit + 5);
}

// Guards against more requests than a server allows: after idle times, late
// ticks, changes of the limit or the leader, and with any number of gateways.
RC_GTEST_PROP(permit_issuer, permits_stay_within_the_limit, ())
{
    permit_issuer issuer;
    std::vector<issued> ticks;
    const auto any_limit =
        rc::gen::element(0.1, 0.7, 1., 3.3, 10., 47.5, 400., 1e6);
    double limit = *any_limit;
    const auto gateways = *rc::gen::inRange<std::uint64_t>(1, 106);
    auto now = start;
    for (int i = 0; i < 300; ++i) {
        const auto event = *rc::gen::inRange(0, 40);
        now += event == 0 ? *rc::gen::inRange(1, 60) * tick : tick;
        if (event == 1)
            stop_issuing(issuer);
        const auto gateway = *rc::gen::inRange<std::uint64_t>(0, gateways);
        if (event == 2)
            forget_gateway(issuer, net::link_id{gateway});
        if (event == 3)
            limit = *any_limit;
        demand(issuer, gateway, *rc::gen::inRange(0, 50), now);
        const auto grants = issue(issuer, {server_with(limit)}, now);
        ticks.push_back({now, permits_in(grants), limit});
        check_window(ticks);
    }
}

struct division {
    const char* guards_against;
    double limit;
    std::vector<double> demands;
    std::size_t servers = 1;
};

const std::vector<division> divisions{
    {"one gateway that does not get all", 3.3, {1}},
    {"shares that do not follow the demand", 20, {1, 2, 3, 14}},
    {"starvation below one permit a second each", 0.7, {5, 5, 5, 1, 1, 40}},
    {"starvation beside a large gateway", 5, std::vector<double>(105, 1)},
    {"many permits a tick", 5000, {1, 7, 500, 0.1}},
    {"servers whose permits all go to one gateway at a time",
     0.5,
     std::vector<double>(40, 2),
     40},
};

// Guards against limits that are not used and gateways that do not get their
// part of them, as in the table.
TEST(permit_issuer, each_gateway_gets_its_share_of_the_whole_limit)
{
    for (auto row : divisions) {
        SCOPED_TRACE(row.guards_against);
        if (row.demands.size() == 105)
            row.demands.front() = 400;
        const auto total =
            std::accumulate(row.demands.begin(), row.demands.end(), 0.);
        std::vector<limited_server> servers;
        for (std::size_t i = 0; i < row.servers; ++i)
            servers.push_back(server_with(row.limit, std::to_string(i)));
        const double limit = row.limit * double(row.servers);
        permit_issuer issuer;
        std::vector<double> got(row.demands.size());
        double expected = 0;
        for (auto now = start; now <= start + 600s; now += tick) {
            for (std::size_t i = 0; i < row.demands.size(); ++i)
                demand(issuer, i, row.demands[i], now);
            for (const auto& [gateway, grant] : issue(issuer, servers, now))
                for (const auto& item : grant.items)
                    got[gateway.value()] += item.permits;
            expected =
                limit * std::chrono::duration<double>(now - start).count();
            const double sum = std::accumulate(got.begin(), got.end(), 0.);
            // Less than one permit of each server is not issued yet.
            ASSERT_GE(sum, expected - double(row.servers) - 0.01);
            ASSERT_LE(sum, expected + 0.01);
            for (std::size_t i = 0; i < got.size(); ++i)
                ASSERT_NEAR(got[i], sum * row.demands[i] / total, 2) << i;
        }
    }
}

// Guards against bursts: when demand returns, when a tick is late, when a node
// begins to lead, and when a limit falls.
TEST(permit_issuer, saves_no_more_than_the_burst)
{
    permit_issuer issuer;
    const auto permits = [&](base::time_point now, double limit) {
        demand(issuer, 1, 10, now);
        return permits_in(issue(issuer, {server_with(limit)}, now));
    };
    EXPECT_EQ(permits(start, 8), 0U);
    EXPECT_EQ(permits(start + 250ms, 8), 2U);
    EXPECT_EQ(permits(start + 60s, 8), 3U);
    issue(issuer, {server_with(8)}, start + 70s);
    EXPECT_EQ(permits(start + 70s, 1), 1U);
    stop_issuing(issuer);
    EXPECT_EQ(permits(start + 80s, 8), 0U);
    // A clock that went back.
    EXPECT_EQ(permits(start + 79s, 8), 0U);
}

// Guards against permits of servers whose limit or process has ended, and for
// gateways that get no requests or have left.
TEST(permit_issuer, forgets_what_has_ended)
{
    permit_issuer issuer;
    auto server = server_with(4);
    const auto receivers = [&](base::time_point now) {
        std::vector<std::uint64_t> found;
        for (const auto& [gateway, grant] : issue(issuer, {server}, now))
            if (!grant.items.empty())
                found.push_back(gateway.value());
        return found;
    };
    using gateways = std::vector<std::uint64_t>;
    receivers(start);
    demand(issuer, 1, 1, start + 250ms);
    EXPECT_EQ(receivers(start + 250ms), gateways{1});
    server.started_ms = 2;
    EXPECT_EQ(receivers(start + 500ms), gateways{});
    EXPECT_EQ(receivers(start + 750ms), gateways{1});
    EXPECT_EQ(permits_in(issue(issuer, {}, start + 900ms)), 0U);
    EXPECT_TRUE(issuer.buckets.empty() && issuer.credits.empty());
    EXPECT_EQ(receivers(start + 1s), gateways{});
    demand(issuer, 2, 1, start + 1s);
    EXPECT_EQ(receivers(start + 1250ms), gateways{2});
    forget_gateway(issuer, net::link_id{2});
    EXPECT_EQ(receivers(start + 1500ms), gateways{});
    for (const double none : {0., -1., std::nan("")}) {
        demand(issuer, 3, none, start + 1500ms);
        EXPECT_EQ(receivers(start + 1500ms), gateways{}) << none;
    }
    // An empty grant shows a gateway whose share is small that there is a
    // leader.
    EXPECT_TRUE(
        issue(issuer, {server}, start + 1500ms).contains(net::link_id{3}));
    demand(issuer, 3, 1e30, start + 1500ms);
    EXPECT_EQ(receivers(start + 1500ms), gateways{3});
}

// Guards against permits for a process that the limit is not about.
TEST(permit_issuer, limits_count_for_the_process_in_the_directory)
{
    const base::backend_server_id id{"a"};
    fleet::limit_table limits;
    fleet::note(limits, {id, 7, 3.0, 0}, start);
    struct known {
        std::uint64_t started_ms;
        wire::reported_state state;
        std::size_t limited;
    };
    const std::vector<known> table{
        {7, wire::reported_state::ready, 1},
        {7, wire::reported_state::draining, 1},
        {7, wire::reported_state::gone, 0},
        {6, wire::reported_state::ready, 0},
        {8, wire::reported_state::ready, 0},
    };
    EXPECT_TRUE(limited_servers({}, limits, start).empty());
    for (const auto& row : table) {
        fleet::directory directory;
        auto& record = directory.servers[id].record;
        record.id = id;
        record.service = "chat";
        record.started_ms = row.started_ms;
        record.state = row.state;
        const auto found = limited_servers(directory, limits, start);
        ASSERT_EQ(found.size(), row.limited) << row.started_ms;
        if (row.limited == 1) {
            EXPECT_EQ(found[0].service, "chat");
            EXPECT_EQ(found[0].per_second, 3.0);
        }
    }
    EXPECT_TRUE(
        limited_servers({}, limits, start + fleet::statement_lifetime).empty());
}

} // namespace
} // namespace oleanderhinge::control
