// Guards against members and gateways that take servers for silent although
// they report, and against members that know a part of the fleet only.
#include "oleanderhinge/control/fleet_watch.hpp"

#include <gtest/gtest.h>

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
