// Guards against calls of routes that are not idempotent being sent again after
// they may have run, and against the verdict `not_run` for such calls.
#include "oleanderhinge/entry/service_call.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

namespace oleanderhinge::entry
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{100s};
const wire::endpoint agent{"127.0.0.1", 7000};

service_call make_call(bool idempotent)
{
    service_call_spec spec;
    spec.id = {base::incarnation{1}, 1};
    spec.route.kind = base::route_kind::service;
    spec.route.idempotent = idempotent;
    spec.route.request_timeout_ms = 10000;
    spec.idempotency_key = "key";
    return make_service_call(spec, start);
}

template <class Action>
std::size_t count(const call_actions& actions)
{
    std::size_t found = 0;
    for (const auto& action : actions)
        found += std::holds_alternative<Action>(action) ? 1 : 0;
    return found;
}

call_actions choose(service_call& call, base::time_point now = start)
{
    return on_server_chosen(
        call,
        base::backend_server_id{"stores-1"},
        agent,
        base::incarnation{5},
        now);
}

call_actions claim(service_call& call, wire::claim_state state)
{
    wire::claim_reply reply;
    reply.state = state;
    return on_claim_reply(call, reply, start);
}

wire::call_result
result_of(const service_call& call, base::verdict failure = {})
{
    wire::call_result result;
    result.attempt = call.attempt;
    result.failure = std::move(failure);
    result.answer.status = 201;
    return result;
}

service_call sent_call(bool idempotent)
{
    auto call = make_call(idempotent);
    begin(call, start);
    if (!idempotent)
        claim(call, wire::claim_state::granted);
    choose(call);
    return call;
}

TEST(service_call, nothing_is_sent_before_the_claim_is_granted)
{
    auto call = make_call(false);
    const auto actions = begin(call, start);
    EXPECT_EQ(count<claim_action>(actions), 1U);
    EXPECT_EQ(count<choose_server_action>(actions), 0U);
    EXPECT_TRUE(choose(call).empty());
    EXPECT_EQ(
        count<choose_server_action>(claim(call, wire::claim_state::granted)),
        1U);
}

TEST(service_call, the_outcome_is_recorded_before_the_caller_is_answered)
{
    auto call = sent_call(false);
    auto actions = on_call_result(call, result_of(call), start);
    EXPECT_EQ(count<record_action>(actions), 1U);
    EXPECT_EQ(count<answer_action>(actions), 0U);
    actions = on_outcome_ack(call, true);
    EXPECT_EQ(count<answer_action>(actions), 1U);
}

TEST(service_call, answers_to_the_claim)
{
    struct row {
        wire::claim_state state;
        base::failure_code code;
        base::execution expected;
    };
    const row rows[] = {
        {wire::claim_state::digest_mismatch,
         base::failure_code::conflict,
         base::execution::not_run},
        {wire::claim_state::expired,
         base::failure_code::duplicate,
         base::execution::may_have_run},
        {wire::claim_state::full,
         base::failure_code::overloaded,
         base::execution::not_run},
    };
    for (const auto& row : rows) {
        auto call = make_call(false);
        begin(call, start);
        const auto actions = claim(call, row.state);
        ASSERT_EQ(count<call_failed_action>(actions), 1U);
        const auto& reason = std::get<call_failed_action>(actions[0]).reason;
        EXPECT_EQ(reason.code, row.code);
        EXPECT_EQ(reason.state, row.expected);
    }
}

TEST(service_call, verdict_of_each_failure_after_the_call_was_sent)
{
    using event = std::function<call_actions(service_call&)>;
    struct row {
        const char* fault;
        bool idempotent;
        event trigger;
        // Whether a retry is asked for.
        bool may_repeat;
        base::execution expected;
    };
    const auto link_lost = [](bool was_open) {
        return event([was_open](service_call& call) {
            return on_call_link_lost(call, agent, was_open, start);
        });
    };
    const auto failed = [](base::verdict reason) {
        return event([reason](service_call& call) {
            return on_call_result(call, result_of(call, reason), start);
        });
    };
    const auto refusal =
        base::not_run(base::failure_code::overloaded, "queue is full");
    const auto unknown =
        base::may_have_run(base::failure_code::server_failed, "reset");
    const event limit = [](service_call& call) {
        on_call_tick(call, start + 10s);
        return on_call_tick(call, start + 12s);
    };
    const row rows[] = {
        {"link never opened",
         false,
         link_lost(false),
         true,
         base::execution::not_run},
        {"link lost",
         false,
         link_lost(true),
         false,
         base::execution::may_have_run},
        {"link lost, idempotent",
         true,
         link_lost(true),
         true,
         base::execution::may_have_run},
        {"refused", false, failed(refusal), true, base::execution::not_run},
        {"service died",
         false,
         failed(unknown),
         false,
         base::execution::may_have_run},
        {"time limit", false, limit, false, base::execution::may_have_run},
    };
    for (const auto& row : rows) {
        auto call = sent_call(row.idempotent);
        const auto actions = row.trigger(call);
        EXPECT_EQ(count<ask_call_retry_action>(actions) == 1, row.may_repeat)
            << row.fault;
        for (const auto& action : actions)
            if (const auto* ask = std::get_if<ask_call_retry_action>(&action))
                call.failure = ask->reason;
        EXPECT_EQ(call.failure.state, row.expected) << row.fault;
    }
}

TEST(service_call, a_waiting_call_is_cancelled_at_its_time_limit)
{
    auto call = sent_call(false);
    const auto actions = on_call_tick(call, start + 10s);
    EXPECT_EQ(count<cancel_call_action>(actions), 1U);
    // The agent drops the call from its queue and reports `not_run`.
    on_call_result(
        call,
        result_of(
            call,
            base::not_run(base::failure_code::deadline_exceeded, "cancelled")),
        start + 10s);
    on_call_retry_denied(
        call,
        base::not_run(base::failure_code::deadline_exceeded, "cancelled"),
        start + 10s);
    EXPECT_EQ(call.failure.state, base::execution::not_run);
}

// In any order of events, a call of a route that is not idempotent is sent
// again only after `not_run`.
RC_GTEST_PROP(service_call, never_sent_twice_after_may_have_run, ())
{
    auto call = make_call(false);
    bool may_have_run = false;
    auto now = start;
    const auto apply = [&](call_actions actions) {
        for (std::size_t i = 0; i < actions.size(); ++i) {
            if (std::holds_alternative<choose_server_action>(actions[i])) {
                RC_ASSERT(!may_have_run);
                const auto more = choose(call, now);
                actions.insert(actions.end(), more.begin(), more.end());
            } else if (std::holds_alternative<ask_call_retry_action>(
                           actions[i])) {
                const auto more = on_call_retry(call, 0ms, now);
                actions.insert(actions.end(), more.begin(), more.end());
            }
        }
    };
    apply(begin(call, now));
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
    for (const int event : events) {
        now += 100ms;
        const bool sent = call.phase == call_phase::sent;
        switch (event) {
        case 0:
            apply(claim(call, wire::claim_state::granted));
            break;
        case 1:
            may_have_run |= sent;
            apply(on_call_link_lost(call, agent, true, now));
            break;
        case 2:
            apply(on_call_link_lost(call, agent, false, now));
            break;
        case 3:
            may_have_run |= sent;
            apply(on_call_result(
                call,
                result_of(
                    call,
                    base::may_have_run(
                        base::failure_code::server_failed, "reset")),
                now));
            break;
        case 4:
            apply(on_call_result(
                call,
                result_of(
                    call, base::not_run(base::failure_code::overloaded, "")),
                now));
            break;
        case 5:
            apply(on_outcome_ack(call, true));
            break;
        default:
            apply(on_call_tick(call, now));
        }
    }
}

} // namespace
} // namespace oleanderhinge::entry
