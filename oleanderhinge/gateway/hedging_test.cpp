// Guards against second attempts that help nobody: too early, at servers that
// are as slow, or at the cost of what failures need; and against slow answers
// for which none is made.
#include "oleanderhinge/gateway/hedging.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::gateway
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{100s};
const base::data_centre_id near{"near"};
const base::data_centre_id far{"far"};

// Answers of 20, 21, ... ms, one every 10 ms, and some of 400 ms.
answer_times usual_times(int plain, int slow, const hedge_terms& terms)
{
    answer_times times;
    for (int i = 0; i < plain + slow; ++i) {
        const auto took = i < slow ? 400ms : 20ms + 1ms * (i % 20);
        const auto ended = start + 10ms * i;
        note_attempt_started(times, near, ended - took);
        note_attempt_ended(times, terms, near, ended - took, ended);
    }
    return times;
}

// Load: answers of 20 to 40 ms, and a share of slow ones. Guards against a
// constant, against a hedge that misses the target, and against one for each
// request of a service whose usual answers take most of the target.
TEST(hedging, the_delay_follows_the_times_and_the_target)
{
    struct row {
        const char* what;
        int plain;
        int slow;
        base::duration target;
        // Zero for both: no hedge.
        base::duration from;
        base::duration to;
    };
    const std::vector<row> rows{
        {"no answers and no target", 0, 0, 0ms, 0ms, 0ms},
        {"half of the target while no times are known",
         3,
         0,
         150ms,
         75ms,
         75ms},
        {"later than 95 of 100 answers", 100, 0, 150ms, 37ms, 46ms},
        {"one slow server among many", 100, 3, 150ms, 37ms, 46ms},
        {"a slow answer in eight: in time for the target",
         100,
         15,
         150ms,
         112ms,
         125ms},
        {"usual answers that take most of the target",
         100,
         0,
         45ms,
         37ms,
         46ms},
        {"no target", 100, 15, 0ms, 400ms, 460ms}};
    for (const auto& row : rows) {
        const hedge_terms terms{row.target, 0.95};
        const auto times = usual_times(row.plain, row.slow, terms);
        const auto delay = hedge_delay(times, terms, start + 2s);
        EXPECT_EQ(delay.has_value(), row.to != 0ms) << row.what;
        EXPECT_GE(delay.value_or(0ms), row.from) << row.what;
        EXPECT_LE(delay.value_or(0ms), row.to) << row.what;
    }
}

// Servers "n0" to "n3" in the data centre `near` and "f0" in `far`.
struct fleet_of_five {
    fleet_of_five()
    {
        this->selector.home = near;
        for (const auto* id : {"n0", "n1", "n2", "n3", "f0"}) {
            wire::server_record record;
            record.id = base::backend_server_id{id};
            record.started_ms = 1;
            record.sequence = 1;
            record.service = "desk";
            record.address = id;
            record.port = 1;
            record.data_centre = id[0] == 'n' ? near : far;
            apply_record(this->selector, record, start);
        }
    }

    static wire::endpoint at(const char* id) { return {id, 1}; }

    server_selector selector;
    base::random_source random{1};
};

// Each row: how many of eight present attempts are slow in each data centre,
// the servers that fail, and what becomes of the hedge. Guards against hedges
// that slow the servers further, and against none while one server or one data
// centre is slow.
TEST(hedging, no_hedge_adds_to_servers_that_are_slow_together_or_full)
{
    struct row {
        const char* load;
        int slow_near;
        int slow_far;
        std::vector<const char*> failing;
        hedge_refusal refusal;
        // Empty: any.
        std::string server;
    };
    const std::vector<row> rows{
        {"one slow server in a chain of four",
         2,
         0,
         {},
         hedge_refusal::none,
         ""},
        {"one grey server among the plain ones",
         2,
         0,
         {"n1"},
         hedge_refusal::none,
         ""},
        {"a data centre that is slow as a whole",
         7,
         0,
         {},
         hedge_refusal::none,
         "f0"},
        {"all servers are slow", 7, 7, {}, hedge_refusal::slow_together, ""},
        {"a full service, whose other servers refuse",
         2,
         0,
         {"n1", "n2", "n3", "f0"},
         hedge_refusal::no_server,
         ""},
        {"the only other data centre refuses",
         7,
         0,
         {"f0"},
         hedge_refusal::slow_together,
         ""}};
    const hedge_terms terms{150ms, 0.95};
    for (const auto& row : rows) {
        fleet_of_five fleet;
        auto times = usual_times(100, 0, terms);
        const auto now = start + 60s;
        for (int i = 0; i < 8; ++i)
            for (const auto& place : {near, far}) {
                const bool slow =
                    i < (place == near ? row.slow_near : row.slow_far);
                const auto started = now - (slow ? 500ms : 30ms);
                note_attempt_started(times, place, started);
                note_attempt_ended(times, terms, place, started, now);
            }
        for (const auto* id : row.failing)
            note_failure(fleet.selector, fleet_of_five::at(id), now);
        const auto found = choose_hedge_server(
            fleet.selector,
            "desk",
            {fleet_of_five::at("n0")},
            slow_data_centres(times, terms, now),
            fleet.random,
            now);
        EXPECT_EQ(found.refusal, row.refusal) << row.load;
        EXPECT_EQ(found.server.has_value(), row.refusal == hedge_refusal::none);
        if (!found.server)
            continue;
        EXPECT_NE(found.server->id.value(), "n0") << row.load;
        for (const auto* id : row.failing)
            EXPECT_NE(found.server->id.value(), id) << row.load;
        if (!row.server.empty()) {
            EXPECT_EQ(found.server->id.value(), row.server) << row.load;
        }
    }
}

// Load: the servers of a data centre stop responding, so that no attempt ends.
TEST(hedging, attempts_in_progress_show_a_slow_data_centre)
{
    const hedge_terms terms{150ms, 0.95};
    auto times = usual_times(100, 0, terms);
    const auto now = start + 60s;
    for (int i = 0; i < 3; ++i)
        note_attempt_started(times, near, now);
    EXPECT_TRUE(slow_data_centres(times, terms, now + 20ms).empty());
    EXPECT_EQ(
        slow_data_centres(times, terms, now + 500ms),
        std::set<base::data_centre_id>{near});
    for (int i = 0; i < 3; ++i)
        note_attempt_failed(times, near, now);
    EXPECT_TRUE(slow_data_centres(times, terms, now + 500ms).empty());
}

// Load: a slow fleet of gateways that all hedge whenever they may. Guards
// against more hedges than the operator allows, and against a retry budget
// that they use up.
TEST(hedging, hedges_keep_their_limit_and_leave_a_reserve)
{
    const retry::shared_budget_options retry_options{
        .request_share = 0.2, .slack = 40};
    struct row {
        double share;
        double slack;
        int most;
    };
    for (const auto& row : std::vector<row>{
             {0.05, 0, 50}, {0.05, 20, 70}, {0, 20, 20}, {0.5, 1000, 120}}) {
        auto limit_options = retry_options;
        limit_options.request_share = row.share;
        limit_options.slack = row.slack;
        EXPECT_TRUE(allows_hedges(limit_options));
        auto limit = retry::make_shared_budget(limit_options, start);
        auto retries = retry::make_shared_budget(retry_options, start);
        int hedges = 0;
        // 100 requests a second; the last of three windows counts.
        for (int i = 0; i < 3000; ++i) {
            const auto now = start + 10ms * i;
            retry::note_request(limit, now);
            retry::note_request(retries, now);
            if (take_hedge(limit, retries, now) == hedge_refusal::none &&
                i >= 2000)
                ++hedges;
        }
        EXPECT_LE(hedges, row.most) << row.share << " " << row.slack;
        EXPECT_GT(hedges, row.most / 4) << row.share << " " << row.slack;
        // Half of 0.45 x (40 + 0.2 x 1000) is left.
        int left = 0;
        while (retry::take_retry(retries, start + 30s))
            ++left;
        EXPECT_GE(left, 53) << row.share << " " << row.slack;
    }
    EXPECT_FALSE(allows_hedges({.request_share = 0, .slack = 0}));
}

} // namespace
} // namespace oleanderhinge::gateway
