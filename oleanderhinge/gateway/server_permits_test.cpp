#include "oleanderhinge/gateway/server_permits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};
const server_incarnation server{base::backend_server_id{"a"}, 5};

wire::permit_grant grant_of(std::uint64_t started_ms, std::uint32_t permits)
{
    return {{{server.id, started_ms, permits}}};
}

// Guards against permits that are used twice, too late or by another process,
// and against a server without a limit that needs them.
TEST(server_permits, are_used_once_and_in_time_by_the_process_with_the_limit)
{
    struct row {
        const char* what;
        std::optional<double> limit;
        std::uint64_t granted_to;
        std::uint32_t permits;
        base::duration after;
        // Requests that may be sent then, of three.
        int sent;
    };
    for (const auto& row : std::vector<row>{
             {"no limit", {}, 5, 0, 0ms, 3},
             {"no permit", 2, 5, 0, 0ms, 0},
             {"two permits", 2, 5, 2, 0ms, 2},
             {"late", 2, 5, 2, 1999ms, 2},
             {"too late", 2, 5, 2, 2s, 0},
             {"too late, at a low limit", 0.25, 5, 2, 4s, 0},
             {"of an earlier process", 2, 4, 2, 0ms, 0},
             {"of a later process", 2, 6, 2, 0ms, 0},
             {"fractions of a request a second", 0.25, 5, 1, 0ms, 1},
             {"a limit that no answer confirms",
              2,
              5,
              0,
              fleet::statement_lifetime,
              3}}) {
        server_permits permits;
        note_answer(permits, server, row.limit, start, start);
        note_grant(permits, grant_of(row.granted_to, row.permits), start);
        int sent = 0;
        for (int i = 0; i < 3; ++i) {
            const bool allowed = has_permit(permits, server, start + row.after);
            EXPECT_EQ(
                allowed,
                take_permit(permits, server, start + row.after) !=
                    permit_use::missing)
                << row.what;
            sent += allowed ? 1 : 0;
        }
        EXPECT_EQ(sent, row.sent) << row.what;
    }
}

// Guards against a limit that outlives its server's process or its end, and
// against changes that control does not get, or gets with each answer.
TEST(server_permits, the_latest_statement_holds_and_changes_are_shared)
{
    struct row {
        const char* what;
        std::uint64_t started_ms;
        std::optional<double> limit;
        base::duration asked;
        base::duration at;
        bool shared;
        // Of the process that answers.
        bool has_limit;
    };
    server_permits permits;
    for (const auto& row : std::vector<row>{
             {"none", 5, {}, 0s, 0s, false, false},
             {"begins", 5, 2, 1s, 1s, true, true},
             {"confirmed", 5, 2, 2s, 2s, false, true},
             {"changes", 5, 3, 3s, 3s, true, true},
             {"confirmed after a while", 5, 3, 8s, 8s, true, true},
             {"ends", 5, {}, 9s, 9s, true, false},
             {"none any more", 5, {}, 10s, 10s, false, false},
             {"begins while a request runs", 5, 2, 10s, 11s, true, true},
             {"a late answer without it", 5, {}, 10s, 12s, false, true},
             {"ends again", 5, {}, 12s, 12s, true, false},
             {"begins again", 5, 2, 13s, 13s, true, true},
             {"a new process", 6, {}, 14s, 14s, false, false},
             {"the new process", 6, 1, 15s, 15s, true, true},
             {"an old answer", 5, 9, 16s, 16s, false, false}}) {
        const server_incarnation from{server.id, row.started_ms};
        EXPECT_EQ(
            note_answer(
                permits, from, row.limit, start + row.asked, start + row.at)
                .to_share,
            row.shared)
            << row.what;
        EXPECT_EQ(has_limit(permits, from, start + row.at), row.has_limit)
            << row.what;
    }
}

// Guards against a limit that is forgotten though answers confirm it, since the
// old statements of others come in between.
TEST(server_permits, a_confirmed_limit_is_shared_beside_relayed_statements)
{
    server_permits permits;
    note_answer(permits, server, 2, start, start);
    int shared = 0;
    for (auto at = 1s; at <= 60s; at += 1s) {
        const auto now = start + at;
        const auto age = std::chrono::milliseconds(at).count();
        if (at % 5s == 0s)
            note_statement(permits, {server.id, 5, 2, std::uint32_t(age)}, now);
        shared += note_answer(permits, server, 2, now, now).to_share;
    }
    EXPECT_EQ(shared, 60s / fleet::resend_interval);
}

// Guards against own permits beyond the limit while a member of control that
// has just started counts few gateways.
TEST(server_permits, a_short_low_count_of_gateways_adds_no_permits)
{
    server_permits permits;
    base::random_source random{1};
    int sent = 0;
    for (auto at = 0ms; at < 60s; at += 100ms) {
        const auto now = start + at;
        note_statement(permits, {server.id, 5, 4, 0}, now);
        report_demand(permits, now);
        update(permits, at < 30s || at > 31s ? 100 : 1, random, now);
        sent += take_permit(permits, server, now) != permit_use::missing;
    }
    EXPECT_LE(sent, 1);
}

// Sends whenever a permit allows it, for `time` in steps of 10 ms.
int send_all(
    server_permits& permits,
    std::uint32_t gateways,
    base::time_point from,
    base::duration time)
{
    base::random_source random{1};
    int sent = 0;
    for (auto now = from; now < from + time; now += 10ms) {
        note_statement(permits, {server.id, 5, 4, 0}, now);
        report_demand(permits, now);
        update(permits, gateways, random, now);
        sent += take_permit(permits, server, now) != permit_use::missing;
    }
    return sent;
}

// Guards against callers without a server while control grants nothing, and
// against gateways that use more than their part or go on with it afterwards.
TEST(server_permits, a_gateway_without_grants_uses_a_quarter_of_its_part)
{
    struct row {
        std::uint32_t gateways;
        int least;
        int most;
    };
    // 1 a second for all, in 100 s.
    for (const auto& row :
         std::vector<row>{{1, 99, 101}, {10, 9, 11}, {100, 0, 2}}) {
        server_permits permits;
        EXPECT_EQ(send_all(permits, row.gateways, start, 1s), 0);
        const int sent = send_all(permits, row.gateways, start + 1s, 100s);
        EXPECT_GE(sent, row.least) << row.gateways;
        EXPECT_LE(sent, row.most) << row.gateways;
        // An empty grant shows that the leader is back.
        note_grant(permits, {}, start + 101s);
        EXPECT_EQ(send_all(permits, row.gateways, start + 101s, 990ms), 0);
    }
    // Nothing is saved beyond one.
    server_permits permits;
    send_all(permits, 1, start, 10s);
    base::random_source random{1};
    const auto later = start + 20s;
    note_statement(permits, {server.id, 5, 4, 0}, later);
    update(permits, 1, random, later);
    int sent = 0;
    while (sent < 5 &&
           take_permit(permits, server, later) != permit_use::missing)
        ++sent;
    EXPECT_LE(sent, 1);
}

// Guards against refused callers that return together, earlier than there are
// permits for them, or not at all.
TEST(server_permits, refused_callers_return_at_the_rate_of_the_permits)
{
    struct row {
        const char* what;
        std::uint32_t gateways;
        // Permits granted in each of the last 20 s.
        std::uint32_t granted;
        // Between two returns.
        base::duration interval;
    };
    for (const auto& row : std::vector<row>{
             {"an equal part", 2, 0, 1s},
             {"more than an equal part", 100, 2, 500ms},
             {"all", 1, 0, 500ms}}) {
        server_permits permits;
        base::random_source random{1};
        for (int i = 0; i < 20; ++i)
            note_grant(permits, grant_of(5, row.granted), start + i * 1s);
        const auto now = start + 20s;
        note_answer(permits, server, 2, now, now);
        std::vector<base::duration> waits;
        for (int i = 0; i < 10; ++i)
            waits.push_back(retry_wait(
                permits, "desk", {server}, row.gateways, random, now));
        EXPECT_GE(waits.front(), min_return_wait) << row.what;
        for (std::size_t i = 2; i < waits.size(); ++i) {
            const auto between = waits[i] - waits[i - 1];
            EXPECT_GE(between, row.interval * 8 / 10) << row.what;
            EXPECT_LE(between, row.interval * 12 / 10) << row.what;
        }
        for (int i = 0; i < 300; ++i)
            waits.push_back(retry_wait(
                permits, "desk", {server}, row.gateways, random, now));
        EXPECT_LE(std::ranges::max(waits), max_return_wait) << row.what;
        // The last ones are spread, too.
        EXPECT_LT(
            std::ranges::count_if(
                waits, [](auto wait) { return wait > max_return_wait - 1s; }),
            60)
            << row.what;
    }
}

} // namespace
} // namespace oleanderhinge::gateway
