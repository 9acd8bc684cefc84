// Guards against members and gateways that take servers for silent although
// they report, and against members that know a part of the fleet only.
#include "oleanderhinge/control/fleet_watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};

wire::server_record make_record(const std::string& id, std::uint64_t sequence)
{
    wire::server_record record;
    record.id = base::backend_server_id{id};
    record.started_ms = 1;
    record.sequence = sequence;
    record.service = "chat";
    record.address = id;
    record.port = 80;
    return record;
}

// Passes on what one member sends to another.
void deliver(
    const fleet_changes& changes,
    fleet::peer_numbering& numbers,
    fleet_watch& to,
    base::time_point now)
{
    for (const auto& record : changes.for_members.records)
        report(to, record, true, now);
    if (!changes.numbers.servers.empty())
        fleet::learn(numbers, changes.numbers);
    if (changes.refreshed_here)
        note_refreshed(to, numbers, *changes.refreshed_here, now);
}

std::size_t usable_count(const fleet_watch& member)
{
    return fleet::usable(member.servers, "chat").size();
}

// Servers report to one member, every second, for longer than the limit of
// silence; a third one of them stops.
TEST(fleet_watch, refreshes_keep_servers_alive_at_other_members)
{
    fleet_watch first;
    fleet_watch second;
    fleet::peer_numbering numbers;
    auto now = start;
    for (std::uint64_t round = 1; round < 100; ++round) {
        now += 100ms;
        for (const auto* id : {"a", "b", "c"})
            if (round % 10 == 1 && (id[0] != 'c' || round < 30))
                report(first, make_record(id, round), false, now);
        deliver(take_changes(first, now), numbers, second, now);
        if (round < 60) {
            EXPECT_EQ(usable_count(second), 3U) << round;
        }
    }
    EXPECT_EQ(usable_count(second), 2U);
}

// A server is suspected between its report and the refresh that carries it.
TEST(fleet_watch, a_report_from_before_a_suspicion_does_not_clear_it)
{
    fleet_watch first;
    fleet_watch second;
    fleet::peer_numbering numbers;
    report(first, make_record("a", 1), false, start);
    deliver(take_changes(first, start), numbers, second, start);
    report(first, make_record("a", 2), false, start + 100ms);
    fleet::suspect(second.servers, {"a", 80}, start + 200ms);
    const auto now = start + 10s;
    deliver(take_changes(first, now), numbers, second, now);
    EXPECT_EQ(usable_count(second), 0U);
    report(first, make_record("a", 3), false, now);
    deliver(take_changes(first, now + 300ms), numbers, second, now + 300ms);
    EXPECT_EQ(usable_count(second), 1U);
}

// A member that starts again gets the records that the others know, and
// refreshes after that.
TEST(fleet_watch, a_new_member_learns_all_servers)
{
    fleet_watch first;
    for (const auto* id : {"a", "b"})
        report(first, make_record(id, 1), false, start);
    take_changes(first, start);
    fleet_watch second;
    fleet::peer_numbering numbers;
    fleet::learn(numbers, fleet::all_numbers(first.numbers));
    for (const auto& record : all_servers(first, start).records)
        report(second, record, true, start);
    EXPECT_EQ(usable_count(second), 2U);
}

// Guards against a record that no message can carry and that keeps the others
// from being sent.
TEST(fleet_watch, a_record_larger_than_a_message_is_left_out)
{
    auto large = make_record("large", 1);
    large.service = std::string(5'000'000, 'n');
    const auto batches =
        split({{make_record("a", 1), large, make_record("b", 1)}});
    ASSERT_EQ(batches.size(), 1U);
    ASSERT_EQ(batches[0].records.size(), 2U);
    EXPECT_EQ(batches[0].records[1].id.value(), "b");
    EXPECT_EQ(split({}).size(), 1U);
}

// Pattern: thousands of engines are asked for their load each second. Guards
// against a leader that has connections to all of them, and against engines
// that nobody or several members ask.
TEST(fleet_watch, members_share_the_engines_that_are_asked_for_their_load)
{
    wire::forwarding_table table;
    table.services = {{"chat", "", 0, wire::engine_profile{}}};
    table.services[0].engine->layer_count = 80;
    const std::vector<std::string> places{"a", "b", "c"};
    // Two members in a, one in b, none in c; the first one leads.
    std::vector<load_duty> duties(3);
    for (std::size_t i = 0; i < duties.size(); ++i) {
        duties[i].home = base::data_centre_id{i < 2 ? "a" : "b"};
        duties[i].position = i % 2;
        duties[i].members = 2;
        duties[i].with_member = {
            base::data_centre_id{"a"}, base::data_centre_id{"b"}};
        duties[i].active = true;
    }
    duties[0].leads = true;
    duties[2].position = 0;
    duties[2].members = 1;
    std::map<base::backend_server_id, int> asked;
    for (const auto& duty : duties) {
        fleet_watch member;
        for (int i = 0; i < 300; ++i) {
            auto record = make_record("s" + std::to_string(i), 1);
            record.data_centre =
                base::data_centre_id{places[std::size_t(i) % 3]};
            report(member, record, true, start);
        }
        std::size_t most = 0;
        for (std::size_t round = 0; round < load_rounds; ++round) {
            const auto due = due_for_load(
                member,
                table,
                duty,
                start + load_interval * int(round) / int(load_rounds));
            most = std::max(most, due.size());
            for (const auto& record : due)
                ++asked[record.id];
        }
        EXPECT_LE(most, 50U);
    }
    EXPECT_EQ(asked.size(), 300U);
    for (const auto& [id, count] : asked)
        EXPECT_EQ(count, 1) << id.value();
}

// A chain of twelve servers, and a member that gets some of their reports.
struct planned_member {
    planned_member()
    {
        this->table.services = {{"chat", "", 0, wire::engine_profile{}}};
        auto& engine = *this->table.services[0].engine;
        engine.layer_count = 80;
        engine.layer_mb = 1750;
        engine.load_seconds = 14;
        engine.loads_at_once = 6;
        engine.cache_bytes_per_token = 328000;
        engine.step_ms = 1;
        engine.read_tokens_per_second = 164000;
        engine.usual_prompt_tokens = 774;
        engine.usual_answer_tokens = 210;
        engine.kinds = {{"l4", 21600, 16, 8.2}};
        for (int i = 0; i < 12; ++i) {
            auto record = make_record("s" + std::to_string(i), 1);
            record.data_centre = base::data_centre_id{"glasgow"};
            record.kind = "l4";
            this->servers.push_back(record);
        }
        // An earlier leader places the layers.
        fleet_watch earlier;
        for (const auto& record : this->servers)
            report(earlier, record, true, start - 60s);
        for (const auto at : {start - 60s, start - 58s})
            for (const auto& order :
                 plan_orders(earlier, this->table, {}, true, at))
                for (auto& record : this->servers)
                    if (record.id == order.server)
                        record.layers = order.layers;
        this->kept["chat"] = fleet::places_of(earlier.placements["chat"]);
    }

    // Reports of all servers but one.
    void hear_all_but(const std::string& id, base::time_point at)
    {
        for (auto& record : this->servers) {
            record.sequence += 10;
            if (record.id.value() != id)
                report(this->member, record, true, at);
        }
    }

    // The holder of the last layer.
    wire::server_record last_part() const
    {
        return *std::max_element(
            this->servers.begin(),
            this->servers.end(),
            [](const auto& left, const auto& right) {
                return left.layers.end < right.layers.end;
            });
    }

    wire::forwarding_table table;
    std::vector<wire::server_record> servers;
    std::map<std::string, fleet::places> kept;
    fleet_watch member;
};

struct succession_case {
    const char* name;
    // What the successor knows of the server with the last layers.
    std::function<void(planned_member&, const wire::server_record&)> knows;
    // When it leads and gives the first order; unset if it gives none in 3 s.
    std::optional<base::duration> first_order;
    bool has_plan;
};

const succession_case succession_cases[] = {
    {"a gateway suspects it",
     [](auto& f, const auto& lost) {
         report(f.member, lost, true, start - 1s);
         fleet::suspect(f.member.servers, {lost.address, 80}, start - 200ms);
     },
     0ms,
     true},
    {"it leaves as announced",
     [](auto& f, auto lost) {
         lost.state = wire::reported_state::draining;
         ++lost.sequence;
         report(f.member, lost, true, start - 200ms);
     },
     0ms,
     true},
    {"nothing: another member may have heard of it",
     [](auto&, const auto&) {},
     settle_time + fleet::failover_after,
     true},
    {"it serves",
     [](auto& f, const auto& present) {
         report(f.member, present, true, start - 200ms);
     },
     std::nullopt,
     true},
    {"nothing, and no plan is recorded",
     [](auto&, const auto&) {},
     settle_time + fleet::failover_after,
     false},
};

// The leader fails just before or after a server. Guards against a chain that
// waits for a new leader's own reports although the members follow them all,
// and against a new leader that moves layers since it knows a part of the fleet
// only.
TEST(fleet_watch, a_new_leader_replaces_servers_that_are_known_to_be_lost)
{
    for (const auto& item : succession_cases) {
        planned_member f;
        const auto lost = f.last_part();
        f.hear_all_but(lost.id.value(), start - 1s);
        item.knows(f, lost);
        if (!item.has_plan)
            f.kept.clear();
        std::optional<base::duration> first;
        for (auto after = 0ms; after < 3s && !first; after += 100ms) {
            if (after % 1000ms == 0ms)
                f.hear_all_but(lost.id.value(), start + after);
            if (!plan_orders(f.member, f.table, f.kept, true, start + after)
                     .empty())
                first = after;
        }
        EXPECT_EQ(first.has_value(), item.first_order.has_value()) << item.name;
        if (first && item.first_order) {
            EXPECT_EQ(*first, *item.first_order) << item.name;
        }
    }
}

// Guards against members whose placement does not follow what others asked.
TEST(fleet_watch, loads_reach_the_other_members)
{
    fleet_watch first;
    fleet_watch second;
    for (auto* member : {&first, &second})
        report(*member, make_record("a", 1), true, start);
    wire::engine_load load;
    load.running = 7;
    first.new_loads[base::backend_server_id{"a"}] = load;
    const auto changes = take_loads(first);
    fleet::peer_numbering numbers;
    fleet::learn(numbers, changes.numbers);
    note_loads(second, numbers, changes.loads);
    const auto& record = second.servers.servers.begin()->second.record;
    ASSERT_TRUE(record.load);
    EXPECT_EQ(record.load->running, 7U);
    EXPECT_TRUE(take_loads(first).loads.items.empty());
}

} // namespace
} // namespace oleanderhinge::control
