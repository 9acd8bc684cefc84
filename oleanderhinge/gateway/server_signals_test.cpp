#include "oleanderhinge/gateway/server_signals.hpp"

#include "oleanderhinge/gateway/signal_recorder.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(100)};
const base::backend_server_id server{"a"};

// Guards against signals that get lost, that a report or a later answer clears,
// and that outlive the process which sent them.
TEST(server_signals, decide_which_process_accepts_requests)
{
    using signal = std::function<void(server_signals&)>;
    const auto leaves = [](std::uint64_t started_ms) -> signal {
        return [started_ms](server_signals& signals) {
            note_leaving(signals, {server, started_ms});
        };
    };
    const auto backs_off = [](std::uint64_t started_ms,
                              milliseconds time) -> signal {
        return [started_ms, time](server_signals& signals) {
            note_backoff(signals, {server, started_ms}, start + time, start);
        };
    };
    const auto restarts = [](std::uint64_t started_ms) -> signal {
        return [started_ms](server_signals& signals) {
            forget_others(signals, {server, started_ms});
        };
    };
    struct row {
        const char* what;
        std::vector<signal> sent;
        std::uint64_t started_ms;
        milliseconds at;
        bool accepts;
    };
    const std::vector<row> rows{
        {"no signal", {}, 1, milliseconds(0), true},
        {"leaving", {leaves(1)}, 1, milliseconds(0), false},
        {"leaving, much later", {leaves(1)}, 1, seconds(600), false},
        {"leaving, reported again",
         {leaves(1), restarts(1)},
         1,
         milliseconds(0),
         false},
        {"another process left", {leaves(1)}, 2, milliseconds(0), true},
        {"restarted", {leaves(1), restarts(2)}, 2, milliseconds(0), true},
        {"an old answer after the restart",
         {leaves(2), leaves(1)},
         2,
         milliseconds(0),
         false},
        {"in back-off",
         {backs_off(1, seconds(2))},
         1,
         milliseconds(1999),
         false},
        {"after the back-off", {backs_off(1, seconds(2))}, 1, seconds(2), true},
        {"a shorter back-off follows",
         {backs_off(1, seconds(2)), backs_off(1, milliseconds(400))},
         1,
         seconds(1),
         false},
        {"a longer back-off follows",
         {backs_off(1, milliseconds(400)), backs_off(1, seconds(2))},
         1,
         seconds(1),
         false},
        {"back-off of another process",
         {backs_off(1, seconds(2))},
         2,
         milliseconds(0),
         true},
        {"leaving and back-off",
         {backs_off(1, seconds(2)), leaves(1)},
         1,
         seconds(3),
         false},
    };
    for (const auto& row : rows) {
        server_signals signals;
        for (const auto& send : row.sent)
            send(signals);
        const server_incarnation process{server, row.started_ms};
        EXPECT_EQ(
            accepts_requests(signals, process, start + row.at), row.accepts)
            << row.what;
        end_backoffs(signals, start + row.at);
        EXPECT_EQ(
            accepts_requests(signals, process, start + row.at), row.accepts)
            << row.what << ", after ended back-offs were removed";
    }
}

// Guards against log lines for signals that change nothing, against missing
// ones, and against memory that grows with each server that was in back-off.
TEST(server_signals, changes_are_reported_once)
{
    server_signals signals;
    EXPECT_TRUE(note_leaving(signals, {server, 1}));
    EXPECT_FALSE(note_leaving(signals, {server, 1}));
    const server_incarnation other{base::backend_server_id{"b"}, 1};
    EXPECT_TRUE(note_backoff(signals, other, start + seconds(1), start));
    EXPECT_FALSE(note_backoff(signals, other, start + seconds(2), start));
    EXPECT_TRUE(end_backoffs(signals, start + seconds(1)).empty());
    EXPECT_EQ(end_backoffs(signals, start + seconds(2)), std::vector{other.id});
    EXPECT_TRUE(end_backoffs(signals, start + seconds(3)).empty());
    EXPECT_EQ(signals.servers.size(), 1U);
}

// Guards against memory that grows with each process that left or asked for a
// back-off of years, and against removing the signals of newer processes before
// those of older ones.
TEST(server_signals, absent_servers_are_remembered_up_to_a_limit)
{
    constexpr std::size_t surplus = 5;
    const auto id = [](std::size_t i) {
        return base::backend_server_id{std::to_string(i)};
    };
    for (const bool leave : {false, true}) {
        server_signals signals;
        for (std::size_t i = 0; i < max_absent_signals + surplus; ++i) {
            const server_incarnation process{id(i), i + 1};
            if (leave)
                note_leaving(signals, process);
            else
                note_backoff(signals, process, start + seconds(1000000), start);
        }
        note_leaving(signals, {server, 1});
        forget_absent(
            signals, [&](const auto& known) { return known == id(0); });
        EXPECT_EQ(signals.servers.size(), max_absent_signals + 1);
        EXPECT_TRUE(signals.servers.contains(id(0)));
        EXPECT_FALSE(signals.servers.contains(server));
        EXPECT_FALSE(signals.servers.contains(id(surplus - 1)));
        EXPECT_TRUE(signals.servers.contains(id(surplus)));
    }
}

// Guards against removing the long back-off of a server that is cut off to keep
// the signals of leaving servers, most of which never report again.
TEST(server_signals, an_absent_backoff_is_kept_rather_than_leaving)
{
    server_signals signals;
    note_backoff(signals, {server, 1}, start + seconds(1000000), start);
    for (std::size_t i = 0; i < max_absent_signals; ++i)
        note_leaving(
            signals, {base::backend_server_id{std::to_string(i)}, i + 2});
    forget_absent(signals, [](const auto&) { return false; });
    EXPECT_EQ(signals.servers.size(), max_absent_signals);
    EXPECT_TRUE(signals.servers.contains(server));
}

// Guards against a server that a malformed field excludes.
TEST(server_signals, only_plain_seconds_are_a_retry_after)
{
    struct row {
        const char* value;
        std::optional<base::duration> time;
    };
    const std::vector<row> rows{
        {"2", seconds(2)},
        {"0.4", milliseconds(400)},
        {"0", seconds(0)},
        {"120.25", milliseconds(120250)},
        {"99999999999999999999", seconds(1000000000)},
        {"1e9", {}},
        {"-1", {}},
        {"+1", {}},
        {".5", {}},
        {"5.", {}},
        {"1.2.3", {}},
        {"1 2", {}},
        {"2, 2", {}},
        {"0x10", {}},
        {"inf", {}},
        {"nan", {}},
        {"", {}},
        {"Wed, 21 Oct", {}},
        {"Wed, 21 Oct 2026 07:28:00 GMT", {}},
    };
    for (const auto& row : rows)
        EXPECT_EQ(parse_retry_after(row.value), row.time) << row.value;
    const std::string digits(400, '9');
    EXPECT_EQ(parse_retry_after(digits), seconds(1000000000));
}

// Guards against requests that reach a server before the end of the time that
// it asked for, whatever it answers later, and against a server that is left
// out for longer.
TEST(server_signals, a_backoff_lasts_as_long_as_the_server_asks)
{
    struct answer {
        base::duration at;
        answer_metadata fields;
    };
    const auto asks = [](base::duration at, const char* time) {
        answer given{at, {}};
        given.fields.retry_after = time;
        return given;
    };
    struct row {
        const char* what;
        std::vector<answer> answers;
        base::duration end;
    };
    const std::vector<row> rows{
        {"seconds", {asks({}, "2.5")}, milliseconds(2500)},
        {"a minute and more", {asks({}, "90")}, seconds(90)},
        {"an hour", {asks({}, "3600")}, std::chrono::hours(1)},
        {"a year", {asks({}, "31536000")}, std::chrono::hours(8760)},
        {"out of range",
         {asks({}, std::string(400, '9').c_str())},
         seconds(1000000000)},
        {"then a shorter time",
         {asks({}, "3600"), asks(milliseconds(200), "1")},
         seconds(3600)},
        {"then a longer time",
         {asks({}, "5"), asks(milliseconds(200), "900")},
         milliseconds(900200)},
        {"then none",
         {asks({}, "3600"), asks(milliseconds(200), "")},
         seconds(3600)},
        {"then zero",
         {asks({}, "3600"), asks(milliseconds(200), "0")},
         seconds(3600)},
        {"then nonsense",
         {asks({}, "3600"), asks(milliseconds(200), "soon")},
         seconds(3600)},
    };
    constexpr int samples = 1000;
    for (const auto& row : rows) {
        prometheus::Registry registry;
        metrics stats(registry);
        server_selector selector;
        signal_recorder recorder(selector, stats, {});
        const server_incarnation process{server, 1};
        wire::server_record record;
        record.id = server;
        record.started_ms = 1;
        record.sequence = 1;
        apply_record(selector, record, start);
        for (const auto& given : row.answers)
            recorder.record(
                process, 503, given.fields, start + given.at, start + given.at);
        recorder.tick(start);
        EXPECT_GE(
            stats.longest_backoff_seconds.Value(),
            std::chrono::duration<double>(row.end).count())
            << row.what;
        const auto first = start + milliseconds(500);
        int reached = 0;
        for (int i = 0; i < samples; ++i) {
            const auto at = first + (start + row.end - first) / samples * i;
            recorder.tick(at);
            reached += accepts_requests(selector.signals, process, at) ? 1 : 0;
        }
        EXPECT_EQ(reached, 0) << row.what;
        recorder.tick(start + row.end + seconds(3));
        EXPECT_TRUE(selector.signals.servers.empty()) << row.what;
        EXPECT_EQ(stats.longest_backoff_seconds.Value(), 0) << row.what;
    }
}

// Guards against servers that are tried again at the same moment or before the
// requested time, against a long time that grows by minutes, and against a
// limit of the settings that is not kept.
TEST(server_signals, backoffs_are_limited_and_spread)
{
    base::random_source random{1};
    std::set<base::duration> times;
    for (int i = 0; i < 100; ++i) {
        const auto time = backoff_time(seconds(2), seconds(60), random);
        EXPECT_GE(time, seconds(2));
        EXPECT_LE(time, milliseconds(2200));
        times.insert(time);
    }
    EXPECT_GT(times.size(), 90U);
    EXPECT_LE(backoff_time(seconds(3600), seconds(60), random), seconds(63));
    const auto year = std::chrono::hours(8760);
    const auto time = backoff_time(year, no_backoff_limit, random);
    EXPECT_GE(time, year);
    EXPECT_LE(time, year + seconds(3));
}

} // namespace
} // namespace oleanderhinge::gateway
