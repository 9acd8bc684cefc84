// Guards against answers that mix tokens of several attempts, verdicts that
// state more than is known about the execution, and attempts that end without
// releasing their slots.
#include "oleanderhinge/entry/model_request.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace oleanderhinge::entry
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{100s};

std::vector<wire::stage> make_chain(const std::string& prefix)
{
    std::vector<wire::stage> chain(3);
    for (std::uint32_t i = 0; i < 3; ++i) {
        chain[i].server = base::backend_server_id{prefix + std::to_string(i)};
        chain[i].agent = {"127.0.0.1", std::uint16_t(7000 + i)};
        chain[i].layers = {
            base::layer_index{i * 4}, base::layer_index{i * 4 + 4}};
    }
    return chain;
}

model_request make_request()
{
    model_request_spec spec;
    spec.id = {base::incarnation{1}, 1};
    spec.route.request_timeout_ms = 10000;
    spec.route.first_token_target_ms = 400;
    spec.prompt = "coil 7";
    spec.max_tokens = 8;
    return make_model_request(spec, start);
}

template <class Action>
std::vector<Action> actions_of(const model_actions& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions)
        if (const auto* item = std::get_if<Action>(&action))
            found.push_back(*item);
    return found;
}

template <class Message>
std::vector<std::uint32_t> positions_of(const model_actions& actions)
{
    std::vector<std::uint32_t> found;
    for (const auto& send : actions_of<send_action>(actions))
        if (std::holds_alternative<Message>(send.content))
            found.push_back(send.position);
    return found;
}

wire::attempt_granted granted(const model_request& r, std::uint32_t position)
{
    return {r.spec.id, r.attempt, position, {}};
}

wire::token
make_token(const model_request& r, std::uint32_t index, bool last = false)
{
    wire::token t;
    t.request = r.spec.id;
    t.attempt = r.attempt;
    t.index = base::token_index{index};
    t.text = "t" + std::to_string(index) + " ";
    t.last = last;
    t.finish_reason = last ? "stop" : "";
    return t;
}

// A request in its first attempt that has reached `phase`.
model_request at_phase(request_phase phase)
{
    auto r = make_request();
    begin(r, start);
    if (phase == request_phase::choosing)
        return r;
    on_chosen(r, make_chain("a"), start);
    if (phase == request_phase::opening_head)
        return r;
    on_granted(r, granted(r, 0), start);
    if (phase == request_phase::opening_rest)
        return r;
    on_granted(r, granted(r, 1), start);
    on_granted(r, granted(r, 2), start);
    return r;
}

TEST(model_request, whole_path_opens_starts_delivers_and_closes)
{
    auto r = at_phase(request_phase::opening_head);
    auto actions = on_granted(r, granted(r, 0), start);
    EXPECT_EQ(
        positions_of<wire::open_attempt>(actions),
        (std::vector<std::uint32_t>{1, 2}));
    on_granted(r, granted(r, 2), start);
    actions = on_granted(r, granted(r, 1), start);
    EXPECT_EQ(
        positions_of<wire::start_attempt>(actions),
        std::vector<std::uint32_t>{0});
    EXPECT_EQ(
        actions_of<deliver_action>(on_token(r, make_token(r, 0), start)).size(),
        1U);
    actions = on_token(r, make_token(r, 1, true), start);
    EXPECT_EQ(actions_of<complete_action>(actions).size(), 1U);
    EXPECT_EQ(positions_of<wire::close_attempt>(actions).size(), 3U);
}

// Each failure closes every stage that was opened. The verdict is `not_run`
// before the start of the attempt and `may_have_run` after it.
TEST(model_request, each_failure_in_each_phase)
{
    using event = std::function<model_actions(model_request&)>;
    struct row {
        const char* fault;
        request_phase phase;
        event trigger;
        std::size_t closed;
        base::execution expected;
    };
    const auto lost = [](std::uint16_t port) {
        return event([port](model_request& r) {
            return on_link_lost(r, {"127.0.0.1", port}, start);
        });
    };
    const event refused = [](model_request& r) {
        return on_refused(
            r,
            {r.spec.id,
             r.attempt,
             0,
             base::not_run(base::failure_code::overloaded, "full"),
             {}},
            start);
    };
    const event failed = [](model_request& r) {
        return on_attempt_failed(
            r,
            {r.spec.id,
             r.attempt,
             1,
             base::may_have_run(base::failure_code::server_failed, "died")},
            start);
    };
    const event gap = [](model_request& r) {
        return on_token(r, make_token(r, 3), start);
    };
    const event stall = [](model_request& r) { return on_tick(r, start + 6s); };
    const row rows[] = {
        {"head refuses",
         request_phase::opening_head,
         refused,
         1,
         base::execution::not_run},
        {"link to the head lost in the queue",
         request_phase::opening_head,
         lost(7000),
         1,
         base::execution::not_run},
        {"link to a middle stage lost while opening",
         request_phase::opening_rest,
         lost(7001),
         3,
         base::execution::not_run},
        {"a stage does not answer the open",
         request_phase::opening_rest,
         stall,
         3,
         base::execution::not_run},
        {"link to a middle stage lost after the start",
         request_phase::streaming,
         lost(7001),
         3,
         base::execution::may_have_run},
        {"a stage reports a failure",
         request_phase::streaming,
         failed,
         3,
         base::execution::may_have_run},
        {"a token is missing",
         request_phase::streaming,
         gap,
         3,
         base::execution::may_have_run},
        {"no progress",
         request_phase::streaming,
         stall,
         3,
         base::execution::may_have_run},
    };
    for (const auto& row : rows) {
        auto r = at_phase(row.phase);
        auto actions = row.trigger(r);
        EXPECT_EQ(positions_of<wire::close_attempt>(actions).size(), row.closed)
            << row.fault;
        const auto asked = actions_of<ask_retry_action>(actions);
        ASSERT_EQ(asked.size(), 1U) << row.fault;
        actions = on_retry_denied(r, asked[0].reason);
        const auto ends = actions_of<fail_action>(actions);
        ASSERT_EQ(ends.size(), 1U) << row.fault;
        EXPECT_EQ(ends[0].reason.state, row.expected) << row.fault;
    }
}

// Guards against an answer that ends in its middle since the only server left
// for a stage refused an earlier attempt.
TEST(model_request, a_refusal_excludes_no_server_for_good_once_tokens_are_out)
{
    const base::backend_server_id refusing{"a1"};
    const base::backend_server_id lost{"a2"};
    for (const bool delivered : {false, true}) {
        auto r = at_phase(request_phase::opening_rest);
        on_refused(r, {r.spec.id, r.attempt, 1, {}, {}}, start);
        on_retry(r, 0ms, start);
        on_chosen(r, make_chain("a"), start);
        for (std::uint32_t i = 0; i < 3; ++i)
            on_granted(r, granted(r, i), start);
        if (delivered)
            on_token(r, make_token(r, 0), start);
        on_link_lost(r, {"127.0.0.1", 7002}, start);
        const auto excluded = exclusions_of(r);
        EXPECT_TRUE(excluded.avoid.contains(lost)) << delivered;
        EXPECT_EQ(excluded.avoid.contains(refusing), !delivered);
        EXPECT_EQ(excluded.last_resort.contains(refusing), delivered);
    }
}

TEST(model_request, a_retry_resumes_from_the_delivered_tokens)
{
    auto r = at_phase(request_phase::streaming);
    on_token(r, make_token(r, 0), start);
    on_token(r, make_token(r, 1), start);
    const auto old = make_token(r, 2);
    on_link_lost(r, {"127.0.0.1", 7002}, start);
    EXPECT_FALSE(
        actions_of<choose_chain_action>(on_retry(r, 0ms, start)).empty());
    EXPECT_TRUE(r.avoid.contains(base::backend_server_id{"a2"}));
    const auto actions = on_chosen(r, make_chain("b"), start);
    const auto sends = actions_of<send_action>(actions);
    ASSERT_EQ(sends.size(), 1U);
    const auto& open = std::get<wire::open_attempt>(sends[0].content);
    EXPECT_EQ(open.attempt, base::attempt_number{2});
    EXPECT_EQ(open.delivered, (std::vector<std::string>{"t0 ", "t1 "}));
    for (std::uint32_t i = 0; i < 3; ++i)
        on_granted(r, granted(r, i), start);
    // A late token of the abandoned attempt is ignored.
    EXPECT_TRUE(on_token(r, old, start).empty());
    EXPECT_EQ(
        actions_of<deliver_action>(on_token(r, make_token(r, 2), start)).size(),
        1U);
    EXPECT_EQ(r.answer.delivered.size(), 3U);
}

TEST(model_request, late_answers_of_an_earlier_attempt_change_nothing)
{
    auto r = at_phase(request_phase::opening_rest);
    const auto old = granted(r, 1);
    on_link_lost(r, {"127.0.0.1", 7002}, start);
    on_retry(r, 0ms, start);
    on_chosen(r, make_chain("b"), start);
    EXPECT_TRUE(on_granted(r, old, start).empty());
    EXPECT_TRUE(
        on_refused(r, {r.spec.id, old.attempt, 0, {}, {}}, start).empty());
    EXPECT_TRUE(
        on_attempt_failed(r, {r.spec.id, old.attempt, 0, {}}, start).empty());
    EXPECT_EQ(r.phase, request_phase::opening_head);
}

TEST(model_request, the_time_limit_ends_every_phase)
{
    for (const auto phase :
         {request_phase::choosing,
          request_phase::opening_head,
          request_phase::opening_rest,
          request_phase::streaming}) {
        auto r = at_phase(phase);
        const auto ends = actions_of<fail_action>(on_tick(r, start + 10s));
        ASSERT_EQ(ends.size(), 1U);
        EXPECT_EQ(ends[0].reason.code, base::failure_code::deadline_exceeded);
        EXPECT_TRUE(on_tick(r, start + 20s).empty());
    }
}

} // namespace
} // namespace oleanderhinge::entry
