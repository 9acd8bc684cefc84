#include "oleanderhinge/gateway/crossing_budget.hpp"

#include <gtest/gtest.h>

#include <string>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(100)};

fleet::path make_path(const std::string& data_centres)
{
    fleet::path parts;
    for (const char name : data_centres)
        parts.push_back(
            {{}, {}, base::data_centre_id{std::string(1, name)}, {}});
    return parts;
}

// No data centre has a whole chain, and all requests want to cross the link.
// Guards against a link on which all of them come to a stop, and against one
// that stays empty.
TEST(crossing_budget, gateways_send_no_more_than_the_link_carries)
{
    wire::engine_profile engine;
    engine.usual_prompt_tokens = 800;
    engine.usual_answer_tokens = 200;
    engine.activation_bytes = 12'500;
    engine.data_centre_link_mbps = 2'000;
    struct row {
        const char* what;
        const char* path;
        double mbps;
        std::uint32_t gateways;
        int sent_in_ten_seconds;
    };
    // One crossing takes 100 Mbit.
    for (const auto& row : std::vector<row>{
             {"no crossing", "aaa", 2'000, 1, 1000},
             {"no capacity stated", "ab", 0, 1, 1000},
             {"one gateway", "aab", 2'000, 1, 200},
             {"there and back", "aba", 2'000, 1, 100},
             {"one of ten gateways", "ab", 2'000, 10, 20}}) {
        engine.data_centre_link_mbps = row.mbps;
        const auto bits = crossing_bits(engine, make_path(row.path));
        crossing_budget budget{.refilled = start};
        int sent = 0;
        for (int i = 1; i <= 1000; ++i)
            sent += int(take_crossing(
                budget,
                bits,
                engine,
                row.gateways,
                start + i * milliseconds(10)));
        EXPECT_NEAR(sent, row.sent_in_ten_seconds, 1) << row.what;
    }
}

} // namespace
} // namespace oleanderhinge::gateway
