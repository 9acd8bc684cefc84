// Guards against chains that skip or repeat layers, contain a server that must
// not be selected, ignore distance and load, or are not found because the
// search follows a layer range that no other one continues.
#include "oleanderhinge/routing/choose.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace oleanderhinge::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{100s};

server_info make_server(
    const std::string& id,
    std::uint32_t first,
    std::uint32_t end,
    const std::string& data_centre = "dc-a",
    const std::string& region = "north")
{
    server_info info;
    info.id = base::backend_server_id{id};
    info.agent_incarnation = base::incarnation{1};
    info.data_centre = base::data_centre_id{data_centre};
    info.region = base::region_id{region};
    info.state = wire::server_state::serving;
    info.model = base::model_id{"m"};
    info.version = "1";
    info.layers = {base::layer_index{first}, base::layer_index{end}};
    info.layer_count = 32;
    info.load = {.limit = 16, .step_us = 10000};
    return info;
}

chain_query make_query()
{
    return {
        .model = base::model_id{"m"},
        .version = "1",
        .layer_count = 32,
        .data_centre = base::data_centre_id{"dc-a"},
        .region = base::region_id{"north"}};
}

std::vector<std::string>
ids(const server_view& v, const chain_query& query, std::uint64_t seed = 1)
{
    base::random_source random{seed};
    return base::handle(
        [&]() -> base::result<std::vector<std::string>> {
            BOOST_LEAF_AUTO(chosen, choose_chain(v, query, random, start));
            std::vector<std::string> names;
            for (const auto& stage : chosen.stages)
                names.push_back(stage.server.value());
            return names;
        },
        [](const base::error&) { return std::vector<std::string>{}; });
}

TEST(choose_chain, joins_servers_with_different_splits)
{
    server_view v;
    for (const auto& s :
         {make_server("a", 0, 10),
          make_server("b", 0, 16),
          make_server("c", 16, 24),
          make_server("d", 24, 32),
          make_server("e", 12, 32)})
        put_server(v, s, start);
    // Only 0-16-24-32 covers the model; 0-10 and 12-32 leave a gap.
    EXPECT_EQ(ids(v, make_query()), (std::vector<std::string>{"b", "c", "d"}));
}

// The x servers must not be selected; the y servers form a valid chain, but are
// overloaded.
TEST(choose_chain, never_selects_an_unusable_server)
{
    struct unusable_case {
        const char* name;
        void (*change)(server_info&);
    };
    const unusable_case cases[] = {
        {"leaving",
         [](server_info& s) { s.state = wire::server_state::leaving; }},
        {"starting",
         [](server_info& s) { s.state = wire::server_state::starting; }},
        {"expired", [](server_info& s) { s.expires = start; }},
        {"other version", [](server_info& s) { s.version = "2"; }},
        {"other model", [](server_info& s) { s.model = base::model_id{"n"}; }},
        {"other layer count", [](server_info& s) { s.layer_count = 40; }},
        {"without the adapter", [](server_info& s) { s.adapters.clear(); }},
        {"avoided", [](server_info& s) { s.id = {}; }},
    };
    for (const auto& c : cases) {
        server_view v;
        auto query = make_query();
        query.adapter = "law";
        query.avoid = {base::backend_server_id{}};
        for (const char* name : {"x0", "y0", "x1", "y1"}) {
            const bool head = name[1] == '0';
            auto s = make_server(name, head ? 0 : 16, head ? 16 : 32);
            s.adapters = {"law"};
            if (name[0] == 'x')
                c.change(s);
            else
                s.load.in_progress = 200;
            put_server(v, s, start);
        }
        for (std::uint64_t seed = 0; seed < 20; ++seed)
            EXPECT_EQ(
                ids(v, query, seed), (std::vector<std::string>{"y0", "y1"}))
                << c.name;
    }
}

// Guards against ending an answer that has begun while a server is left that
// only refused an earlier attempt.
TEST(choose_chain, selects_a_server_of_last_resort_if_there_is_no_other)
{
    struct row {
        const char* seen;
        std::vector<base::backend_server_id> avoid;
        std::vector<base::backend_server_id> last_resort;
        std::vector<std::string> expected;
    };
    const base::backend_server_id x{"x1"};
    const base::backend_server_id y{"y1"};
    const row rows[] = {
        {"another one is left", {}, {x}, {"x0", "y1"}},
        {"the other one failed", {y}, {x}, {"x0", "x1"}},
        {"both refused", {}, {x, y}, {"x0", "x1"}},
        {"it failed, too", {x, y}, {x}, {}},
    };
    server_view v;
    for (const auto& s :
         {make_server("x0", 0, 16),
          make_server("x1", 16, 32),
          make_server("y1", 16, 32, "dc-b")})
        put_server(v, s, start);
    for (const auto& r : rows) {
        auto query = make_query();
        query.avoid = r.avoid;
        query.last_resort = r.last_resort;
        EXPECT_EQ(ids(v, query), r.expected) << r.seen;
    }
}

TEST(choose_chain, names_the_gap_when_no_chain_covers_the_model)
{
    server_view v;
    put_server(v, make_server("a", 0, 8), start);
    put_server(v, make_server("b", 9, 32), start);
    base::random_source random{1};
    const auto detail = base::handle(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_CHECK(choose_chain(v, make_query(), random, start));
            return std::string("found");
        },
        [](const base::error& e) { return e.detail; });
    EXPECT_NE(detail.find("up to 8 of 32"), std::string::npos) << detail;
}

TEST(choose_chain, prefers_near_idle_and_fast_servers)
{
    struct preference {
        const char* name;
        void (*worsen)(server_info&);
    };
    const preference cases[] = {
        {"same region instead of same data centre",
         [](server_info& s) { s.data_centre = base::data_centre_id{"dc-b"}; }},
        {"other region",
         [](server_info& s) {
             s.data_centre = base::data_centre_id{"dc-z"};
             s.region = base::region_id{"south"};
         }},
        {"busy", [](server_info& s) { s.load.in_progress = 15; }},
        {"queue", [](server_info& s) { s.load.queued = 40; }},
        {"slow", [](server_info& s) { s.load.step_us = 30000; }},
        {"slow accelerator, no report",
         [](server_info& s) {
             s.load.step_us = 0;
             s.speed_percent = 30;
         }},
    };
    for (const auto& c : cases) {
        server_view v;
        auto worse = make_server("worse", 0, 32);
        c.worsen(worse);
        put_server(v, worse, start);
        put_server(v, make_server("better", 0, 32), start);
        for (std::uint64_t seed = 0; seed < 20; ++seed)
            EXPECT_EQ(
                ids(v, make_query(), seed), std::vector<std::string>{"better"})
                << c.name;
    }
}

// A server with a cached prefix is preferred only while it is not much busier
// than the others.
TEST(choose_chain, bounds_the_discount_for_a_cached_prefix)
{
    server_view v;
    for (const char* name : {"cold1", "cold2", "cold3", "cold4", "warm"})
        put_server(v, make_server(name, 0, 32), start);
    auto query = make_query();
    query.prefixes = prefix_hashes(std::string(4096, 'p'));
    note_prompt(v.prefixes, base::backend_server_id{"warm"}, query.prefixes);
    for (std::uint64_t seed = 0; seed < 20; ++seed)
        EXPECT_EQ(ids(v, query, seed), std::vector<std::string>{"warm"});
    for (int i = 0; i < 8; ++i)
        note_sent(v, base::backend_server_id{"warm"}, start);
    for (std::uint64_t seed = 0; seed < 20; ++seed)
        EXPECT_NE(ids(v, query, seed), std::vector<std::string>{"warm"});
}

TEST(choose_server, corrects_a_lagging_report_by_what_was_sent)
{
    server_view v;
    for (const char* name : {"s1", "s2", "s3"}) {
        auto s = make_server(name, 0, 0);
        s.kind = base::route_kind::service;
        s.service = "desk";
        s.layer_count = 0;
        put_server(v, s, start);
    }
    base::random_source random{3};
    std::map<std::string, int> chosen;
    for (int i = 0; i < 30; ++i)
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(
                    choice,
                    choose_server(
                        v,
                        {.service = "desk",
                         .data_centre = base::data_centre_id{"dc-a"},
                         .region = base::region_id{"north"}},
                        random,
                        start));
                ++chosen[choice.server.value()];
                note_sent(v, choice.server, start);
                return {};
            },
            [](const base::error& e) { ADD_FAILURE() << e.detail; });
    for (const auto& [name, count] : chosen)
        EXPECT_NEAR(count, 10, 2) << name;
    EXPECT_EQ(chosen.size(), 3U);
}

// With random servers: every selected chain is valid, and a chain is found
// whenever one exists among the usable servers.
RC_GTEST_PROP(choose_chain, finds_a_valid_chain_exactly_if_one_exists, ())
{
    server_view v;
    const auto count = *rc::gen::inRange(1, 40);
    std::map<std::string, server_info> usable;
    for (int i = 0; i < count; ++i) {
        const auto first = *rc::gen::inRange(0, 4) * 8;
        const auto end = *rc::gen::inRange(first / 8 + 1, 5) * 8;
        auto s = make_server(
            "s" + std::to_string(i),
            std::uint32_t(first),
            std::uint32_t(end),
            *rc::gen::element<std::string>("dc-a", "dc-b", "dc-c"),
            *rc::gen::element<std::string>("north", "south"));
        if (*rc::gen::inRange(0, 5) == 0)
            s.state = wire::server_state::leaving;
        else
            usable[s.id.value()] = s;
        put_server(v, s, start);
        for (auto f = *rc::gen::inRange(0, 6); f > 0; --f)
            note_failure(v, s.id, start);
    }
    std::set<std::uint32_t> covered{0};
    for (std::uint32_t layer = 0; layer < 32; layer += 8)
        for (const auto& [id, s] : usable)
            if (s.layers.first.value() == layer && covered.contains(layer))
                covered.insert(s.layers.end.value());
    const auto chosen =
        ids(v, make_query(), *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(chosen.empty() == !covered.contains(32));
    std::uint32_t next = 0;
    for (const auto& id : chosen) {
        RC_ASSERT(usable.contains(id));
        RC_ASSERT(usable[id].layers.first.value() == next);
        next = usable[id].layers.end.value();
    }
    RC_ASSERT(chosen.empty() || next == 32U);
}

} // namespace
} // namespace oleanderhinge::routing
