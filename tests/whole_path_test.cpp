// The whole path by separate processes: plan and confirm, a streamed answer
// over three stages, a reservation that runs once, and each process killed.
#include "tests/harness/fleet.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace oleanderhinge::tests
{
namespace
{

constexpr const char* prompt = "left flipper coil 7 is weak";

// Layer ranges that ran for each (attempt, token) of one engine record.
std::size_t lines_of(const std::string& text)
{
    std::size_t lines = 0;
    for (const char c : text)
        lines += c == '\n' ? 1 : 0;
    return lines;
}

TEST(whole_path, a_request_is_served_from_one_end_to_the_other)
{
    fleet f({.control = 1, .entries = 1, .services = 1});
    f.start();
    const auto confirmed = f.confirm(fleet::usual_intents());
    ASSERT_EQ(confirmed.status, 200U) << confirmed.body;
    ASSERT_TRUE(f.wait_serving(0));

    std::vector<std::size_t> before;
    for (std::size_t s = 0; s < 3; ++s)
        before.push_back(
            lines_of(f.run.read(fleet::server_name(s, 0) + ".runs")));
    const auto answer = f.chat(0, prompt);
    EXPECT_EQ(answer.status, 200U) << answer.problem;
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.text, fleet::expected_text(prompt, 12));
    // Every stage ran exactly once for each token.
    for (std::size_t s = 0; s < 3; ++s)
        EXPECT_EQ(
            lines_of(f.run.read(fleet::server_name(s, 0) + ".runs")) -
                before[s],
            12U);

    const auto first = f.reserve(0, "order-1");
    EXPECT_EQ(first.status, 201U) << first.body;
    const auto again = f.reserve(0, "order-1");
    EXPECT_EQ(again.status, 201U) << again.body;
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(again.header("Idempotency-Replayed"), "true");
    const auto other = f.reserve(0, "order-1", "drop-target");
    EXPECT_EQ(other.status, 409U) << other.body;
    EXPECT_EQ(f.bookings().size(), 1U);
}

} // namespace
} // namespace oleanderhinge::tests
