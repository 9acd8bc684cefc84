#include "oleanderhinge/fleet/server_limits.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <vector>

namespace oleanderhinge::fleet
{
namespace
{

using namespace std::chrono_literals;

const base::backend_server_id server{"a"};
const base::time_point start{1h};
constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
constexpr double infinite = std::numeric_limits<double>::infinity();

struct received {
    std::uint64_t started_ms;
    std::optional<double> per_second;
    // Time of arrival after `start`, and age then.
    base::duration at;
    std::uint32_t age_ms;
    bool changes;
};

struct history {
    const char* guards_against;
    std::vector<received> statements;
    // In force for the processes 1 and 2 at the last arrival.
    struct {
        std::optional<double> first;
        std::optional<double> second;
    } limit;
};

const std::vector<history> histories{
    {"a limit that is not noted",
     {{1, 3., 0s, 0, true}, {1, 3., 1s, 0, false}, {1, 4., 2s, 0, true}},
     {4, {}}},
    {"a late statement that replaces a later one",
     {{1, 3., 1s, 0, true}, {1, 9., 2s, 1500, false}},
     {3, {}}},
    {"an end that a late statement revokes",
     {{1, 3., 0s, 0, true}, {1, {}, 2s, 0, true}, {1, 3., 3s, 1500, false}},
     {{}, {}}},
    {"an end before the statement that it ended",
     {{1, {}, 1s, 0, false}, {1, 3., 2s, 2000, false}},
     {{}, {}}},
    {"the limit of a process applied to the next one",
     {{1, 3., 0s, 0, true}, {2, {}, 1s, 0, false}},
     {{}, {}}},
    {"a statement of an earlier process after a restart",
     {{2, 5., 0s, 0, true}, {1, 3., 1s, 0, false}, {1, {}, 2s, 0, false}},
     {{}, 5}},
    {"a restart that counts as no change",
     {{1, 3., 0s, 0, true}, {2, 3., 1s, 0, true}},
     {{}, 3}},
    {"a limit kept without confirmation",
     {{1, 3., 0s, 0, true}, {1, {}, statement_lifetime, ~0U, false}},
     {{}, {}}},
    {"a confirmed limit that lapses",
     {{1, 3., 0s, 0, true},
      {1, 3., 20s, 0, false},
      {1, {}, statement_lifetime, ~0U, false}},
     {3, {}}},
    {"a lapsed limit whose return is no change",
     {{1, 3., 0s, 0, true}, {1, 3., statement_lifetime, 0, true}},
     {3, {}}},
    {"a statement older than its lifetime, or than the clock",
     {{1, 3., 0s, 600'000, false}, {1, 3., 0s, ~0U, false}},
     {{}, {}}},
    {"values out of range",
     {{1, -1., 0s, 0, true}, {1, infinite, 1s, 0, true}},
     {1e6, {}}},
    {"a value that is no number",
     {{1, 3., 0s, 0, true}, {1, not_a_number, 1s, 0, false}},
     {3, {}}},
};

} // namespace

// Guards against the faults in the table, in all copies: those that get the
// statements as listed and those to which they are sent on.
TEST(server_limits, the_latest_statement_of_the_latest_process_holds)
{
    for (const auto& row : histories) {
        SCOPED_TRACE(row.guards_against);
        limit_table limits;
        limit_table copy;
        for (const auto& item : row.statements) {
            const auto now = start + item.at;
            EXPECT_EQ(
                note(
                    limits,
                    {server, item.started_ms, item.per_second, item.age_ms},
                    now),
                item.changes);
            for (const auto& [id, known] : limits.servers)
                note(copy, as_message(id, known, now), now);
        }
        const auto now = start + row.statements.back().at;
        for (const auto* table : {&limits, &copy}) {
            EXPECT_EQ(limit_of(*table, server, 1, now), row.limit.first);
            EXPECT_EQ(limit_of(*table, server, 2, now), row.limit.second);
            EXPECT_EQ(
                all_limits(*table, now).items.size(),
                std::size_t(row.limit.first || row.limit.second));
        }
        // Only what no longer counts is dropped.
        expire(limits, now);
        EXPECT_EQ(limit_of(limits, server, 1, now), row.limit.first);
        EXPECT_EQ(limit_of(limits, server, 2, now), row.limit.second);
        expire(limits, now + statement_lifetime);
        EXPECT_TRUE(limits.servers.empty());
    }
}

// Guards against field values that are misread: taken for a limit, or for none.
TEST(server_limits, parse_limit_accepts_decimals_only)
{
    struct field {
        std::string value;
        std::optional<double> limit;
    };
    const std::vector<field> fields{
        {"3", 3},
        {"3.25", 3.25},
        {"0012.50", 12.5},
        {"0", least_limit},
        {"0.05", least_limit},
        {"1000000", 1e6},
        {"1000001", 1e6},
        {std::string(300, '9'), 1e6},
        {"", {}},
        {" 3", {}},
        {"3 ", {}},
        {"+3", {}},
        {"-3", {}},
        {".5", {}},
        {"5.", {}},
        {"1.2.3", {}},
        {"1,5", {}},
        {"3, 3", {}},
        {"1e3", {}},
        {"0x10", {}},
        {"inf", {}},
        {"nan", {}},
        {std::string("3\0", 2), {}},
        {std::string(400, '9'), {}},
    };
    for (const auto& [value, limit] : fields)
        EXPECT_EQ(parse_limit(value), limit) << value;
}

} // namespace oleanderhinge::fleet
