#include "oleanderhinge/fleet/directory.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace oleanderhinge::fleet
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::reported_state;

const base::time_point start{seconds(100)};

wire::server_record make_record(
    const std::string& id,
    std::uint64_t started_ms,
    std::uint64_t sequence,
    reported_state state = reported_state::ready,
    const std::string& address = "10.0.0.1")
{
    wire::server_record record;
    record.id = base::backend_server_id{id};
    record.started_ms = started_ms;
    record.sequence = sequence;
    record.service = "chat";
    record.address = address;
    record.port = 80;
    record.state = state;
    return record;
}

std::size_t usable_count(const directory& known)
{
    return usable(known, "chat").size();
}

// Guards against a late report that makes a draining server usable again.
TEST(directory, an_older_report_changes_nothing)
{
    directory known;
    apply(known, make_record("a", 1, 5, reported_state::draining), start);
    EXPECT_EQ(
        apply(known, make_record("a", 1, 4), start + seconds(1)),
        report_outcome::stale);
    EXPECT_EQ(usable_count(known), 0U);
}

// Guards against a report that is delivered after the notice that its process
// has ended, and makes it usable again.
TEST(directory, a_process_that_left_does_not_come_back)
{
    directory known;
    apply(known, make_record("a", 1, 5), start);
    auto notice = make_record("a", 0, 0, reported_state::gone, "");
    EXPECT_EQ(apply(known, notice, start), report_outcome::changed);
    EXPECT_EQ(
        apply(known, make_record("a", 1, 6), start), report_outcome::stale);
    EXPECT_EQ(usable_count(known), 0U);
    // Sequence numbers of a restarted process under the same id start again.
    EXPECT_EQ(
        apply(known, make_record("a", 2, 1), start), report_outcome::changed);
    EXPECT_EQ(usable_count(known), 1U);
}

// Guards against ignoring a notice of a process's end that is delivered after
// later reports of the process.
TEST(directory, leaving_goes_before_later_reports_of_the_same_process)
{
    directory known;
    apply(known, make_record("a", 1, 9), start);
    apply(known, make_record("a", 1, 5, reported_state::gone), start);
    EXPECT_EQ(usable_count(known), 0U);
}

// Guards against requests to the former process at an address: a report that a
// partition delayed arrives after its sender has crashed.
TEST(directory, an_address_belongs_to_the_process_that_started_last)
{
    directory known;
    apply(known, make_record("new", 20, 1), start);
    apply(known, make_record("old", 10, 30), start + milliseconds(10));
    const auto found = usable(known, "chat");
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().id.value(), "new");
}

// Guards against an outage of control that makes all servers unusable.
TEST(directory, silence_is_measured_against_other_servers)
{
    directory known;
    apply(known, make_record("a", 1, 1), start);
    apply(
        known,
        make_record("b", 1, 1, reported_state::ready, "10.0.0.2"),
        start);
    EXPECT_EQ(usable_count(known), 2U);
    // Only b reports again.
    apply(
        known,
        make_record("b", 1, 9, reported_state::ready, "10.0.0.2"),
        start + silence_limit + seconds(1));
    EXPECT_EQ(usable_count(known), 1U);
}

// A member of control repeats the ends that its log holds when it restarts.
// Guards against servers that become unusable since they could not report
// meanwhile.
TEST(directory, the_end_of_a_server_makes_no_other_silent)
{
    directory known;
    apply(known, make_record("a", 1, 1), start);
    const auto later = start + silence_limit + seconds(1);
    auto notice = make_record("b", 1, 0, reported_state::gone, "");
    EXPECT_EQ(apply(known, notice, later), report_outcome::changed);
    EXPECT_EQ(usable_count(known), 1U);
    EXPECT_EQ(known.newest, start);
}

// Guards against requests that are sent to a failed server until its missing
// reports are noticed.
TEST(directory, a_suspected_server_is_used_again_after_its_next_report)
{
    directory known;
    apply(known, make_record("a", 1, 1), start);
    EXPECT_TRUE(suspect(known, {"10.0.0.1", 80}, start + seconds(1)));
    EXPECT_FALSE(suspect(known, {"10.0.0.1", 80}, start + seconds(1)));
    EXPECT_EQ(usable_count(known), 0U);
    // This report was in flight when the server was suspected.
    apply(known, make_record("a", 1, 2), start + milliseconds(1100));
    EXPECT_EQ(usable_count(known), 0U);
    apply(known, make_record("a", 1, 3), start + seconds(2));
    EXPECT_EQ(usable_count(known), 1U);
}

// Whether another process that started later has the server's address, by
// comparing it with all.
bool has_successor(const directory& known, const known_server& server)
{
    return std::any_of(
        known.servers.begin(), known.servers.end(), [&](const auto& item) {
            const auto& other = item.second.record;
            return other.started_ms > server.record.started_ms &&
                   other.address == server.record.address &&
                   other.port == server.record.port;
        });
}

// Guards against requests for a process whose address another one has taken,
// with reports in any order, restarts and changed addresses.
RC_GTEST_PROP(directory, an_address_belongs_to_the_process_started_last, ())
{
    directory known;
    auto now = start;
    for (int i = 0; i < 60; ++i) {
        now += seconds(*rc::gen::inRange(0, 8));
        auto record = make_record(
            std::to_string(*rc::gen::inRange(0, 5)),
            std::uint64_t(*rc::gen::inRange(1, 6)),
            std::uint64_t(*rc::gen::inRange(1, 6)),
            *rc::gen::element(reported_state::ready, reported_state::gone),
            std::to_string(*rc::gen::inRange(0, 3)));
        apply(known, record, now);
        if (*rc::gen::inRange(0, 10) == 0)
            expire(known, now);
        for (const auto& [id, server] : known.servers)
            if (is_alive(known, server))
                RC_ASSERT(!has_successor(known, server));
            else if (
                server.record.state == reported_state::ready &&
                server.heard + silence_limit >= known.newest)
                RC_ASSERT(has_successor(known, server));
    }
}

// An engine's state is some hundred milliseconds old when it is read. Guards
// against a server that has loaded its layers, has reported them and is not
// used, since a state from before the load arrives after the report.
TEST(directory, a_state_from_before_a_report_does_not_undo_its_layers)
{
    struct lag_case {
        base::duration after_report;
        bool applies;
    };
    for (const auto& item :
         {lag_case{milliseconds(100), false},
          lag_case{milliseconds(900), false},
          lag_case{seconds(1), true}}) {
        directory known;
        apply(known, make_record("a", 1, 1), start);
        auto loaded = make_record("a", 1, 2);
        loaded.layers = {base::layer_index{5}, base::layer_index{9}};
        apply(known, loaded, start + seconds(2));
        const auto now = start + seconds(2) + item.after_report;
        apply(known, make_record("b", 1, 1, reported_state::ready, "b"), now);
        wire::engine_load empty;
        empty.running = 3;
        EXPECT_EQ(note_load(known, loaded.id, empty), item.applies);
        const auto& record = known.servers.at(loaded.id).record;
        EXPECT_EQ(record.layers == loaded.layers, !item.applies);
        EXPECT_EQ(record.load->running, 3U);
    }
}

// Guards against a plan that takes silent servers, or an earlier process at an
// address, for servers that leave.
TEST(
    directory, leaving_and_lost_servers_are_those_that_something_speaks_against)
{
    directory known;
    apply(known, make_record("silent", 1, 1), start);
    const auto now = start + seconds(20);
    apply(
        known,
        make_record("leaves", 1, 1, reported_state::draining, "leaves"),
        now);
    apply(known, make_record("left", 1, 1, reported_state::gone, "again"), now);
    apply(
        known, make_record("again", 2, 1, reported_state::ready, "again"), now);
    apply(known, make_record("dark", 1, 1, reported_state::ready, "dark"), now);
    suspect(known, {"dark", 80}, now + seconds(1));
    EXPECT_EQ(
        leaving(known, "chat"), (std::vector<wire::endpoint>{{"leaves", 80}}));
    EXPECT_EQ(
        known_lost(known, "chat"),
        (std::vector<wire::endpoint>{{"dark", 80}, {"leaves", 80}}));
}

} // namespace
} // namespace oleanderhinge::fleet
