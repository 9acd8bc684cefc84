#include "oleanderhinge/gateway/path_change.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(100)};
constexpr auto tick = milliseconds(100);

fleet::path make_path(const std::vector<std::string>& servers)
{
    fleet::path parts;
    for (const auto& id : servers)
        parts.push_back({base::backend_server_id{id}, {id, 80}, {}, {}});
    return parts;
}

const auto parts = make_path({"first", "middle", "last"});

// Forty streams that have begun, each with one event more than the one before.
std::vector<running_stream> make_streams()
{
    std::vector<running_stream> streams;
    for (std::uint64_t i = 0; i < 40; ++i)
        streams.push_back(
            {.parts = &parts,
             .begun = true,
             .replaceable = true,
             .events = 40 - i,
             .last_progress = start,
             .next_trial = {}});
    return streams;
}

// Which servers of a path are leaving or lost, how the streams differ, and how
// many of them move by which way at a time.
TEST(path_change, streams_that_move_in_one_tick)
{
    using change = std::function<void(std::vector<running_stream>&)>;
    const auto none = [](auto&) {};
    struct row {
        // The load that it answers.
        const char* what;
        std::map<std::string, server_standing> standings;
        change differ;
        milliseconds after;
        std::size_t moves;
        move_way way;
    };
    const auto leaving = server_standing::leaving;
    const auto lost = server_standing::lost;
    const auto by_path = move_way::change_path;
    const auto by_attempt = move_way::replace_attempt;
    const auto each = [](auto differ) {
        return [differ](auto& streams) {
            for (auto& stream : streams)
                differ(stream);
        };
    };
    const std::vector<row> rows{
        {"calm", {}, none, milliseconds(0), 0, by_path},
        {"another server leaves",
         {{"other", leaving}},
         none,
         milliseconds(0),
         0,
         by_path},
        {"a later part leaves: spread",
         {{"last", leaving}},
         none,
         milliseconds(0),
         3,
         by_path},
        {"half of the time",
         {{"last", leaving}},
         none,
         milliseconds(750),
         6,
         by_path},
        {"its last moment",
         {{"last", leaving}},
         none,
         milliseconds(1450),
         40,
         by_path},
        {"two later parts leave",
         {{"middle", leaving}, {"last", leaving}},
         none,
         milliseconds(0),
         3,
         by_path},
        {"the first part leaves: many end",
         {{"first", leaving}},
         none,
         milliseconds(0),
         0,
         by_attempt},
        {"those that do not",
         {{"first", leaving}},
         none,
         milliseconds(500),
         4,
         by_attempt},
        {"no attempt is left",
         {{"first", leaving}},
         each([](auto& s) { s.replaceable = false; }),
         milliseconds(500),
         0,
         by_attempt},
        {"the first server will be told",
         {{"last", leaving}},
         each([](auto& s) { s.begun = false; }),
         milliseconds(0),
         0,
         by_path},
        {"a part is lost: all at once",
         {{"last", lost}},
         none,
         milliseconds(200),
         40,
         by_path},
        {"wrongly suspected",
         {{"last", lost}},
         each([](auto& s) { s.last_progress = start + milliseconds(150); }),
         milliseconds(200),
         0,
         by_path},
        {"lost counts before leaving",
         {{"middle", leaving}, {"last", lost}},
         none,
         milliseconds(200),
         40,
         by_path},
        {"the first server is lost",
         {{"first", lost}},
         none,
         milliseconds(200),
         40,
         by_attempt},
        {"and nothing has begun",
         {{"first", lost}},
         each([](auto& s) { s.begun = false; }),
         milliseconds(200),
         40,
         by_attempt},
        {"refused just now",
         {{"last", lost}},
         each([](auto& s) { s.next_trial = start + seconds(1); }),
         milliseconds(200),
         0,
         by_path},
    };
    for (const auto& row : rows) {
        departures known;
        for (const auto& [id, standing] : row.standings)
            note_standing(known, base::backend_server_id{id}, standing, start);
        auto streams = make_streams();
        row.differ(streams);
        const auto moves = plan_moves(streams, known, tick, start + row.after);
        EXPECT_EQ(moves.size(), row.moves) << row.what;
        for (const auto& move : moves)
            EXPECT_EQ(move.way, row.way) << row.what;
        if (!moves.empty() && moves.size() < 40) {
            EXPECT_EQ(moves.front().stream, 39U) << row.what;
        }
    }
}

// Ticks until the leaving server ends. Guards against moves that come in one
// tick, and against streams that are left behind.
TEST(path_change, all_streams_leave_in_time)
{
    departures known;
    note_standing(
        known,
        base::backend_server_id{"last"},
        server_standing::leaving,
        start);
    auto streams = make_streams();
    std::size_t largest = 0;
    for (auto now = start; now < start + departure_time; now += tick) {
        const auto moves = plan_moves(streams, known, tick, now);
        largest = std::max(largest, moves.size());
        for (const auto& move : moves)
            streams[move.stream].next_trial = base::time_point::max();
    }
    EXPECT_TRUE(plan_moves(streams, known, tick, start + seconds(2)).empty());
    EXPECT_LE(largest, 4U);
}

// Guards against a departure that begins anew with each report, and one that
// outlasts a suspicion.
TEST(path_change, a_departure_is_known_since_its_first_sign)
{
    const base::backend_server_id id{"a"};
    departures known;
    note_standing(known, id, server_standing::leaving, start);
    note_standing(known, id, server_standing::leaving, start + seconds(1));
    EXPECT_EQ(known.at(id).since, start);
    note_standing(known, id, server_standing::lost, start + seconds(2));
    EXPECT_EQ(known.at(id).since, start + seconds(2));
    note_standing(known, id, server_standing::sound, start + seconds(3));
    EXPECT_TRUE(known.empty());
}

// Requests wait at a server that never begins them. Guards against requests
// that stay there until their callers leave, and against those that change
// between paths that are all busy.
TEST(path_change, requests_leave_a_path_that_does_not_begin_them)
{
    struct row {
        milliseconds waited;
        milliseconds other_wait;
        bool leaves;
    };
    const std::vector<row> rows{
        {milliseconds(400), milliseconds(0), false},
        {milliseconds(600), milliseconds(80), true},
        {milliseconds(600), milliseconds(300), false},
        {milliseconds(1500), milliseconds(600), true},
        {milliseconds(1500), milliseconds(1500), false},
    };
    for (const auto& row : rows)
        EXPECT_EQ(leaves_before_start(row.waited, row.other_wait), row.leaves)
            << row.waited.count() << " " << row.other_wait.count();
}

} // namespace
} // namespace oleanderhinge::gateway
