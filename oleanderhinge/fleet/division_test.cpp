#include "oleanderhinge/fleet/division.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace oleanderhinge::fleet
{
namespace
{

wire::engine_profile make_profile()
{
    wire::engine_profile profile;
    profile.layer_count = 80;
    profile.layer_mb = 1750;
    profile.cache_bytes_per_token = 590000;
    profile.step_ms = 1.02;
    profile.step_ms_per_request = 0.00459;
    profile.step_ms_per_1000_context = 0.00615;
    profile.read_tokens_per_second = 164000;
    profile.usual_prompt_tokens = 774;
    profile.usual_answer_tokens = 210;
    return profile;
}

constexpr part_shape large{72000, 1, 2.4, 3.2};
constexpr part_shape small{14400, 1, 5.3, 7.9};
constexpr part_shape slow{21600, 1, 16, 8.2};

part_shape several(part_shape part, std::size_t servers)
{
    part.servers = servers;
    return part;
}

std::uint32_t total(const division& found)
{
    return std::accumulate(
        found.layers_per_part.begin(), found.layers_per_part.end(), 0U);
}

// More prompts arrive per second than a single first server can read one after
// another. Guards against a division whose single first server leaves the chain
// idle while it reads a prompt.
TEST(divide_layers, replicas_of_the_first_part_raise_throughput)
{
    const auto profile = make_profile();
    const auto one = divide_layers(
        profile,
        {slow,
         large,
         small,
         small,
         small,
         small,
         small,
         small,
         slow,
         slow,
         slow,
         slow,
         slow});
    const auto four = divide_layers(
        profile,
        {several(slow, 4),
         large,
         small,
         small,
         small,
         small,
         small,
         small,
         slow,
         slow});
    EXPECT_EQ(total(one), 80U);
    EXPECT_EQ(total(four), 80U);
    EXPECT_GT(four.requests_per_second, 1.5 * one.requests_per_second);
}

// Guards against layers on the slowest accelerators while faster ones have
// memory for them beside the cache of their requests.
TEST(divide_layers, fast_accelerators_hold_what_fits)
{
    const auto found = divide_layers(
        make_profile(),
        {several(small, 4), large, large, slow, slow, slow, slow});
    ASSERT_EQ(total(found), 80U);
    EXPECT_GT(found.layers_per_part[1], 3 * found.layers_per_part[3]);
}

// Guards against a division of a model that does not fit into the memory.
TEST(divide_layers, nothing_for_a_model_that_does_not_fit)
{
    EXPECT_TRUE(divide_layers(make_profile(), {large, small, slow})
                    .layers_per_part.empty());
    EXPECT_TRUE(divide_layers(make_profile(), {}).layers_per_part.empty());
}

// Guards against a division by zero if the operator's profile has no times.
TEST(divide_layers, a_profile_without_times_gives_a_complete_division)
{
    wire::engine_profile bare;
    bare.layer_count = 80;
    bare.layer_mb = 1750;
    const auto found = divide_layers(bare, {large, large, small, slow, slow});
    EXPECT_EQ(total(found), 80U);
}

// Guards against more layers on a server than fit into its memory, which crash
// it, and against a layer without a holder.
RC_GTEST_PROP(divide_layers, all_layers_are_held_within_memory, ())
{
    const auto profile = make_profile();
    std::vector<part_shape> parts;
    const auto count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i)
        parts.push_back(several(
            *rc::gen::element(large, small, slow),
            i == 0 ? std::size_t(*rc::gen::inRange(1, 8)) : 1));
    const auto found = divide_layers(profile, parts);
    if (found.layers_per_part.empty())
        return;
    RC_ASSERT(total(found) == profile.layer_count);
    for (std::size_t i = 0; i < parts.size(); ++i)
        RC_ASSERT(
            found.layers_per_part[i] * profile.layer_mb <= parts[i].memory_mb);
}

} // namespace
} // namespace oleanderhinge::fleet
