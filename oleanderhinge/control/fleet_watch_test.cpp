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

} // namespace
} // namespace oleanderhinge::control
