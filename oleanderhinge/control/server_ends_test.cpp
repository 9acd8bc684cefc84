// Guards against ends of servers that are forgotten, or that a late report
// undoes.
#include "oleanderhinge/control/server_ends.hpp"

#include "oleanderhinge/control/fleet_watch.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;
using control_state::ended_server;

const base::backend_server_id desk{"desk"};
const base::time_point start{100s};

std::deque<ended_server> log_with(std::uint64_t started_ms, std::uint64_t index)
{
    return {{desk, started_ms, base::log_index{index}, 0}};
}

wire::server_record make_report(std::uint64_t started_ms)
{
    wire::server_record record;
    record.id = desk;
    record.started_ms = started_ms;
    record.sequence = 7;
    record.service = "stores";
    record.address = "10.0.0.1";
    record.port = 80;
    return record;
}

// Guards against an end that no leader proposes, since one of them failed or
// another member led when it was told, and against one proposed at each tick.
TEST(server_ends, an_end_is_proposed_until_the_log_holds_it)
{
    server_ends ends;
    note_end(ends, desk, 5);
    EXPECT_TRUE(due_ends(ends, false, 1).empty());
    const auto due = due_ends(ends, true, 1);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].id, desk);
    EXPECT_EQ(due[0].started_ms, 5U);
    EXPECT_EQ(due[0].now_ms, 1U);
    EXPECT_TRUE(due_ends(ends, true, 1).empty());
    note_failed_proposal(ends, desk);
    EXPECT_EQ(due_ends(ends, true, 1).size(), 1U);
    // Another member leads for a while.
    EXPECT_TRUE(due_ends(ends, false, 1).empty());
    EXPECT_EQ(due_ends(ends, true, 1).size(), 1U);
    take_logged(ends, log_with(5, 3));
    note_failed_proposal(ends, desk);
    EXPECT_TRUE(due_ends(ends, true, 1).empty());
}

// Guards against the end of a process that counts for the next one under its
// id, whose own end would not be recorded.
TEST(server_ends, the_end_of_an_earlier_process_is_not_that_of_the_next)
{
    server_ends ends;
    note_end(ends, desk, 5);
    due_ends(ends, true, 1);
    note_end(ends, desk, 6);
    EXPECT_EQ(due_ends(ends, true, 1).size(), 1U);
    take_logged(ends, log_with(5, 3));
    EXPECT_TRUE(ends.unlogged.contains(desk));
    EXPECT_FALSE(holds_end(log_with(5, 3), desk, 6));
    EXPECT_TRUE(holds_end(log_with(6, 4), desk, 5));
    take_logged(ends, log_with(6, 4));
    EXPECT_TRUE(ends.unlogged.empty());
}

// Guards against ends that fill the memory of a member without a quorum, and
// against a record that ends the next process under the id.
TEST(server_ends, an_end_without_its_process_is_dropped)
{
    server_ends ends;
    fleet::directory known;
    fleet::apply(known, make_report(5), start);
    auto notice = make_report(5);
    notice.state = wire::reported_state::gone;
    fleet::apply(known, notice, start);
    note_end(ends, desk, 5);
    drop_obsolete(ends, known);
    EXPECT_TRUE(ends.unlogged.contains(desk));
    auto restarted = known;
    fleet::apply(restarted, make_report(6), start);
    for (const auto& later : {restarted, fleet::directory()}) {
        auto dropped = ends;
        drop_obsolete(dropped, later);
        EXPECT_TRUE(dropped.unlogged.empty());
    }
}

// Guards against an end that is sent to all gateways whenever another one is
// recorded.
TEST(server_ends, the_log_tells_each_end_once)
{
    server_ends ends;
    EXPECT_EQ(take_logged(ends, log_with(5, 3)).size(), 1U);
    EXPECT_TRUE(take_logged(ends, log_with(5, 3)).empty());
    EXPECT_EQ(take_logged(ends, log_with(6, 9)).size(), 1U);
}

// A member has restarted, and its log holds the end of a process. Guards
// against a report from before the end that makes the server usable, whether it
// arrives before the log has been read or after it.
TEST(server_ends, a_late_report_brings_no_server_back)
{
    struct row {
        const char* what;
        bool report_first;
        std::uint64_t reported;
        std::size_t usable;
    };
    const std::vector<row> rows{
        {"late report, then the log", true, 5, 0},
        {"the log, then a late report", false, 5, 0},
        {"a later process, then the log", true, 6, 1},
        {"the log, then a later process", false, 6, 1}};
    for (const auto& row : rows) {
        fleet_watch fleet;
        const auto take_log = [&] {
            note_ended(fleet, log_with(5, 3).front(), start);
        };
        if (!row.report_first)
            take_log();
        report(fleet, make_report(row.reported), false, start);
        if (row.report_first)
            take_log();
        EXPECT_EQ(fleet::usable(fleet.servers, "stores").size(), row.usable)
            << row.what;
        // Gateways may have got the late report from another member.
        const auto changes = take_changes(fleet, start);
        ASSERT_EQ(changes.for_gateways.records.size(), 1U) << row.what;
        EXPECT_EQ(
            changes.for_gateways.records[0].state == wire::reported_state::gone,
            row.usable == 0)
            << row.what;
    }
}

// Guards against a plan that begins before any server has reported, as a member
// reads old ends from its log when it starts.
TEST(server_ends, an_end_in_the_log_is_no_report)
{
    fleet_watch fleet;
    note_ended(fleet, log_with(5, 3).front(), start);
    EXPECT_EQ(fleet.first_report, base::time_point{});
    EXPECT_TRUE(take_changes(fleet, start).for_members.records.empty());
}

} // namespace
} // namespace oleanderhinge::control
