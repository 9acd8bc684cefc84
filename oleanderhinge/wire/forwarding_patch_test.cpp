#include "oleanderhinge/wire/forwarding_patch.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::wire
{

namespace
{

forwarding_route make_route(const std::string& name, std::uint32_t timeout_ms)
{
    return {
        .name = name,
        .host = "a.example",
        .path_prefix = "/" + name + "/",
        .timeout_ms = timeout_ms,
        .targets = {{"chat", 1}}};
}

forwarding_table make_table(std::uint64_t version, std::size_t route_count)
{
    forwarding_table table;
    table.version = version;
    for (std::size_t i = 0; i < route_count; ++i)
        // Names of one length.
        table.routes.push_back(
            make_route("r" + std::to_string(100000 + i), 1000));
    return table;
}

forwarding_table draw_table(std::uint64_t version)
{
    forwarding_table table;
    table.version = version;
    const auto names = *rc::gen::unique<std::vector<std::uint8_t>>(
        rc::gen::inRange<std::uint8_t>(0, 20));
    for (const auto name : names) {
        const auto text = std::to_string(name);
        table.routes.push_back(
            make_route(text, *rc::gen::inRange<std::uint32_t>(1, 3)));
        if (name % 3 == 0)
            table.services.push_back({.name = text});
        if (name % 2 == 0)
            table.customers.push_back({base::customer_id{text}, {text}, {}});
    }
    table.needs_keys = *rc::gen::arbitrary<bool>();
    return table;
}

} // namespace

// Guards against a gateway whose table differs from the one that was accepted.
RC_GTEST_PROP(forwarding_patch, leads_from_any_table_to_any_other, ())
{
    const auto from = draw_table(3);
    const auto to = draw_table(8);
    const auto patch = make_patch(from, to);
    RC_ASSERT(fits(from, patch));
    auto changed = from;
    apply_patch(changed, patch);
    RC_ASSERT(changed == to);
}

// Pattern: one route of a table of thousands changes. Guards against changes
// whose size grows with the table: 920 routes went whole to 105 gateways and
// kept the leader's link busy for longer than its lease.
TEST(forwarding_patch, does_not_grow_with_the_table)
{
    const auto size_of_change = [](std::size_t route_count) {
        const auto from = make_table(1, route_count);
        auto to = from;
        to.version = 2;
        to.routes[route_count / 2].timeout_ms = 5000;
        to.routes.erase(to.routes.begin());
        to.routes.push_back(make_route("new", 1000));
        return to_bytes(make_patch(from, to)).size();
    };
    EXPECT_EQ(size_of_change(10000), size_of_change(100));
    EXPECT_LT(size_of_change(10000), 1024U);
}

// Guards against patches that read outside the lists of the table.
TEST(forwarding_patch, that_was_made_for_another_table_does_not_fit)
{
    const auto base = make_table(1, 10);
    const auto patch = make_patch(base, make_table(2, 9));
    EXPECT_TRUE(fits(base, patch));
    EXPECT_FALSE(fits(make_table(3, 10), patch));
    EXPECT_FALSE(fits(make_table(1, 5), patch));
    auto overlapping = patch;
    overlapping.routes.push_back({0, 1, {}});
    EXPECT_FALSE(fits(base, overlapping));
    auto beyond = patch;
    beyond.routes = {{4294967295U, 4294967295U, {}}};
    EXPECT_FALSE(fits(base, beyond));
}

} // namespace oleanderhinge::wire
