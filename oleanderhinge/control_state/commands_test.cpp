#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/control_state/queries.hpp"
#include "oleanderhinge/control_state/snapshot.hpp"
#include "oleanderhinge/control_state/validate.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <cereal/types/deque.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <functional>

namespace oleanderhinge::control_state
{

namespace
{

using testing::ElementsAre;
using testing::HasSubstr;
using wire::claim_state;

constexpr std::uint64_t day_ms = 24ULL * 3600 * 1000;

wire::route model_route(const std::string& id)
{
    wire::route made;
    made.id = base::route_id{id};
    made.model = base::model_id{"hinge-llm"};
    made.layer_count = 32;
    return made;
}

wire::customer customer(const std::string& id, char digit = 'a')
{
    wire::customer made;
    made.id = base::customer_id{id};
    made.credential_sha256 = std::string(64, digit);
    return made;
}

// Encodes and applies commands one after the other, as a control node does.
struct test_node {
    state current;
    std::uint64_t clock_ms = 10 * day_ms;

    template <class Reply, class Command>
    Reply run(const Command& item)
    {
        return std::get<Reply>(apply_encoded(
            this->current, encode(item), this->current.applied.next()));
    }
    plan_reply create(const std::string& id, std::vector<wire::change> intents)
    {
        return this->run<plan_reply>(
            create_plan{base::plan_id{id}, std::move(intents), this->clock_ms});
    }
    confirm_reply confirm(const std::string& id)
    {
        return this->run<confirm_reply>(
            confirm_plan{base::plan_id{id}, this->clock_ms});
    }
    confirm_reply create_and_confirm(const std::string& id, wire::change item)
    {
        this->create(id, {std::move(item)});
        return this->confirm(id);
    }
    claim_result claim_key_as(
        const std::string& key,
        std::uint64_t owner,
        std::uint8_t digest = 1,
        std::uint64_t max_claims = 100)
    {
        return this->run<claim_result>(claim{
            this->key(key),
            {digest},
            {base::incarnation{7}, owner},
            this->clock_ms,
            day_ms,
            max_claims,
            1 << 20});
    }
    outcome_result report_outcome(
        const std::string& key,
        std::uint64_t owner,
        base::verdict failure,
        const std::string& body = "done")
    {
        return this->run<outcome_result>(record_outcome{
            this->key(key),
            {base::incarnation{7}, owner},
            std::move(failure),
            {201, {}, body},
            1 << 20});
    }
    expire_reply expire_old()
    {
        return this->run<expire_reply>(expire{this->clock_ms, day_ms, day_ms});
    }

    static claim_key key(const std::string& text)
    {
        return {base::customer_id{"c"}, base::route_id{"book"}, text};
    }
};

// A UUIDv7 key of the given time.
std::string uuid_at(std::uint64_t ms)
{
    char text[80];
    std::snprintf(
        text,
        sizeof(text),
        "%08llx-%04llx-7abc-8def-0123456789ab",
        static_cast<unsigned long long>(ms >> 16),
        static_cast<unsigned long long>(ms & 0xffff));
    return text;
}

base::verdict answered_verdict()
{
    return {base::execution::ran, base::failure_code::none, "", {}};
}

} // namespace

// Guards against two concurrent operators both getting their plan confirmed,
// and against a conflict that does not name the changed object.
TEST(plans, of_two_plans_with_equal_base_one_wins)
{
    test_node node;
    auto slower = model_route("diagnose");
    slower.request_timeout_ms = 90000;
    const auto first =
        node.create("p1", {wire::put_route{model_route("diagnose")}});
    const auto second = node.create("p2", {wire::put_route{slower}});
    EXPECT_EQ(first.content.base_revision, second.content.base_revision);
    EXPECT_EQ(node.confirm("p1").result, confirm_reply::outcome::confirmed);
    const auto lost = node.confirm("p2");
    EXPECT_EQ(lost.result, confirm_reply::outcome::conflict);
    EXPECT_THAT(
        lost.content.conflicts,
        ElementsAre(plan_conflict{"route diagnose", base::revision{1}}));
    EXPECT_EQ(node.current.config.at, base::revision{1});
}

// Guards against conflicts between plans that touch different objects.
TEST(plans, plans_on_other_objects_both_win)
{
    test_node node;
    node.create("p1", {wire::put_route{model_route("a")}});
    node.create("p2", {wire::put_route{model_route("b")}});
    EXPECT_EQ(node.confirm("p1").content.confirmed_at, base::revision{1});
    EXPECT_EQ(node.confirm("p2").content.confirmed_at, base::revision{2});
}

// Guards against a resent confirmation that creates a second revision or
// conflicts with the first one.
TEST(plans, resent_confirm_gets_the_first_result)
{
    test_node node;
    const auto first =
        node.create_and_confirm("p1", wire::put_route{model_route("a")});
    node.create_and_confirm("p2", wire::remove_route{base::route_id{"a"}});
    const auto again = node.confirm("p1");
    EXPECT_EQ(again.result, confirm_reply::outcome::confirmed);
    EXPECT_TRUE(again.repeated);
    EXPECT_EQ(again.content, first.content);
    EXPECT_EQ(node.current.config.at, base::revision{2});
    EXPECT_TRUE(node.current.config.routes.empty());
}

// Guards against a second plan from a resent request, and against one id for
// two different plans.
TEST(plans, resent_create_returns_the_first_plan)
{
    test_node node;
    const wire::change intent = wire::put_route{model_route("a")};
    const auto first = node.create("p1", {intent});
    node.create_and_confirm("p2", wire::put_route{model_route("a")});
    const auto again = node.create("p1", {intent});
    EXPECT_EQ(again.result, plan_reply::outcome::repeated);
    EXPECT_EQ(again.content, first.content);
    EXPECT_EQ(
        node.create("p1", {wire::put_route{model_route("b")}}).result,
        plan_reply::outcome::id_taken);
}

// Guards against an older plan that restores a removed object.
TEST(plans, removal_conflicts_with_an_older_plan)
{
    test_node node;
    node.create_and_confirm("p1", wire::put_route{model_route("a")});
    node.create("old", {wire::put_route{model_route("a")}});
    node.create_and_confirm("p2", wire::remove_route{base::route_id{"a"}});
    node.expire_old();
    const auto lost = node.confirm("old");
    EXPECT_EQ(lost.result, confirm_reply::outcome::conflict);
    EXPECT_THAT(
        lost.content.conflicts,
        ElementsAre(plan_conflict{"route a", base::revision{2}}));
}

// Guards against plans on different objects that together give two customers
// the same credential, or leave a customer with a removed route.
TEST(plans, references_are_checked_at_the_confirm)
{
    test_node node;
    node.create_and_confirm("r", wire::put_route{model_route("a")});
    auto user = customer("u", 'b');
    user.routes = {base::route_id{"a"}};
    node.create("uses", {wire::put_customer{user}});
    node.create("twin", {wire::put_customer{customer("twin", 'c')}});
    node.create_and_confirm(
        "other", wire::put_customer{customer("other", 'c')});
    node.create_and_confirm("gone", wire::remove_route{base::route_id{"a"}});
    EXPECT_THAT(
        node.confirm("uses").content.conflicts,
        ElementsAre(plan_conflict{"route a", base::revision{3}}));
    EXPECT_THAT(
        node.confirm("twin").content.conflicts,
        ElementsAre(plan_conflict{"customer other", base::revision{2}}));
}

TEST(plans, plan_shows_before_and_after)
{
    test_node node;
    node.create_and_confirm("p1", wire::put_shares{{40, 20, 10, {}}});
    const auto made = node.create(
        "p2",
        {wire::put_shares{{60, 20, 10, {}}},
         wire::put_route{model_route("a")}});
    ASSERT_EQ(made.content.changes.size(), 2U);
    const auto before =
        std::get<wire::put_shares>(*made.content.changes[0].before);
    EXPECT_EQ(before.value.urgent, 40U);
    EXPECT_FALSE(made.content.changes[1].before);
}

// Guards against a fencing number that decreases when an order is removed and
// created again.
TEST(plans, fencing_number_grows_across_removal)
{
    test_node node;
    wire::server_order order{.server = base::backend_server_id{"s1"}};
    order.draining = true;
    std::uint64_t last = 0;
    for (int round = 0; round < 3; ++round) {
        const auto name = std::to_string(round);
        node.create_and_confirm("put" + name, wire::put_order{order});
        const auto number =
            node.current.config.orders.begin()->second.number.value();
        EXPECT_GT(number, last);
        last = number;
        node.create_and_confirm(
            "remove" + name, wire::remove_order{order.server});
    }
}

// Guards against an expired plan that is confirmed long after it was shown to
// the operator.
TEST(plans, expired_plan_is_unknown)
{
    test_node node;
    node.create("p1", {wire::put_route{model_route("a")}});
    node.clock_ms += day_ms + 1;
    EXPECT_EQ(node.expire_old().plans, 1U);
    EXPECT_EQ(node.confirm("p1").result, confirm_reply::outcome::unknown_plan);
    EXPECT_EQ(node.current.plan_bytes, 0U);
}

struct bad_intent {
    const char* name;
    std::function<wire::change()> make;
    const char* message;
};

wire::change changed_route(const std::function<void(wire::route&)>& edit)
{
    auto value = model_route("r");
    edit(value);
    return wire::put_route{value};
}

wire::change changed_customer(const std::function<void(wire::customer&)>& edit)
{
    auto value = customer("c");
    edit(value);
    return wire::put_customer{value};
}

wire::change service_route(const std::function<void(wire::route&)>& edit)
{
    return changed_route([&](wire::route& r) {
        r.kind = base::route_kind::service;
        r.model = {};
        r.layer_count = 0;
        r.service = "rota-app";
        edit(r);
    });
}

// Guards against intents that no node can carry out, and against messages that
// do not name the field, its value and the allowed values.
TEST(validation, refuses_malformed_intents)
{
    const std::vector<bad_intent> table{
        {"shares",
         [] {
             return wire::put_shares{{60, 30, 20, {}}};
         },
         "rank shares: urgent, standard and deferrable sum to 110, must be at "
         "most 100"},
        {"layers",
         [] { return changed_route([](auto& r) { r.layer_count = 0; }); },
         "route r: layer_count is 0, must be 1 to 4096"},
        {"model",
         [] { return changed_route([](auto& r) { r.model = {}; }); },
         "route r: model is '', must be 1 to 128"},
        {"model service",
         [] { return changed_route([](auto& r) { r.service = "x"; }); },
         "service is 'x', must be empty for a model route"},
        {"rank",
         [] {
             return changed_route([](auto& r) { r.work_rank = base::rank(9); });
         },
         "rank is 9, must be 0 to 2"},
        {"timeout",
         [] {
             return changed_route([](auto& r) { r.request_timeout_ms = 0; });
         },
         "request_timeout_ms is 0, must be 1 to 3600000"},
        {"id",
         [] {
             return changed_route(
                 [](auto& r) { r.id = base::route_id{"a/b\n"}; });
         },
         "id is 'a/b?', must be 1 to 128 letters"},
        {"service",
         [] { return service_route([](auto& r) { r.service.clear(); }); },
         "service is '', must be 1 to 128"},
        {"service isolation",
         [] {
             return service_route([](auto& r) {
                 r.isolation = wire::isolation_policy::serve_last;
             });
         },
         "isolation is 'serve_last', only allowed for a model route"},
        {"service layers",
         [] { return service_route([](auto& r) { r.layer_count = 4; }); },
         "layer_count is 4, must be 0 to 0"},
        {"weight",
         [] { return changed_customer([](auto& c) { c.weight = 0; }); },
         "customer c: weight is 0, must be 1 to 1000000"},
        {"credential",
         [] {
             return changed_customer(
                 [](auto& c) { c.credential_sha256 = "xyz"; });
         },
         "credential_sha256 has 3 characters, must be 64 hexadecimal digits"},
        {"routes",
         [] {
             return changed_customer(
                 [](auto& c) { c.routes = {base::route_id{"none"}}; });
         },
         "routes has 'none', must be a route of the configuration"},
        {"order",
         [] {
             wire::server_order o{.server = base::backend_server_id{"s"}};
             o.model = base::model_id{"m"};
             o.layers = {base::layer_index{8}, base::layer_index{8}};
             return wire::put_order{o};
         },
         "server s: layers is 8 to 8, first must be below end"},
        {"removal",
         [] { return wire::remove_customer{base::customer_id{"x"}}; },
         "customer x: there is no such customer to remove"},
    };
    for (const auto& row : table) {
        test_node node;
        const auto refused = node.create("p", {row.make()});
        EXPECT_EQ(refused.result, plan_reply::outcome::invalid) << row.name;
        EXPECT_THAT(refused.faults, ElementsAre(HasSubstr(row.message)))
            << row.name;
        EXPECT_TRUE(node.current.plans.empty()) << row.name;
    }
}

TEST(validation, refuses_empty_and_double_intents)
{
    EXPECT_THAT(
        validate({}, {}), ElementsAre(HasSubstr("has 0 entries, must have 1")));
    EXPECT_THAT(
        validate(
            {},
            {wire::put_route{model_route("a")},
             wire::put_route{model_route("a")}}),
        ElementsAre(HasSubstr("route a: the object is named by two intents")));
    EXPECT_THAT(
        validate(
            {},
            {wire::put_customer{customer("a")},
             wire::put_customer{customer("b")}}),
        testing::Contains(HasSubstr("is that of customer")));
}

// Guards against a request that is blocked by its own claim after the reply
// was lost.
TEST(claims, resent_claim_of_the_owner_is_granted_again)
{
    test_node node;
    EXPECT_EQ(node.claim_key_as("k", 1).state, claim_state::granted);
    const auto again = node.claim_key_as("k", 1);
    EXPECT_EQ(again.state, claim_state::granted);
    EXPECT_TRUE(again.repeated);
    EXPECT_EQ(node.current.claims.size(), 1U);
}

// Guards against two requests that both send the same call.
TEST(claims, second_request_waits_and_gets_the_outcome)
{
    test_node node;
    node.claim_key_as("k", 1);
    const auto waiting = node.claim_key_as("k", 2);
    EXPECT_EQ(waiting.state, claim_state::in_progress);
    EXPECT_EQ(waiting.failure.state, base::execution::may_have_run);
    EXPECT_FALSE(node.report_outcome("k", 2, answered_verdict()).stored);
    EXPECT_TRUE(node.report_outcome("k", 1, answered_verdict()).stored);
    const auto later = node.claim_key_as("k", 2);
    EXPECT_EQ(later.state, claim_state::finished);
    EXPECT_EQ(later.answer.body, "done");
    // The owner must not send the call again either.
    EXPECT_EQ(node.claim_key_as("k", 1).state, claim_state::finished);
}

// Guards against a late report that replaces an outcome that a caller has
// already received.
TEST(claims, first_outcome_stays)
{
    test_node node;
    node.claim_key_as("k", 1);
    node.report_outcome("k", 1, answered_verdict());
    const auto late = node.report_outcome(
        "k", 1, base::not_run(base::failure_code::fenced, "late"));
    EXPECT_TRUE(late.stored);
    EXPECT_EQ(node.claim_key_as("k", 2).state, claim_state::finished);
}

TEST(claims, not_run_releases_the_claim)
{
    test_node node;
    node.claim_key_as("k", 1);
    const auto refused = base::not_run(base::failure_code::no_server, "none");
    EXPECT_TRUE(node.report_outcome("k", 1, refused).stored);
    EXPECT_EQ(node.current.claim_bytes, 0U);
    EXPECT_EQ(node.claim_key_as("k", 2).state, claim_state::granted);
    // A resent release by the first owner must not release the claim of the
    // second.
    EXPECT_FALSE(node.report_outcome("k", 1, refused).stored);
    EXPECT_EQ(node.claim_key_as("k", 3).state, claim_state::in_progress);
}

TEST(claims, key_of_another_request_is_refused)
{
    test_node node;
    node.claim_key_as("k", 1, 1);
    EXPECT_EQ(node.claim_key_as("k", 2, 9).state, claim_state::digest_mismatch);
    EXPECT_EQ(node.claim_key_as("k", 1, 9).state, claim_state::digest_mismatch);
}

// Guards against the eviction of claims that have not expired, after which a
// call could run a second time.
TEST(claims, full_table_refuses_new_claims_and_keeps_old_ones)
{
    test_node node;
    EXPECT_EQ(node.claim_key_as("a", 1, 1, 2).state, claim_state::granted);
    EXPECT_EQ(node.claim_key_as("b", 2, 1, 2).state, claim_state::granted);
    const auto full = node.claim_key_as("c", 3, 1, 2);
    EXPECT_EQ(full.state, claim_state::full);
    EXPECT_EQ(full.failure.state, base::execution::not_run);
    EXPECT_EQ(node.claim_key_as("a", 1, 1, 2).state, claim_state::granted);
    EXPECT_EQ(node.current.claims.size(), 2U);
}

TEST(claims, large_answer_is_recorded_without_its_body)
{
    test_node node;
    node.claim_key_as("k", 1);
    node.report_outcome(
        "k", 1, answered_verdict(), std::string(max_answer_bytes + 1, 'x'));
    const auto later = node.claim_key_as("k", 2);
    EXPECT_EQ(later.state, claim_state::finished);
    EXPECT_EQ(later.failure.state, base::execution::ran);
    EXPECT_TRUE(later.answer.body.empty());
}

// Guards against a second run of a call after the claim of its UUIDv7 key has
// expired, also if the caller's clock is ahead or behind.
TEST(claims, expired_uuid_is_refused_whatever_the_callers_clock)
{
    for (const std::int64_t lead_ms : {-60'000, 0, 60'000}) {
        test_node node;
        const auto key = uuid_at(node.clock_ms + std::uint64_t(lead_ms));
        ASSERT_EQ(node.claim_key_as(key, 1).state, claim_state::granted);
        node.report_outcome(key, 1, answered_verdict());
        for (int step = 0; step < 30; ++step) {
            node.clock_ms += day_ms / 20;
            node.expire_old();
            EXPECT_THAT(
                node.claim_key_as(key, 2).state,
                testing::AnyOf(claim_state::finished, claim_state::expired));
        }
        EXPECT_EQ(node.claim_key_as(key, 2).state, claim_state::expired);
        EXPECT_EQ(
            node.claim_key_as(key, 2).failure.state,
            base::execution::may_have_run);
        EXPECT_TRUE(node.current.claims.empty());
    }
}

// Guards against expired keys that a new leader grants again because its clock
// is behind.
TEST(claims, clock_of_a_later_leader_does_not_go_back)
{
    test_node node;
    const auto key = uuid_at(node.clock_ms);
    node.claim_key_as(key, 1);
    node.clock_ms += day_ms + 1;
    node.expire_old();
    node.clock_ms -= day_ms;
    EXPECT_EQ(node.claim_key_as(key, 2).state, claim_state::expired);
}

TEST(claims, refuses_keys_with_bad_time_or_length)
{
    test_node node;
    EXPECT_EQ(
        node.claim_key_as(uuid_at(node.clock_ms + max_key_lead_ms + 1), 1)
            .state,
        claim_state::expired);
    for (const auto& key :
         {std::string(), std::string(max_key_bytes + 1, 'k')}) {
        const auto refused = node.claim_key_as(key, 1);
        EXPECT_EQ(refused.state, claim_state::unavailable);
        EXPECT_EQ(refused.failure.code, base::failure_code::invalid_request);
    }
}

TEST(updates, delta_if_kept_else_whole)
{
    test_node node;
    const auto rounds = max_kept_changes + 50;
    for (std::size_t i = 0; i < rounds; ++i)
        node.create_and_confirm(
            "p" + std::to_string(i),
            wire::put_route{model_route("r" + std::to_string(i % 7))});
    EXPECT_EQ(node.current.changes.size(), max_kept_changes);
    const auto old = update_since(node.current, base::revision{49});
    ASSERT_EQ(old.full.size(), 1U);
    EXPECT_EQ(old.full[0], node.current.config);
    const auto delta = update_since(node.current, base::revision{50});
    EXPECT_TRUE(delta.full.empty());
    EXPECT_EQ(delta.changes.size(), max_kept_changes);
    const auto newest = update_since(node.current, node.current.config.at);
    EXPECT_TRUE(newest.full.empty() && newest.changes.empty());
    EXPECT_EQ(
        update_since(node.current, node.current.config.at.next()).full.size(),
        1U);
}

// Guards against a node that has an older configuration after a restart from
// snapshot and log.
TEST(snapshot, restart_after_hundreds_of_changes_never_goes_back)
{
    test_node live;
    std::vector<std::string> log;
    std::string snapshot;
    std::size_t snapshot_at = 0;
    for (int i = 0; i < 400; ++i) {
        const auto name = std::to_string(i);
        const std::vector<command> items{
            create_plan{
                base::plan_id{name},
                {wire::put_route{model_route("r" + std::to_string(i % 11))}},
                live.clock_ms},
            confirm_plan{base::plan_id{name}, live.clock_ms}};
        for (const auto& item : items) {
            log.push_back(encode(item));
            apply(live.current, item, base::log_index{log.size()});
        }
        if (i == 150) {
            snapshot = encode_snapshot(live.current);
            snapshot_at = log.size();
        }
        if (i % 40 != 39 || snapshot.empty())
            continue;
        auto restarted = decode_snapshot(snapshot).value();
        for (auto at = snapshot_at; at < log.size(); ++at)
            apply_encoded(restarted, log[at], base::log_index{at + 1});
        EXPECT_EQ(restarted, live.current);
        EXPECT_EQ(restarted.config.at, base::revision{std::uint64_t(i) + 1});
    }
    EXPECT_THROW(
        apply_encoded(live.current, log.back(), base::log_index{log.size()}),
        std::logic_error);
}

TEST(snapshot, malformed_command_only_moves_the_index)
{
    state s;
    const auto answer = apply_encoded(s, "\x09garbage", base::log_index{4});
    EXPECT_TRUE(std::holds_alternative<malformed_command>(answer));
    state expected;
    expected.applied = base::log_index{4};
    EXPECT_EQ(s, expected);
}

test_node populated_node()
{
    test_node node;
    node.create_and_confirm("p1", wire::put_route{model_route("a")});
    node.create_and_confirm("p2", wire::put_customer{customer("c")});
    node.create("p3", {wire::remove_route{base::route_id{"a"}}});
    node.claim_key_as("k1", 1);
    node.claim_key_as("k2", 2);
    node.report_outcome("k2", 2, answered_verdict());
    return node;
}

// Guards against crashes and unbounded allocation on snapshots with flipped
// bits or a truncated end.
TEST(snapshot, damage_is_found)
{
    const auto bytes = encode_snapshot(populated_node().current);
    EXPECT_EQ(decode_snapshot(bytes).value(), populated_node().current);
    EXPECT_TRUE(rc::check([&](std::uint8_t flip) {
        auto damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        damaged[at] = char(damaged[at] ^ char(flip));
        const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        damaged.resize(size);
        RC_ASSERT(bool(decode_snapshot(damaged)) == (damaged == bytes));
    }));
}

// The same for snapshots with a correct checksum and wrong contents, as a
// faulty writer would produce them.
TEST(snapshot, arbitrary_contents_are_bounded)
{
    const auto bytes = encode_snapshot(populated_node().current);
    EXPECT_TRUE(rc::check([&](std::uint32_t value) {
        auto damaged = bytes.substr(0, bytes.size() - 4);
        const auto at = *rc::gen::inRange<std::size_t>(5, damaged.size() - 4);
        std::memcpy(damaged.data() + at, &value, sizeof(value));
        const auto checksum = base::crc32c(damaged);
        damaged.append(reinterpret_cast<const char*>(&checksum), 4);
        const auto decoded = decode_snapshot(damaged);
        if (decoded)
            RC_ASSERT(
                encode_snapshot(decoded.value()).size() <= damaged.size() * 2);
    }));
}

// Guards against an older table that replaces a newer one, and against
// different contents for the present version.
TEST(forwarding, the_highest_version_is_in_force)
{
    state held;
    std::uint64_t index = 0;
    const auto replace = [&](std::uint64_t version, const char* document) {
        replace_forwarding item;
        item.table.version = version;
        item.document = document;
        return std::get<replace_reply>(
            apply(held, item, base::log_index{++index}));
    };
    EXPECT_TRUE(replace(7, "seven").in_force);
    EXPECT_FALSE(replace(7, "other").in_force);
    EXPECT_FALSE(replace(3, "three").in_force);
    EXPECT_EQ(held.forwarding_document, "seven");
    EXPECT_EQ(held.config.forwarding.version, 7U);
    EXPECT_EQ(held.config.at, base::revision{1});
    EXPECT_TRUE(replace(9, "nine").in_force);
    EXPECT_EQ(held.config.at, base::revision{2});
    // A subscriber at the previous revision gets only this change.
    ASSERT_EQ(held.changes.size(), 1U);
    EXPECT_EQ(held.changes_after, base::revision{1});
}

// Guards against a snapshot without the table, its text or the placement.
TEST(forwarding, survives_a_snapshot)
{
    state held;
    replace_forwarding item;
    item.table.version = 7;
    item.table.routes.push_back({.name = "a", .path_prefix = "/a/"});
    item.document = "seven";
    apply(held, item, base::log_index{1});
    apply(
        held,
        record_places{"chat", {{.address = "10.0.0.1", .port = 80}}},
        base::log_index{2});
    const auto restored = base::handle(
        [&] { return decode_snapshot(encode_snapshot(held)); },
        [](const base::error& e) -> state {
            ADD_FAILURE() << e.detail;
            return {};
        });
    EXPECT_EQ(restored, held);
}

record_ended_server end_of(const std::string& id, std::uint64_t started_ms)
{
    return {base::backend_server_id{id}, started_ms, 10 * day_ms};
}

// Guards against an end that an older process's replaces, and against one that
// is recorded twice and therefore told again.
TEST(ended_servers, the_end_of_the_latest_process_is_kept)
{
    test_node node;
    const auto record = [&](std::uint64_t started_ms) {
        node.run<ended_server_reply>(end_of("a", started_ms));
        return node.current.ended_servers;
    };
    const auto first = record(5);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].recorded_at, node.current.applied);
    EXPECT_EQ(record(5), first);
    EXPECT_EQ(record(4), first);
    const auto next = record(6);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].started_ms, 6U);
    EXPECT_EQ(next[0].recorded_at, node.current.applied);
}

// Guards against ends that fill the log's snapshot in the course of time.
TEST(ended_servers, old_ends_are_dropped)
{
    test_node node;
    for (std::size_t i = 0; i <= max_ended_servers; ++i)
        node.run<ended_server_reply>(end_of(std::to_string(i), 5));
    EXPECT_EQ(node.current.ended_servers.size(), max_ended_servers);
    EXPECT_EQ(node.current.ended_servers.front().id.value(), "1");
    auto later = end_of("later", 5);
    later.now_ms += ended_server_retention_ms;
    node.run<ended_server_reply>(later);
    EXPECT_EQ(node.current.ended_servers.size(), max_ended_servers);
    ++later.now_ms;
    later.id = base::backend_server_id{"last"};
    node.run<ended_server_reply>(later);
    EXPECT_EQ(node.current.ended_servers.size(), 2U);
}

// Guards against ends that a snapshot loses, and against a member that cannot
// start with a snapshot of the format before.
TEST(ended_servers, survive_a_snapshot)
{
    auto node = populated_node();
    const auto without = node.current;
    node.run<ended_server_reply>(end_of("a", 5));
    EXPECT_EQ(
        decode_snapshot(encode_snapshot(node.current)).value(), node.current);
    // The field is the last one, and empty in this snapshot.
    constexpr std::size_t checksum_size = 4;
    const auto present = encode_snapshot(without);
    auto before = present.substr(0, present.size() - checksum_size);
    const auto size_of_field = wire::to_bytes(without.ended_servers).size();
    before.resize(before.size() - size_of_field);
    before[4] = 2;
    const auto checksum = base::crc32c(before);
    before.append(reinterpret_cast<const char*>(&checksum), checksum_size);
    EXPECT_EQ(decode_snapshot(before).value(), without);
}

} // namespace oleanderhinge::control_state
