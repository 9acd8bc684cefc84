#include "oleanderhinge/entry/model_request.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::entry
{

namespace
{

std::uint32_t to_ms(base::duration value)
{
    using std::chrono::milliseconds;
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return std::uint32_t(std::max<std::int64_t>(0, count));
}

base::time_point deadline(const model_request& request)
{
    return request.accepted +
           std::chrono::milliseconds(request.spec.route.request_timeout_ms);
}

base::duration
first_token_time_left(const model_request& request, base::time_point now)
{
    const auto target = request.spec.route.first_token_target_ms;
    if (target == 0)
        return deadline(request) - now;
    return request.accepted + std::chrono::milliseconds(target) - now;
}

bool is_current(const model_request& request, base::attempt_number attempt)
{
    return request.phase != request_phase::finished &&
           request.phase != request_phase::waiting_for_retry &&
           request.phase != request_phase::choosing &&
           request.attempt == attempt;
}

send_action open_stage(
    const model_request& request, std::uint32_t position, base::time_point now)
{
    const auto& spec = request.spec;
    wire::open_attempt open;
    open.request = spec.id;
    open.attempt = request.attempt;
    open.route = spec.route.id;
    open.model = spec.route.model;
    open.version = spec.route.version;
    open.adapter = spec.route.adapter;
    open.customer = spec.customer;
    open.customer_weight = spec.customer_weight;
    open.work_rank = spec.route.work_rank;
    open.chain = request.chain;
    open.position = position;
    open.prompt = spec.prompt;
    open.delivered = request.answer.delivered;
    open.max_tokens = spec.max_tokens;
    // The caller of a resumed answer already has its first token, so only the
    // time limit of the whole request applies.
    open.first_token_budget_ms = to_ms(
        request.answer.delivered.empty() ? first_token_time_left(request, now)
                                         : time_left(request, now));
    open.budget_ms = to_ms(time_left(request, now));
    open.config = spec.config;
    return {position, std::move(open)};
}

// Number of stages, from the head on, to which an open_attempt was sent.
std::uint32_t opened_positions(const model_request& request)
{
    switch (request.phase) {
    case request_phase::opening_head:
        return 1;
    case request_phase::opening_rest:
    case request_phase::streaming:
        return std::uint32_t(request.chain.size());
    default:
        return 0;
    }
}

void close_stages(model_request& request, model_actions& actions)
{
    const auto generated =
        request.answer.delivered.size() - request.resumed_from;
    for (std::uint32_t i = 0; i < opened_positions(request); ++i) {
        wire::close_attempt close;
        close.request = request.spec.id;
        close.attempt = request.attempt;
        close.generated = base::token_count{generated};
        actions.push_back(send_action{i, close});
    }
    request.granted.clear();
}

void fail(model_request& request, base::verdict reason, model_actions& actions)
{
    close_stages(request, actions);
    request.phase = request_phase::finished;
    reason.state = execution_so_far(request);
    actions.push_back(fail_action{std::move(reason)});
}

// Closes the current attempt and asks the driver for a retry.
void abandon_attempt(
    model_request& request, base::verdict reason, model_actions& actions)
{
    close_stages(request, actions);
    request.phase = request_phase::waiting_for_retry;
    request.retry_at = base::time_point::max();
    actions.push_back(ask_retry_action{std::move(reason)});
}

void report_stage_failure(
    model_request& request,
    const base::backend_server_id& server,
    model_actions& actions)
{
    request.avoid.insert(server);
    actions.emplace_back(report_stage_action{server, false});
}

void report_chain_success(const model_request& request, model_actions& actions)
{
    for (const auto& stage : request.chain)
        actions.push_back(report_stage_action{stage.server, true});
}

} // namespace

model_request make_model_request(model_request_spec spec, base::time_point now)
{
    model_request request;
    request.spec = std::move(spec);
    request.accepted = now;
    request.last_progress = now;
    return request;
}

model_actions begin(model_request& request, base::time_point now)
{
    request.phase = request_phase::choosing;
    request.attempt = request.attempt.next();
    request.resumed_from = request.answer.delivered.size();
    request.last_progress = now;
    chain::begin_attempt(request.answer, request.attempt);
    return {choose_chain_action{}};
}

model_actions on_chosen(
    model_request& request,
    std::vector<wire::stage> chain,
    base::time_point now)
{
    if (request.phase != request_phase::choosing)
        return {};
    request.chain = std::move(chain);
    request.phase = request_phase::opening_head;
    request.last_progress = now;
    return {open_stage(request, 0, now)};
}

model_actions on_no_chain(
    model_request& request, const base::verdict& reason, base::time_point)
{
    model_actions actions;
    if (request.phase == request_phase::choosing)
        fail(request, reason, actions);
    return actions;
}

model_actions on_granted(
    model_request& request,
    const wire::attempt_granted& message,
    base::time_point now)
{
    if (!is_current(request, message.attempt) ||
        message.position >= request.chain.size() ||
        request.phase == request_phase::streaming)
        return {};
    request.granted.insert(message.position);
    request.last_progress = now;
    model_actions actions;
    const auto stages = std::uint32_t(request.chain.size());
    if (request.phase == request_phase::opening_head) {
        request.phase = request_phase::opening_rest;
        for (std::uint32_t i = 1; i < stages; ++i)
            actions.push_back(open_stage(request, i, now));
    }
    if (request.granted.size() == stages) {
        request.phase = request_phase::streaming;
        request.started = true;
        actions.push_back(send_action{
            0, wire::start_attempt{request.spec.id, request.attempt}});
    }
    return actions;
}

model_actions on_refused(
    model_request& request,
    const wire::attempt_refused& message,
    base::time_point)
{
    model_actions actions;
    if (!is_current(request, message.attempt) ||
        message.position >= request.chain.size())
        return actions;
    // A refusal does not count towards ejection, since the server did not
    // fail.
    request.refused.insert(request.chain[message.position].server);
    abandon_attempt(request, message.reason, actions);
    return actions;
}

model_actions on_token(
    model_request& request, const wire::token& message, base::time_point now)
{
    model_actions actions;
    if (request.phase != request_phase::streaming)
        return actions;
    const auto decision = chain::accept_token(request.answer, message);
    if (decision == chain::token_decision::ignore)
        return actions;
    if (decision == chain::token_decision::gap) {
        abandon_attempt(
            request,
            base::may_have_run(
                base::failure_code::server_failed, "a token was lost"),
            actions);
        return actions;
    }
    request.last_progress = now;
    actions.push_back(deliver_action{message.index, message.text});
    if (decision == chain::token_decision::complete) {
        close_stages(request, actions);
        report_chain_success(request, actions);
        request.phase = request_phase::finished;
        actions.push_back(complete_action{message.finish_reason});
    }
    return actions;
}

model_actions on_attempt_failed(
    model_request& request,
    const wire::attempt_failed& message,
    base::time_point)
{
    model_actions actions;
    if (!is_current(request, message.attempt) ||
        message.position >= request.chain.size())
        return actions;
    report_stage_failure(
        request, request.chain[message.position].server, actions);
    abandon_attempt(request, message.reason, actions);
    return actions;
}

model_actions on_link_lost(
    model_request& request, const wire::endpoint& agent, base::time_point)
{
    model_actions actions;
    const auto opened = opened_positions(request);
    for (std::uint32_t i = 0; i < opened; ++i) {
        if (request.chain[i].agent != agent)
            continue;
        report_stage_failure(request, request.chain[i].server, actions);
        auto reason = base::not_run(
            base::failure_code::link_lost,
            "link to " + request.chain[i].server.value() + " was lost");
        reason.state = execution_so_far(request);
        abandon_attempt(request, std::move(reason), actions);
        break;
    }
    return actions;
}

model_actions
on_retry(model_request& request, base::duration wait, base::time_point now)
{
    if (request.phase != request_phase::waiting_for_retry)
        return {};
    if (wait <= base::duration::zero())
        return begin(request, now);
    request.retry_at = now + wait;
    return {};
}

model_actions
on_retry_denied(model_request& request, const base::verdict& reason)
{
    model_actions actions;
    if (request.phase == request_phase::waiting_for_retry)
        fail(request, reason, actions);
    return actions;
}

model_actions on_caller_gone(model_request& request)
{
    model_actions actions;
    if (request.phase == request_phase::finished)
        return actions;
    close_stages(request, actions);
    request.phase = request_phase::finished;
    return actions;
}

model_actions on_tick(model_request& request, base::time_point now)
{
    model_actions actions;
    if (request.phase == request_phase::finished)
        return actions;
    if (time_left(request, now) == base::duration::zero()) {
        fail(
            request,
            base::not_run(
                base::failure_code::deadline_exceeded,
                "time limit of the route passed"),
            actions);
        return actions;
    }
    if (request.phase == request_phase::waiting_for_retry &&
        now >= request.retry_at)
        return begin(request, now);
    const bool no_token_yet =
        request.answer.delivered.size() == request.resumed_from;
    const auto limit = no_token_yet ? request.spec.first_token_stall
                                    : request.spec.token_stall;
    const bool stalled = request.phase == request_phase::streaming &&
                         now - request.last_progress >= limit;
    // Only the head may queue the request until the deadline. The other stages
    // answer at once, so a missing answer is a fault.
    const bool unanswered =
        request.phase == request_phase::opening_rest &&
        now - request.last_progress >= request.spec.token_stall;
    if (!stalled && !unanswered)
        return actions;
    for (std::uint32_t i = 0; i < request.chain.size(); ++i) {
        if (unanswered && !request.granted.contains(i))
            report_stage_failure(request, request.chain[i].server, actions);
        // Which stage of a started chain stalled is unknown, so later attempts
        // exclude all of its servers and none is reported as failed.
        if (stalled)
            request.avoid.insert(request.chain[i].server);
    }
    auto reason = base::may_have_run(
        base::failure_code::server_failed, "the chain made no progress");
    reason.state = execution_so_far(request);
    abandon_attempt(request, std::move(reason), actions);
    return actions;
}

chain_exclusions exclusions_of(const model_request& request)
{
    if (!request.answer.delivered.empty())
        return {request.avoid, request.refused};
    auto excluded = request.avoid;
    excluded.insert(request.refused.begin(), request.refused.end());
    return {std::move(excluded), {}};
}

base::execution execution_so_far(const model_request& request)
{
    if (!request.answer.delivered.empty())
        return base::execution::ran;
    return request.started ? base::execution::may_have_run
                           : base::execution::not_run;
}

base::duration time_left(const model_request& request, base::time_point now)
{
    return std::max(base::duration::zero(), deadline(request) - now);
}

} // namespace oleanderhinge::entry
