// Guards against outdated orders that are passed on to an engine which ignores
// fencing numbers.
#include "oleanderhinge/agent/orders.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::agent
{
namespace
{

using namespace std::chrono_literals;
using base::fencing_number;

constexpr base::duration lease = 5s;

TEST(orders, only_new_orders_of_a_fresh_configuration_run)
{
    struct row {
        const char* name;
        std::uint64_t seen;
        bool busy;
        bool unanswered;
        std::uint64_t number;
        base::duration age;
        order_decision expected;
    };
    const row rows[] = {
        {"new", 4, false, false, 5, 0s, order_decision::carry_out},
        {"first", 0, false, false, 1, 4999ms, order_decision::carry_out},
        {"same", 5, false, false, 5, 0s, order_decision::old_number},
        {"older", 5, false, false, 4, 0s, order_decision::old_number},
        {"older and stale", 5, false, false, 4, 9s, order_decision::old_number},
        {"stale", 4, false, false, 5, 5s, order_decision::old_configuration},
        {"another runs", 4, true, false, 5, 0s, order_decision::busy},
        {"same without an answer",
         5,
         false,
         true,
         5,
         0s,
         order_decision::carry_out},
        {"older after one without an answer",
         5,
         false,
         true,
         4,
         0s,
         order_decision::old_number},
        {"same without an answer, stale",
         5,
         false,
         true,
         5,
         6s,
         order_decision::old_configuration},
    };
    for (const auto& r : rows) {
        order_guard guard;
        guard.highest_seen = fencing_number{r.seen};
        guard.may_repeat = r.unanswered;
        if (r.busy)
            guard.running = guard.highest_seen;
        EXPECT_EQ(
            admit_order(guard, fencing_number{r.number}, r.age, lease),
            r.expected)
            << r.name;
    }
}

TEST(orders, one_at_a_time_and_only_applied_ones_are_announced)
{
    order_guard guard;
    EXPECT_EQ(
        admit_order(guard, fencing_number{3}, 0s, lease),
        order_decision::carry_out);
    EXPECT_EQ(
        admit_order(guard, fencing_number{4}, 0s, lease), order_decision::busy);
    finish_order(guard, fencing_number{3}, order_outcome::refused);
    EXPECT_EQ(guard.highest_applied, fencing_number{0});
    // An order that the engine refused is not repeated.
    EXPECT_EQ(
        admit_order(guard, fencing_number{3}, 0s, lease),
        order_decision::old_number);
    EXPECT_EQ(
        admit_order(guard, fencing_number{4}, 0s, lease),
        order_decision::carry_out);
    finish_order(guard, fencing_number{4}, order_outcome::unanswered);
    EXPECT_EQ(
        admit_order(guard, fencing_number{4}, 0s, lease),
        order_decision::carry_out);
    finish_order(guard, fencing_number{4}, order_outcome::applied);
    EXPECT_EQ(guard.highest_applied, fencing_number{4});
    EXPECT_FALSE(guard.running);
}

// A restarted agent must reject orders older than the engine's last one. It
// must carry that one out again, since it does not know whether the order was
// to drain the server.
TEST(orders, restarted_agent_starts_from_the_number_of_the_engine)
{
    order_guard guard;
    note_reported_number(guard, fencing_number{7});
    EXPECT_EQ(guard.highest_applied, fencing_number{0});
    EXPECT_EQ(
        admit_order(guard, fencing_number{6}, 0s, lease),
        order_decision::old_number);
    EXPECT_EQ(
        admit_order(guard, fencing_number{7}, 0s, lease),
        order_decision::carry_out);
    finish_order(guard, fencing_number{7}, order_outcome::applied);
    note_reported_number(guard, fencing_number{7});
    EXPECT_EQ(
        admit_order(guard, fencing_number{7}, 0s, lease),
        order_decision::old_number);
}

} // namespace
} // namespace oleanderhinge::agent
