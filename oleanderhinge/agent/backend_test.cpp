// Guards against accepting a malformed, incomplete or failed answer of an
// engine as a result, and against wrong verdicts.
#include "oleanderhinge/agent/backend.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::agent
{
namespace
{

net::http_outcome answered(std::uint32_t status, const std::string& body)
{
    return {net::http_failure::none, "", {status, {}, body}};
}

constexpr auto valid_info =
    R"({"model":"m","version":"1","adapters":["a"],"first_layer":0,)"
    R"("end_layer":8,"layer_count":24,"accelerator":"a100",)"
    R"("speed_percent":100,"batch":4,"fencing_number":7})";

// The error code, or empty if the answer was accepted.
std::optional<base::error_code> info_failure(const net::http_outcome& outcome)
{
    return base::handle(
        [&]() -> base::result<std::optional<base::error_code>> {
            BOOST_LEAF_CHECK(to_backend_info(outcome));
            return std::optional<base::error_code>();
        },
        [](const base::error& e) { return std::optional(e.code); });
}

std::string
replace_first(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(backend, malformed_info_is_refused)
{
    using base::error_code;
    EXPECT_FALSE(info_failure(answered(200, valid_info)));
    const std::pair<const char*, net::http_outcome> rows[] = {
        {"empty", answered(200, "")},
        {"not JSON", answered(200, "garbage")},
        {"not an object", answered(200, "[1]")},
        {"missing key", answered(200, R"({"model":"m"})")},
        {"wrong type", answered(200, replace_first(valid_info, "\"m\"", "5"))},
        {"negative layer",
         answered(
             200,
             replace_first(
                 valid_info, "\"first_layer\":0", "\"first_layer\":-1"))},
        {"empty range",
         answered(
             200,
             replace_first(
                 valid_info, "\"first_layer\":0", "\"first_layer\":8"))},
        {"range outside the model",
         answered(
             200,
             replace_first(valid_info, "\"end_layer\":8", "\"end_layer\":25"))},
    };
    for (const auto& [name, outcome] : rows)
        EXPECT_EQ(info_failure(outcome), error_code::malformed) << name;
    EXPECT_EQ(info_failure(answered(503, valid_info)), error_code::unavailable);
    EXPECT_EQ(
        info_failure({net::http_failure::unknown, "timeout", {}}),
        error_code::unavailable);
}

// Request 7-1, attempt 2, token 3.
chain::run_step numbered_step()
{
    chain::run_step step;
    step.request = {base::incarnation{7}, 1};
    step.attempt = base::attempt_number{2};
    step.token = base::token_index{3};
    return step;
}

constexpr auto valid_step =
    R"({"request":"7-1","attempt":2,"token":3,"activation":"","text":"w",)"
    R"("last":true,"finish_reason":"stop"})";

TEST(backend, verdict_of_a_step)
{
    const auto step = numbered_step();
    const std::string refusal =
        R"({"request":"7-1","attempt":2,"token":3,"error":"full"})";
    struct row {
        const char* name;
        net::http_outcome outcome;
        base::execution state;
    };
    using base::execution;
    const row rows[] = {
        {"not reached",
         {net::http_failure::not_sent, "", {}},
         execution::not_run},
        {"no answer",
         {net::http_failure::unknown, "", {}},
         execution::may_have_run},
        {"refused", answered(409, refusal), execution::not_run},
        {"refused without numbers", answered(409, "{}"), execution::not_run},
        {"failed", answered(500, "{}"), execution::may_have_run},
        {"odd status", answered(302, "{}"), execution::may_have_run},
        {"garbage", answered(200, "\x01\x02"), execution::may_have_run},
        {"no activation", answered(200, refusal), execution::may_have_run},
        {"wrong type",
         answered(200, replace_first(valid_step, "true", "\"yes\"")),
         execution::may_have_run},
    };
    for (const auto& r : rows) {
        const auto event = to_step_finished(step, r.outcome);
        EXPECT_EQ(event.failure.code, base::failure_code::server_failed)
            << r.name;
        EXPECT_EQ(event.failure.state, r.state) << r.name;
        EXPECT_EQ(event.token, step.token) << r.name;
        // No part of a bad answer is used.
        EXPECT_EQ(event.activation, "") << r.name;
    }
    const auto good = to_step_finished(step, answered(200, valid_step));
    EXPECT_EQ(good.failure.code, base::failure_code::none);
    EXPECT_EQ(good.text, "w");
    EXPECT_TRUE(good.last);
}

// Guards against a late copy of an earlier answer on a kept connection that is
// taken for the answer to a step.
TEST(backend, the_answer_to_another_step_is_none)
{
    const std::pair<const char*, const char*> rows[] = {
        {"\"7-1\"", "\"7-2\""},
        {"\"attempt\":2", "\"attempt\":1"},
        {"\"token\":3", "\"token\":2"},
        {"\"token\":3", "\"token\":\"3\""}};
    for (const auto& [from, to] : rows)
        for (const auto status : {200U, 409U}) {
            const auto event = to_step_finished(
                numbered_step(),
                answered(status, replace_first(valid_step, from, to)));
            EXPECT_EQ(event.failure.code, base::failure_code::server_failed)
                << to;
            EXPECT_EQ(event.failure.state, base::execution::may_have_run) << to;
            EXPECT_EQ(event.text, "") << to;
        }
}

TEST(backend, verdict_of_a_call)
{
    EXPECT_EQ(
        to_call_verdict({net::http_failure::not_sent, "", {}}).state,
        base::execution::not_run);
    EXPECT_EQ(
        to_call_verdict({net::http_failure::unknown, "", {}}).state,
        base::execution::may_have_run);
    // An error status of the service is a valid answer.
    EXPECT_EQ(
        to_call_verdict(answered(500, "")).code, base::failure_code::none);
}

} // namespace
} // namespace oleanderhinge::agent
