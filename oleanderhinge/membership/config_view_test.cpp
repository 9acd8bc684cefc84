// Guards against a configuration that returns to an older revision, and against
// serving with one that is too old or not known to be in force.
#include "oleanderhinge/membership/config_view.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace oleanderhinge::membership
{
namespace
{

using base::revision;
using std::chrono::milliseconds;
using std::chrono::seconds;
using actions = std::vector<config_action>;

const base::time_point start{seconds(1000)};

// The change that control commits at revision r: puts customer "c<r mod 7>".
wire::change change_at(std::uint64_t r)
{
    wire::customer c;
    c.id = base::customer_id{"c" + std::to_string(r % 7)};
    c.weight = std::uint32_t(r);
    return wire::put_customer{c};
}

wire::configuration config_at(std::uint64_t r)
{
    wire::configuration config;
    for (std::uint64_t i = 1; i <= r; ++i)
        wire::apply(config, change_at(i), revision{i});
    return config;
}

wire::config_update full_at(std::uint64_t r)
{
    return {revision{0}, revision{r}, {config_at(r)}, {}};
}

wire::config_update delta(std::uint64_t from, std::uint64_t to)
{
    wire::config_update update{revision{from}, revision{to}, {}, {}};
    for (auto r = from + 1; r <= to; ++r)
        update.changes.emplace_back(revision{r}, change_at(r));
    return update;
}

wire::config_confirm confirm(std::uint64_t r, std::uint32_t age = 0)
{
    return {revision{r}, age};
}

config_view serving_at(std::uint64_t r)
{
    config_view view;
    apply_update(view, full_at(r), start);
    apply_confirm(view, confirm(r), start);
    return view;
}

wire::route route_with(wire::isolation_policy policy)
{
    wire::route r;
    r.isolation = policy;
    return r;
}

const auto refuse_route = route_with(wire::isolation_policy::refuse);
const auto serve_last_route = route_with(wire::isolation_policy::serve_last);

bool serves(
    const config_view& view,
    base::time_point now,
    const wire::route& r = refuse_route)
{
    const auto decision = may_serve(view, r, now);
    if (!decision.allowed) {
        EXPECT_EQ(decision.refusal.state, base::execution::not_run);
        EXPECT_EQ(decision.refusal.code, base::failure_code::not_ready);
        EXPECT_FALSE(decision.refusal.detail.empty());
    }
    return decision.allowed;
}

TEST(config_view, not_ready_until_confirmed_within_the_lease)
{
    config_view view;
    EXPECT_FALSE(serves(view, start, serve_last_route));
    EXPECT_EQ(
        apply_update(view, full_at(3), start),
        (actions{config_applied{revision{0}, revision{3}, false}}));
    EXPECT_FALSE(serves(view, start));
    EXPECT_FALSE(readiness(view, start).ready);
    EXPECT_EQ(apply_confirm(view, confirm(3, 5000), start), actions{});
    EXPECT_FALSE(serves(view, start, serve_last_route));
    EXPECT_EQ(
        apply_confirm(view, confirm(3, 4999), start),
        (actions{lease_regained{revision{3}}}));
    EXPECT_TRUE(serves(view, start));
    EXPECT_TRUE(readiness(view, start).ready);
}

TEST(config_view, lease_is_lost_and_regained_at_its_moment)
{
    auto view = serving_at(3);
    EXPECT_EQ(tick(view, start + milliseconds(4999)), actions{});
    EXPECT_TRUE(serves(view, start + milliseconds(4999)));
    EXPECT_FALSE(serves(view, start + seconds(5)));
    EXPECT_EQ(
        tick(view, start + seconds(5)),
        (actions{lease_lost{revision{3}, loss_reason::unconfirmed}}));
    EXPECT_EQ(tick(view, start + seconds(6)), actions{});
    EXPECT_EQ(
        apply_confirm(view, confirm(3), start + seconds(7)),
        (actions{lease_regained{revision{3}}}));
}

TEST(config_view, serve_last_routes_go_on_for_an_hour)
{
    const auto view = serving_at(3);
    const auto decision =
        may_serve(view, serve_last_route, start + seconds(3599));
    EXPECT_TRUE(decision.allowed);
    EXPECT_TRUE(decision.without_lease);
    EXPECT_FALSE(readiness(view, start + seconds(3599)).ready);
    EXPECT_FALSE(serves(view, start + seconds(3600), serve_last_route));
    auto service = serve_last_route;
    service.kind = base::route_kind::service;
    EXPECT_FALSE(serves(view, start + seconds(6), service));
}

// Clocks are not compared: each node sends the time since its own confirmation.
TEST(config_view, age_adds_up_over_three_hops)
{
    config_view hops[3];
    auto now = start;
    std::uint32_t age = 200;
    for (auto& hop : hops) {
        apply_update(hop, full_at(3), now);
        apply_confirm(hop, confirm(3, age), now);
        // Each hop forwards a confirm up to one interval after it received it.
        now += milliseconds(900);
        age = age_ms(hop, now);
    }
    EXPECT_EQ(age, 200u + 3 * 900u);
    // The end of the lease is the same moment at each hop.
    const auto end = start - milliseconds(200) + seconds(5);
    for (const auto& hop : hops) {
        EXPECT_TRUE(serves(hop, end - milliseconds(1)));
        EXPECT_FALSE(serves(hop, end));
    }
}

TEST(config_view, age_is_rounded_up_and_bounded)
{
    auto view = serving_at(1);
    EXPECT_EQ(age_ms(view, start + std::chrono::microseconds(1)), 1u);
    EXPECT_EQ(age_ms(config_view{}, start), 0xffffffffu);
    EXPECT_EQ(age_ms(view, start + std::chrono::hours(2000)), 0xffffffffu);
}

// The parent of the restarted node is isolated and has an old revision.
TEST(config_view, restart_beside_an_isolated_parent_does_not_serve)
{
    struct parent_case {
        const char* name;
        std::uint32_t parent_age;
        std::uint64_t agents_report;
    };
    const parent_case cases[] = {
        {"the parent lost its lease", 5000, 0},
        {"the parent still has its lease, agents know more", 4000, 8},
        {"both", 60000, 8},
    };
    for (const auto& c : cases) {
        config_view view;
        note_reported_revision(view, revision{c.agents_report}, start);
        apply_update(view, full_at(7), start);
        apply_confirm(view, confirm(7, c.parent_age), start);
        EXPECT_FALSE(serves(view, start, serve_last_route)) << c.name;
        EXPECT_FALSE(readiness(view, start).ready) << c.name;
        EXPECT_FALSE(serves(view, start + seconds(2), serve_last_route))
            << c.name;
    }
}

TEST(config_view, a_higher_report_ends_service_after_the_time_to_catch_up)
{
    auto view = serving_at(3);
    EXPECT_EQ(note_reported_revision(view, revision{4}, start), actions{});
    EXPECT_TRUE(serves(view, start + milliseconds(1999)));
    // Further reports must not extend the grace period.
    note_reported_revision(view, revision{5}, start + seconds(1));
    EXPECT_FALSE(serves(view, start + seconds(2)));
    EXPECT_EQ(
        tick(view, start + seconds(2)),
        (actions{lease_lost{revision{3}, loss_reason::behind}}));
    // Still behind at 4.
    EXPECT_EQ(
        apply_update(view, delta(3, 4), start + seconds(3)),
        (actions{config_applied{revision{3}, revision{4}, true}}));
    const auto out = apply_update(view, delta(4, 5), start + seconds(3));
    EXPECT_EQ(out.back(), config_action{lease_regained{revision{5}}});
}

TEST(config_view, serve_last_ends_when_a_higher_revision_is_reported)
{
    auto view = serving_at(3);
    tick(view, start + seconds(60));
    EXPECT_TRUE(serves(view, start + seconds(60), serve_last_route));
    note_reported_revision(view, revision{4}, start + seconds(60));
    EXPECT_FALSE(serves(view, start + seconds(60), serve_last_route));
}

TEST(config_view, each_kind_of_update_is_applied_ignored_or_refused)
{
    auto malformed = delta(5, 7);
    std::swap(malformed.changes[0], malformed.changes[1]);
    auto beyond = delta(5, 7);
    beyond.to = revision{6};
    auto mislabelled = full_at(7);
    mislabelled.to = revision{8};
    struct kind {
        const char* name;
        wire::config_update update;
        actions expected;
        std::uint64_t revision_after;
    };
    const auto ask = actions{full_update_needed{revision{5}}};
    const kind kinds[] = {
        {"next",
         delta(5, 6),
         {config_applied{revision{5}, revision{6}, true}},
         6},
        {"several",
         delta(5, 9),
         {config_applied{revision{5}, revision{9}, true}},
         9},
        {"full",
         full_at(9),
         {config_applied{revision{5}, revision{9}, false}},
         9},
        {"equal full", full_at(5), {}, 5},
        {"old full", full_at(4), {parent_behind{revision{4}, revision{5}}}, 5},
        {"repeated", delta(4, 5), {}, 5},
        {"late", delta(1, 3), {}, 5},
        {"gap", delta(6, 7), ask, 5},
        {"overlap", delta(4, 7), ask, 5},
        {"out of order", malformed, ask, 5},
        {"beyond its end", beyond, ask, 5},
        {"mislabelled full", mislabelled, ask, 5},
    };
    for (const auto& k : kinds) {
        auto view = serving_at(5);
        EXPECT_EQ(apply_update(view, k.update, start), k.expected) << k.name;
        EXPECT_EQ(*view.config, config_at(k.revision_after)) << k.name;
    }
}

TEST(config_view, confirm_of_another_revision_does_not_extend_the_lease)
{
    auto view = serving_at(5);
    const auto later = start + seconds(4);
    EXPECT_EQ(
        apply_confirm(view, confirm(4), later),
        (actions{parent_behind{revision{4}, revision{5}}}));
    EXPECT_EQ(
        apply_confirm(view, confirm(6), later),
        (actions{full_update_needed{revision{5}}}));
    EXPECT_FALSE(is_confirmed(view, start + seconds(5)));
}

// An older confirm that arrives late must not shorten or extend the lease.
TEST(config_view, late_confirm_keeps_the_newest_moment)
{
    auto view = serving_at(5);
    apply_confirm(view, confirm(5, 3000), start + seconds(1));
    EXPECT_EQ(age_ms(view, start + seconds(1)), 1000u);
}

// After hundreds of changes and a restart, requests are served only with the
// newest revision.
TEST(config_view, restart_after_hundreds_of_changes_never_goes_back)
{
    auto view = serving_at(1);
    for (std::uint64_t r = 1; r < 400; ++r)
        apply_update(view, delta(r, r + 1), start);
    EXPECT_EQ(*view.config, config_at(400));
    config_view restarted;
    note_reported_revision(restarted, revision{400}, start);
    for (const std::uint64_t r : {1, 399}) {
        apply_update(restarted, full_at(r), start);
        apply_confirm(restarted, confirm(r), start);
        EXPECT_FALSE(serves(restarted, start)) << r;
    }
    apply_update(restarted, full_at(400), start);
    apply_confirm(restarted, confirm(400), start);
    EXPECT_TRUE(serves(restarted, start));
}

// Updates and confirms arrive in any order, repeated or not at all. The
// revision never decreases, and the content is always that of a committed
// revision.
RC_GTEST_PROP(config_view, revision_never_falls, ())
{
    config_view view;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        const auto before = revision_of(view);
        const auto a = *rc::gen::inRange<std::uint64_t>(0, 20);
        const auto b = a + *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto now = start + milliseconds(i * 700);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            apply_update(view, full_at(b), now);
            break;
        case 1:
            apply_confirm(view, confirm(b), now);
            break;
        default:
            apply_update(view, delta(a, b), now);
        }
        RC_ASSERT(revision_of(view) >= before);
        if (view.config)
            RC_ASSERT(*view.config == config_at(view.config->at.value()));
        if (may_serve(view, serve_last_route, now).allowed)
            RC_ASSERT(is_confirmed(view, now) || view.has_served);
    }
}

} // namespace
} // namespace oleanderhinge::membership
