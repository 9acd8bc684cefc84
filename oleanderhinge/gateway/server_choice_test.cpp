#include "oleanderhinge/gateway/server_choice.hpp"

#include <gtest/gtest.h>

#include <map>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(100)};

wire::server_record make_record(
    const std::string& id, const std::string& place, std::uint32_t layers = 4)
{
    wire::server_record record;
    record.id = base::backend_server_id{id};
    record.started_ms = 1;
    record.sequence = 1;
    record.service = "chat";
    record.address = id;
    record.port = 80;
    record.data_centre = base::data_centre_id{place};
    record.kind = "card";
    record.layers = {base::layer_index{0}, base::layer_index{layers}};
    return record;
}

class choice_fixture : public testing::Test
{
protected:
    choice_fixture()
    {
        this->selector.home = base::data_centre_id{"a"};
        for (const auto* place : {"a", "b", "c"})
            apply_record(this->selector, make_record(place, place), start);
        this->service.name = "chat";
        auto& engine = this->service.engine.emplace();
        engine.layer_count = 4;
        engine.step_ms = 10;
        engine.kinds = {{"card", 1000, 1, 1}};
    }

    // Chooses 1,000 paths and counts them by first server; "" counts refusals.
    std::map<std::string, int>
    count_first_servers(std::uint32_t priority, base::time_point now = start)
    {
        std::map<std::string, int> counts;
        ++this->selector.generation;
        for (int i = 0; i < 1000; ++i) {
            const auto found = choose_path(
                this->selector, this->service, {}, priority, this->random, now);
            ++counts
                [found.parts.empty() ? "" : found.parts.front().server.value()];
        }
        return counts;
    }

    void set_load(const std::string& id, double slowness, std::uint64_t used)
    {
        wire::engine_load state;
        state.slowness = slowness;
        state.cache_used = used;
        state.cache_total = 100;
        state.layers = {base::layer_index{0}, base::layer_index{4}};
        fleet::note_load(
            this->selector.servers, base::backend_server_id{id}, state);
    }

    void set_first_event_wait(const std::string& id, base::duration longest)
    {
        this->selector.first_event_waits[{id, 80}] = longest;
    }

    // Server `a` sends no reports until the returned time and is forgotten.
    base::time_point silence_first_server()
    {
        const auto back = start + fleet::tombstone_time + seconds(10);
        fleet::refresh(
            this->selector.servers, base::backend_server_id{"b"}, back);
        forget_old_servers(this->selector);
        EXPECT_FALSE(this->selector.servers.servers.contains(
            base::backend_server_id{"a"}));
        return back;
    }

    server_selector selector;
    wire::forwarding_service service;
    base::random_source random{1};
};

// Guards against an unchanged share of requests for servers that have become
// slow.
TEST_F(choice_fixture, slow_servers_get_little)
{
    this->set_load("a", 5, 0);
    auto counts = this->count_first_servers(0);
    EXPECT_LT(counts["a"], 20);
    EXPECT_GT(counts["b"], 300);
}

// The cache of one data centre fills while others have room. Guards against
// gateways that keep filling their own data centre.
TEST_F(choice_fixture, full_caches_send_work_to_other_data_centres)
{
    EXPECT_GT(
        this->count_first_servers(0)["a"], this->count_first_servers(0)["b"]);
    this->set_load("a", 1, 80);
    auto counts = this->count_first_servers(0);
    EXPECT_LT(counts["a"], 20);
    EXPECT_EQ(counts[""], 0);
}

// An odd report claims layers that the model does not have, or that the memory
// of its kind cannot hold. Guards against requests that are sent there.
TEST_F(choice_fixture, servers_with_impossible_layers_get_nothing)
{
    auto& engine = *this->service.engine;
    engine.layer_mb = 100;
    engine.kinds.push_back({"small", 300, 1, 1});
    for (const auto layers : {5U, 4294967295U})
        apply_record(
            this->selector,
            make_record("odd" + std::to_string(layers), "a", layers),
            start);
    auto small = make_record("small", "a", 4);
    small.kind = "small";
    apply_record(this->selector, small, start);
    auto counts = this->count_first_servers(0);
    EXPECT_EQ(counts["odd5"], 0);
    EXPECT_EQ(counts["odd4294967295"], 0);
    EXPECT_EQ(counts["small"], 0);
    EXPECT_GT(counts["a"], 0);
}

// Servers start and end, and odd reports name others, for as long as a gateway
// runs. Guards against memory that grows with all of them, and against servers
// that are forgotten because control is out of reach.
TEST_F(choice_fixture, servers_that_ended_long_ago_are_forgotten)
{
    for (int i = 0; i < 1000; ++i)
        apply_record(
            this->selector, make_record("old" + std::to_string(i), "a"), start);
    note_started(this->selector, {"old0", 80});
    const base::backend_server_id left{"old1"};
    note_leaving(this->selector.signals, incarnation_of(this->selector, left));
    forget_old_servers(this->selector);
    EXPECT_EQ(this->selector.servers.servers.size(), 1003U);
    for (const auto* id : {"a", "b", "c"})
        fleet::refresh(
            this->selector.servers,
            base::backend_server_id{id},
            start + fleet::tombstone_time + seconds(1));
    forget_old_servers(this->selector);
    EXPECT_EQ(this->selector.servers.servers.size(), 3U);
    EXPECT_EQ(this->selector.servers.last_started.size(), 3U);
    // The leaving signal applies if this process reports again.
    EXPECT_EQ(this->selector.signals.servers.size(), 1U);
    // A request is still in progress at one of them.
    EXPECT_EQ(this->selector.health.size(), 4U);
    note_ended(this->selector, {"old0", 80});
    EXPECT_EQ(this->count_first_servers(0)[""], 0);
}

// More requests arrive than the servers can run, of any priority. Guards
// against requests that are run although their callers will have left by then:
// they are refused at once, the least urgent ones first.
TEST_F(choice_fixture, long_waits_refuse_the_least_urgent_work_first)
{
    for (const auto* id : {"a", "b", "c"})
        this->set_first_event_wait(id, milliseconds(700));
    EXPECT_EQ(this->count_first_servers(2)[""], 1000);
    EXPECT_EQ(this->count_first_servers(1)[""], 0);
    for (const auto* id : {"a", "b", "c"})
        this->set_first_event_wait(id, milliseconds(1000));
    EXPECT_EQ(this->count_first_servers(1)[""], 1000);
    EXPECT_EQ(this->count_first_servers(0)[""], 0);
    for (const auto* id : {"a", "b", "c"})
        this->set_first_event_wait(id, milliseconds(1500));
    EXPECT_EQ(this->count_first_servers(0)[""], 1000);
}

// Pattern: the chain of one data centre has lost a part, and only a slow link
// leads to that part elsewhere. Guards against requests that cross the link
// although another data centre runs all layers: the passes of each first server
// wait for the link, and all requests fail.
TEST_F(
    choice_fixture, a_broken_chain_does_not_use_the_link_between_data_centres)
{
    // Only the first half of the layers is left at home, twice as fast.
    auto half = make_record("a", "a", 2);
    half.sequence = 2;
    apply_record(this->selector, half, start);
    this->set_load("b", 50, 0);
    this->set_load("c", 50, 0);
    auto second_half = make_record("d", "b");
    second_half.layers = {base::layer_index{2}, base::layer_index{4}};
    apply_record(this->selector, second_half, start);
    EXPECT_EQ(this->count_first_servers(0)["a"], 0);
    // Without a whole chain anywhere, the link is used.
    for (const auto* id : {"b", "c"}) {
        auto gone = make_record(id, id);
        gone.sequence = 2;
        gone.state = wire::reported_state::gone;
        apply_record(this->selector, gone, start);
    }
    EXPECT_EQ(this->count_first_servers(0)["a"], 1000);
}

// Guards against a queue that keeps growing on one congested path.
TEST_F(choice_fixture, a_congested_path_gets_less)
{
    this->set_first_event_wait("a", milliseconds(600));
    auto counts = this->count_first_servers(0);
    EXPECT_LT(counts["a"], counts["b"]);
    EXPECT_GT(counts["a"], 0);
}

// A server fails, is used again and fails again. Guards against a server that
// gets its full share of requests right after each failure.
TEST_F(choice_fixture, ejections_grow_and_end)
{
    note_failure(this->selector, {"a", 80}, start);
    EXPECT_EQ(this->count_first_servers(0, start + milliseconds(400))["a"], 0);
    EXPECT_GT(this->count_first_servers(0, start + milliseconds(600))["a"], 0);
    note_failure(this->selector, {"a", 80}, start + seconds(1));
    EXPECT_EQ(this->count_first_servers(0, start + milliseconds(1900))["a"], 0);
    // Ejected servers are used if there are no others.
    for (const auto* id : {"b", "c"})
        note_failure(this->selector, {id, 80}, start + seconds(1));
    EXPECT_EQ(this->count_first_servers(0, start + milliseconds(1100))[""], 0);
}

// Guards against new parts of a path on a server that leaves, and against a
// running request that is begun again because its first server leaves.
TEST_F(choice_fixture, a_continuation_keeps_only_the_first_server_that_leaves)
{
    this->selector.servers = {};
    apply_record(this->selector, make_record("first", "a", 2), start);
    for (const auto* id : {"near", "far"}) {
        auto rest = make_record(id, *id == 'n' ? "a" : "b");
        rest.layers = {base::layer_index{2}, base::layer_index{4}};
        apply_record(this->selector, rest, start);
    }
    for (const auto* id : {"first", "near"})
        note_leaving(this->selector.signals, {base::backend_server_id{id}, 1});
    const fleet::path_part first{
        base::backend_server_id{"first"},
        {"first", 80},
        base::data_centre_id{"a"},
        {base::layer_index{0}, base::layer_index{2}}};
    const auto found =
        choose_continuation(this->selector, this->service, {first}, {}, start);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[1].server.value(), "far");
    EXPECT_EQ(this->count_first_servers(0)["first"], 0);
}

// A later part leaves, and the others of the path are busy. Guards against a
// stream whose parts all change, each of which would read the prompt again.
TEST_F(choice_fixture, a_continuation_keeps_the_parts_that_stay)
{
    this->selector.servers = {};
    fleet::path present;
    std::uint32_t layer = 0;
    for (const auto* id : {"first", "busy", "ends"}) {
        const base::layer_range layers{
            base::layer_index{layer}, base::layer_index{layer + 1}};
        for (const std::string& name :
             {std::string(id), std::string(id) + "2"}) {
            auto record = make_record(name, "a");
            record.layers = layers;
            apply_record(this->selector, record, start);
        }
        present.push_back(
            {base::backend_server_id{id},
             {id, 80},
             base::data_centre_id{"a"},
             layers});
        ++layer;
    }
    this->service.engine->layer_count = layer;
    this->set_load("busy", 5, 0);
    auto& busy =
        this->selector.servers.servers.at(base::backend_server_id{"busy"});
    busy.record.layers = present[1].layers;
    note_leaving(this->selector.signals, {base::backend_server_id{"ends"}, 1});
    const auto found =
        choose_continuation(this->selector, this->service, present, {}, start);
    EXPECT_EQ(fleet::describe(found), "first,busy,ends2");
}

// Guards against callers that are told to return before any server is usable,
// or later than needed.
TEST_F(choice_fixture, a_service_is_in_backoff_if_no_path_is_left)
{
    const auto end = [this] {
        return backoff_end(this->selector, this->service, start);
    };
    EXPECT_EQ(end(), std::nullopt);
    auto pause = seconds(9);
    for (const auto* id : {"a", "b", "c"}) {
        EXPECT_EQ(end(), std::nullopt);
        note_backoff(
            this->selector.signals,
            {base::backend_server_id{id}, 1},
            start + pause,
            start);
        pause -= seconds(2);
    }
    EXPECT_EQ(end(), start + seconds(5));
    note_leaving(this->selector.signals, {base::backend_server_id{"c"}, 1});
    EXPECT_EQ(end(), start + seconds(7));
    EXPECT_EQ(count_excluded(this->selector, start), 3U);
    EXPECT_EQ(count_excluded(this->selector, start + seconds(8)), 2U);
}

// Guards against a server that is cut off from control for minutes and gets
// requests within its back-off when it reports again.
TEST_F(choice_fixture, a_backoff_outlasts_a_silent_server)
{
    const base::backend_server_id id{"a"};
    note_backoff(this->selector.signals, {id, 1}, start + seconds(900), start);
    const auto back = this->silence_first_server();
    apply_record(this->selector, make_record("a", "a"), back);
    EXPECT_FALSE(accepts_requests(this->selector, id, back));
    EXPECT_TRUE(accepts_requests(this->selector, id, start + seconds(900)));
}

// Guards against a leaving server that is cut off from control for minutes and
// gets requests when it reports again, and against its next process that does
// not get any.
TEST_F(choice_fixture, leaving_outlasts_a_silent_server)
{
    const base::backend_server_id id{"a"};
    note_leaving(this->selector.signals, {id, 1});
    const auto back = this->silence_first_server();
    auto record = make_record("a", "a");
    apply_record(this->selector, record, back);
    EXPECT_FALSE(accepts_requests(this->selector, id, back));
    ++record.started_ms;
    apply_record(this->selector, record, back);
    EXPECT_TRUE(accepts_requests(this->selector, id, back));
}

// Grey failure: a server of a plain service answers with errors while it
// reports itself healthy. Guards against an equal share of requests for it.
TEST_F(choice_fixture, grey_servers_get_less)
{
    for (int i = 0; i < 10; ++i)
        note_error(this->selector, {"a", 80}, start + milliseconds(i));
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[choose_server(
                     this->selector,
                     "chat",
                     {},
                     this->random,
                     start + milliseconds(20))
                     ->id.value()];
    EXPECT_EQ(counts["a"], 0);
}

} // namespace
} // namespace oleanderhinge::gateway
