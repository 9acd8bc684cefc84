#include "oleanderhinge/agent/backend.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <sstream>
#include <string_view>

namespace oleanderhinge::agent
{

namespace json = boost::json;

namespace
{

std::string to_text(const base::request_id& id)
{
    std::ostringstream out;
    out << id;
    return out.str();
}

net::http_call
json_call(std::string method, std::string target, const json::object& body)
{
    return {
        std::move(method),
        std::move(target),
        {{"Content-Type", "application/json"}},
        json::serialize(body)};
}

backend_info parse_info(const json::object& o)
{
    backend_info info;
    info.model = base::model_id(std::string(o.at("model").as_string()));
    info.version = o.at("version").as_string();
    for (const auto& a : o.at("adapters").as_array())
        info.adapters.emplace_back(a.as_string());
    const auto number = [&](const char* name) {
        return o.at(name).to_number<std::uint32_t>();
    };
    info.layers = {
        base::layer_index(number("first_layer")),
        base::layer_index(number("end_layer"))};
    info.layer_count = number("layer_count");
    info.accelerator = o.at("accelerator").as_string();
    info.speed_percent = number("speed_percent");
    if (o.contains("batch"))
        info.batch_size = number("batch");
    if (const auto* last = o.if_contains("fencing_number"))
        info.last_order =
            base::fencing_number(last->to_number<std::uint64_t>());
    return info;
}

bool is_refusal(std::uint32_t status)
{
    return status >= 400 && status < 500;
}

// Its code is `none` if the engine answered the step or refused it.
base::verdict failure_without_answer(const net::http_outcome& outcome)
{
    using base::failure_code;
    const auto status = outcome.answer.status;
    if (outcome.failure == net::http_failure::not_sent)
        return base::not_run(
            failure_code::server_failed,
            "the engine cannot be reached: " + outcome.detail);
    if (outcome.failure != net::http_failure::none)
        return base::may_have_run(
            failure_code::server_failed,
            "no answer from the engine: " + outcome.detail);
    if (status != 200 && !is_refusal(status))
        return base::may_have_run(
            failure_code::server_failed,
            "the engine failed with " + std::to_string(status));
    return {};
}

bool is_text(const json::value& value, std::string_view expected)
{
    const auto* text = value.if_string();
    return text != nullptr && *text == expected;
}

// Numbers with a fraction or an exponent are none.
bool is_number(const json::value& value, std::uint32_t expected)
{
    // The parser uses std::uint64_t only for what std::int64_t cannot hold.
    const auto* number = value.if_int64();
    return number != nullptr && *number == expected;
}

// Whether the answer states that it is that to another step: a late copy of an
// earlier one may come on a kept connection.
bool names_another_step(const chain::run_step& step, const json::value& answer)
{
    const auto* fields = answer.if_object();
    if (fields == nullptr)
        return false;
    const auto* request = fields->if_contains("request");
    if (request != nullptr && !is_text(*request, to_text(step.request)))
        return true;
    const auto* attempt = fields->if_contains("attempt");
    if (attempt != nullptr && !is_number(*attempt, step.attempt.value()))
        return true;
    const auto* token = fields->if_contains("token");
    return token != nullptr && !is_number(*token, step.token.value());
}

// Reads the answer to `run_request`; throws if it does not have the expected
// form.
void parse_step(const json::object& o, chain::step_finished& event)
{
    event.activation = o.at("activation").as_string();
    if (const auto* text = o.if_contains("text"))
        event.text = text->as_string();
    if (const auto* last = o.if_contains("last"))
        event.last = last->as_bool();
    if (const auto* reason = o.if_contains("finish_reason"))
        event.finish_reason = reason->as_string();
}

} // namespace

std::string
engine_key(const base::request_id& request, base::attempt_number attempt)
{
    return to_text(request) + "." + std::to_string(attempt.value());
}

net::http_call info_request()
{
    return {"GET", "/v1/info", {}, {}};
}

net::http_call run_request(const chain::run_step& step)
{
    json::object body{
        {"request", to_text(step.request)},
        {"attempt", step.attempt.value()},
        {"token", step.token.value()},
        {"next_layer", step.next_layer.value()},
        {"activation", step.activation},
        {"prefill", step.prefill},
        {"adapter", step.adapter},
        {"priority", base::to_string(step.work_rank)}};
    if (step.prefill) {
        body["prompt"] = step.prompt;
        body["delivered"] = json::value_from(step.delivered);
        body["max_tokens"] = step.max_tokens;
    }
    return json_call("POST", "/v1/layers/run", body);
}

net::http_call order_request(const wire::server_order& order)
{
    const json::object body{
        {"fencing_number", order.number.value()},
        {"draining", order.draining},
        {"model", order.model.value()},
        {"version", order.version},
        {"adapter", order.adapter},
        {"first_layer", order.layers.first.value()},
        {"end_layer", order.layers.end.value()}};
    return json_call("POST", "/v1/orders", body);
}

net::http_call free_state_request(const chain::free_engine_state& what)
{
    return {
        "DELETE",
        "/v1/requests/" + engine_key(what.request, what.attempt),
        {},
        {}};
}

base::result<backend_info> to_backend_info(const net::http_outcome& outcome)
{
    if (outcome.failure != net::http_failure::none)
        return base::fail(
            base::error_code::unavailable,
            "no answer to GET /v1/info: " + outcome.detail);
    if (outcome.answer.status != 200)
        return base::fail(
            base::error_code::unavailable,
            "GET /v1/info answered " + std::to_string(outcome.answer.status));
    try {
        auto info = parse_info(json::parse(outcome.answer.body).as_object());
        if (info.layers.first >= info.layers.end ||
            info.layers.end.value() > info.layer_count)
            return base::fail(
                base::error_code::malformed,
                "GET /v1/info states an impossible range of layers");
        return info;
    } catch (const std::exception& e) {
        return base::fail(
            base::error_code::malformed,
            std::string("GET /v1/info is malformed: ") + e.what());
    }
}

chain::step_finished
to_step_finished(const chain::run_step& step, const net::http_outcome& outcome)
{
    using base::failure_code;
    chain::step_finished event;
    event.request = step.request;
    event.attempt = step.attempt;
    event.token = step.token;
    const auto status = outcome.answer.status;
    event.failure = failure_without_answer(outcome);
    if (event.failure.code != failure_code::none)
        return event;
    // Null if it cannot be parsed.
    boost::system::error_code malformed;
    const auto answer = json::parse(outcome.answer.body, malformed);
    if (names_another_step(step, answer))
        event.failure = base::may_have_run(
            failure_code::server_failed, "the engine answered another step");
    else if (is_refusal(status))
        event.failure = base::not_run(
            failure_code::server_failed,
            "the engine refused the step with " + std::to_string(status));
    if (event.failure.code != failure_code::none)
        return event;
    try {
        parse_step(answer.as_object(), event);
    } catch (const std::exception& e) {
        event = {step.request, step.attempt, step.token, {}, {}, {}, {}, {}};
        event.failure = base::may_have_run(
            failure_code::server_failed,
            std::string("malformed answer from the engine: ") + e.what());
    }
    return event;
}

base::verdict to_call_verdict(const net::http_outcome& outcome)
{
    switch (outcome.failure) {
    case net::http_failure::none:
        return {};
    case net::http_failure::not_sent:
        return base::not_run(
            base::failure_code::server_failed,
            "the service cannot be reached: " + outcome.detail);
    case net::http_failure::unknown:
        break;
    }
    return base::may_have_run(
        base::failure_code::server_failed,
        "no answer from the service: " + outcome.detail);
}

} // namespace oleanderhinge::agent
