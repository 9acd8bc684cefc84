// Guards against callers that use up the memory or the connections of a server,
// and against a crowd that displaces ordinary callers.
#include "oleanderhinge/net/caller_table.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oleanderhinge::net
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t megabyte = 1'000'000;
constexpr base::time_point start{};

// One caller of a row: what it holds, and for how long it has made no progress.
struct present_caller {
    const char* address;
    caller_stage stage;
    std::size_t held;
    base::duration silent;
};

caller_table table_of(const std::vector<present_caller>& callers)
{
    caller_table table;
    table.max_connections = 4;
    table.memory.limit = 16 * megabyte;
    std::uint64_t id = 1;
    for (const auto& item : callers) {
        table.callers.emplace(
            caller_id{id++},
            caller{item.address, item.stage, item.held, start - item.silent});
        table.memory.used += item.held;
    }
    return table;
}

constexpr auto reading = caller_stage::reading;
constexpr auto serving = caller_stage::serving;
constexpr auto sending = caller_stage::sending;
constexpr auto idle = caller_stage::idle;
constexpr auto fresh = caller_stage::new_connection;

// The first caller of each row asks for memory.
TEST(caller_table, memory_comes_from_callers_without_progress)
{
    struct row {
        const char* what;
        std::vector<present_caller> callers;
        std::size_t wanted;
        bool granted;
        std::vector<std::uint64_t> closed;
    };
    const std::vector<row> rows{
        {"a large body in calm",
         {{"a", reading, 0, 0s}},
         4 * megabyte,
         true,
         {}},
        {"as much as would be left",
         {{"a", reading, 0, 0s}},
         7 * megabyte,
         true,
         {}},
        {"more than would be left",
         {{"a", reading, 0, 0s}},
         7 * megabyte + 1,
         false,
         {}},
        {"less than before",
         {{"a", reading, 2 * megabyte, 0s}, {"b", serving, 14 * megabyte, 0s}},
         megabyte,
         true,
         {}},
        {"a small one beside them",
         {{"a", reading, 0, 0s}, {"b", reading, 15 * megabyte, 999ms}},
         small_request_bytes,
         true,
         {}},
        {"others make progress",
         {{"a", reading, 0, 0s}, {"b", reading, 15 * megabyte, 999ms}},
         megabyte,
         false,
         {}},
        {"another has stopped",
         {{"a", reading, 0, 0s}, {"b", reading, 15 * megabyte, 1s}},
         megabyte,
         true,
         {2}},
        {"another takes no answer",
         {{"a", reading, 0, 0s}, {"b", sending, 15 * megabyte, 1s}},
         megabyte,
         true,
         {2}},
        {"a request that may run is kept",
         {{"a", reading, 0, 0s}, {"b", serving, 15 * megabyte, 1h}},
         megabyte,
         false,
         {}},
        {"those that have stopped hold too little: none of them is closed",
         {{"a", reading, 0, 0s},
          {"b", reading, megabyte, 2s},
          {"c", reading, 8 * megabyte, 0s}},
         9 * megabyte,
         false,
         {}},
        {"the largest first",
         {{"a", reading, 0, 0s},
          {"b", reading, 5 * megabyte, 2s},
          {"b", reading, 10 * megabyte, 2s}},
         2 * megabyte,
         true,
         {3}},
        {"the longest without progress first",
         {{"a", reading, 0, 0s},
          {"b", reading, 7 * megabyte, 9s},
          {"b", reading, 7 * megabyte, 2s}},
         2 * megabyte,
         true,
         {2}},
        {"those of one address first",
         {{"a", reading, 0, 0s},
          {"b", reading, 6 * megabyte, 9s},
          {"c", reading, 4 * megabyte, 1s},
          {"c", reading, 4 * megabyte, 2s}},
         2 * megabyte,
         true,
         {4}},
        {"as many as it takes",
         {{"a", reading, 0, 0s},
          {"b", reading, 8 * megabyte, 9s},
          {"b", reading, 6 * megabyte, 9s}},
         6 * megabyte,
         true,
         {2, 3}},
        {"itself has stopped",
         {{"a", reading, 10 * megabyte, 1min}},
         11 * megabyte,
         false,
         {}}};
    for (const auto& row : rows) {
        auto table = table_of(row.callers);
        const auto decision = hold(table, caller_id{1}, row.wanted, start);
        EXPECT_EQ(decision.granted, row.granted) << row.what;
        std::vector<std::uint64_t> closed;
        for (const auto id : decision.closed) {
            closed.push_back(std::uint64_t(id));
            EXPECT_FALSE(table.callers.contains(id)) << row.what;
        }
        EXPECT_EQ(closed, row.closed) << row.what;
        EXPECT_EQ(table.counters.refused_memory, row.granted ? 0U : 1U)
            << row.what;
        std::size_t sum = 0;
        for (const auto& [id, item] : table.callers)
            sum += item.held;
        EXPECT_EQ(table.memory.used, sum) << row.what;
    }
}

TEST(caller_table, connections_come_from_those_that_wait)
{
    struct row {
        const char* what;
        std::vector<present_caller> callers;
        // 0: none.
        std::uint64_t closed;
        bool granted;
    };
    const present_caller busy{"a", serving, 10, 1h};
    const present_caller arriving{"a", reading, 10, 500ms};
    const std::vector<row> rows{
        {"room", {busy, busy, busy}, 0, true},
        {"all serve", {busy, busy, busy, busy}, 0, false},
        {"all make progress", {busy, arriving, arriving, arriving}, 0, false},
        {"one waits for a request",
         {busy, {"a", idle, 0, 1s}, busy, busy},
         2,
         true},
        {"one has just been answered",
         {busy, {"a", idle, 0, 900ms}, busy, busy},
         0,
         false},
        {"one has sent nothing yet",
         {busy, busy, {"a", fresh, 0, 1ms}, busy},
         3,
         true},
        {"one has stopped in its head",
         {busy, busy, busy, {"a", reading, 10, 1s}},
         4,
         true},
        {"those of one address first",
         {{"a", idle, 0, 9s},
          {"b", idle, 0, 2s},
          {"b", idle, 0, 3s},
          {"c", serving, 10, 1h}},
         3,
         true}};
    for (const auto& row : rows) {
        auto table = table_of(row.callers);
        const auto decision = admit(table, caller_id{9}, "z", start);
        EXPECT_EQ(decision.granted, row.granted) << row.what;
        EXPECT_EQ(table.callers.contains(caller_id{9}), row.granted)
            << row.what;
        ASSERT_EQ(decision.closed.size(), row.closed == 0 ? 0U : 1U)
            << row.what;
        if (!decision.closed.empty()) {
            EXPECT_EQ(std::uint64_t(decision.closed.front()), row.closed)
                << row.what;
        }
        EXPECT_LE(table.callers.size(), table.max_connections) << row.what;
    }
}

// Guards against a client that sends a byte now and then and so keeps what it
// holds.
TEST(caller_table, few_bytes_are_no_progress)
{
    auto table = table_of({{"a", reading, 0, 0s}, {"a", reading, 0, 0s}});
    auto now = start;
    for (int i = 0; i < 40; ++i) {
        now += 250ms;
        note_bytes(table, caller_id{1}, 1, now);
        note_bytes(table, caller_id{2}, 4096, now);
    }
    EXPECT_GE(silence(table, caller_id{1}, now), 9s);
    EXPECT_EQ(silence(table, caller_id{2}, now), 0s);
    // Much at once is no credit for later.
    note_bytes(table, caller_id{2}, 4 * megabyte, now);
    EXPECT_EQ(silence(table, caller_id{2}, now + 2s), 2s);
}

// Guards against a crowd of callers that all make progress and leave nothing to
// an ordinary one.
TEST(caller_table, a_crowd_leaves_memory_for_small_requests)
{
    caller_table table;
    table.max_connections = 2000;
    table.memory.limit = 28 * megabyte;
    // Fewer than small requests fill the part that is for them.
    constexpr std::uint64_t crowd = 100;
    for (std::uint64_t i = 1; i <= crowd + 1; ++i)
        ASSERT_TRUE(admit(table, caller_id{i}, "a", start).granted);
    for (std::uint64_t i = 1; i <= crowd; ++i) {
        std::size_t bytes = 0;
        while (hold(table, caller_id{i}, bytes + 4096, start).granted)
            bytes += 4096;
    }
    EXPECT_LE(table.memory.used, table.memory.limit);
    EXPECT_TRUE(hold(table, caller_id{crowd + 1}, 4096, start).granted);
}

// A request that has arrived whole needs no share for others.
TEST(caller_table, a_request_may_use_what_is_left_to_be_served)
{
    auto table = table_of({{"a", reading, megabyte, 0s}});
    EXPECT_FALSE(hold(table, caller_id{1}, 15 * megabyte, start).granted);
    EXPECT_TRUE(
        hold_to_serve(table, caller_id{1}, 15 * megabyte, start).granted);
    EXPECT_EQ(table.memory.used, 15 * megabyte);
    remove(table, caller_id{1});
    EXPECT_EQ(table.memory.used, 0U);
    EXPECT_FALSE(hold(table, caller_id{1}, 1, start).granted);
}

} // namespace
} // namespace oleanderhinge::net
