#include "oleanderhinge/entry/service_call.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::entry
{

namespace
{

// At the time limit a sent call is cancelled. Its result is awaited for this
// long, so that a call that is still in the agent's queue ends as `not_run`.
constexpr base::duration cancel_grace = std::chrono::milliseconds(1000);

void enter(service_call& call, call_phase phase, base::time_point now)
{
    call.phase = phase;
    call.phase_since = now;
    call.repeat_at = now + call.spec.control_retry;
}

void choose(service_call& call, base::time_point now, call_actions& actions)
{
    enter(call, call_phase::choosing, now);
    call.attempt = call.attempt.next();
    actions.push_back(choose_server_action{});
}

void respond(service_call& call, call_actions& actions)
{
    call.phase = call_phase::finished;
    if (call.failure.code == base::failure_code::none)
        actions.push_back(answer_action{call.answer, false});
    else
        actions.push_back(call_failed_action{call.failure});
}

// Ends the call with `failure` or `answer` of `call`; a claimed call records
// its outcome first.
void settle(service_call& call, base::time_point now, call_actions& actions)
{
    if (!call.claimed) {
        respond(call, actions);
        return;
    }
    enter(call, call_phase::recording, now);
    actions.push_back(record_action{});
}

void settle_failure(
    service_call& call,
    base::verdict reason,
    base::time_point now,
    call_actions& actions)
{
    call.failure = std::move(reason);
    call.answer = {};
    settle(call, now, actions);
}

void fail_unclaimed(
    service_call& call, base::verdict reason, call_actions& actions)
{
    call.phase = call_phase::finished;
    actions.push_back(call_failed_action{std::move(reason)});
}

// Asks for a retry if the attempt did not run or the route is idempotent; else
// the call fails.
void attempt_failed(
    service_call& call,
    base::verdict reason,
    base::time_point now,
    call_actions& actions)
{
    const bool repeatable =
        reason.state == base::execution::not_run || call.spec.route.idempotent;
    if (!repeatable)
        return settle_failure(call, std::move(reason), now, actions);
    enter(call, call_phase::waiting_for_retry, now);
    call.repeat_at = base::time_point::max();
    actions.push_back(ask_call_retry_action{std::move(reason)});
}

} // namespace

service_call make_service_call(service_call_spec spec, base::time_point now)
{
    service_call call;
    call.spec = std::move(spec);
    call.accepted = now;
    call.phase_since = now;
    return call;
}

call_actions begin(service_call& call, base::time_point now)
{
    call_actions actions;
    if (needs_claim(call)) {
        enter(call, call_phase::claiming, now);
        call.claimed = true;
        actions.push_back(claim_action{});
    } else {
        choose(call, now, actions);
    }
    return actions;
}

call_actions on_claim_reply(
    service_call& call, const wire::claim_reply& reply, base::time_point now)
{
    call_actions actions;
    if (call.phase != call_phase::claiming &&
        call.phase != call_phase::waiting_for_outcome)
        return actions;
    switch (reply.state) {
    case wire::claim_state::granted:
        call.claimed = true;
        choose(call, now, actions);
        break;
    case wire::claim_state::in_progress:
        call.claimed = false;
        if (call.phase == call_phase::claiming)
            enter(call, call_phase::waiting_for_outcome, now);
        break;
    case wire::claim_state::finished:
        call.phase = call_phase::finished;
        if (reply.failure.code == base::failure_code::none)
            actions.push_back(answer_action{reply.answer, true});
        else
            actions.push_back(call_failed_action{reply.failure});
        break;
    case wire::claim_state::digest_mismatch:
        fail_unclaimed(
            call,
            base::not_run(
                base::failure_code::conflict,
                "Idempotency-Key was used for a different request"),
            actions);
        break;
    case wire::claim_state::expired:
        fail_unclaimed(
            call,
            base::may_have_run(
                base::failure_code::duplicate,
                "Idempotency-Key is older than the retention of claims"),
            actions);
        break;
    case wire::claim_state::full:
        fail_unclaimed(
            call,
            base::not_run(
                base::failure_code::overloaded,
                "the table of claims is full",
                std::chrono::milliseconds(5000)),
            actions);
        break;
    case wire::claim_state::unavailable:
        // The claim is sent again at `repeat_at`.
        break;
    }
    return actions;
}

call_actions on_server_chosen(
    service_call& call,
    base::backend_server_id server,
    wire::endpoint agent,
    base::incarnation agent_incarnation,
    base::time_point now)
{
    if (call.phase != call_phase::choosing)
        return {};
    call.server = std::move(server);
    call.agent = std::move(agent);
    enter(call, call_phase::sent, now);
    wire::call content;
    content.request = call.spec.id;
    content.attempt = call.attempt;
    content.route = call.spec.route.id;
    content.customer = call.spec.customer;
    content.customer_weight = call.spec.customer_weight;
    content.work_rank = call.spec.route.work_rank;
    content.server = call.server;
    content.agent_incarnation = agent_incarnation;
    content.method = call.spec.method;
    content.target = call.spec.target;
    content.headers = call.spec.headers;
    content.body = call.spec.body;
    content.budget_ms =
        std::uint32_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                          time_left(call, now))
                          .count());
    return {send_call_action{std::move(content)}};
}

call_actions on_no_server(
    service_call& call, const base::verdict& reason, base::time_point now)
{
    call_actions actions;
    if (call.phase == call_phase::choosing)
        settle_failure(call, reason, now, actions);
    return actions;
}

call_actions on_call_result(
    service_call& call, const wire::call_result& result, base::time_point now)
{
    call_actions actions;
    if (call.phase != call_phase::sent || result.attempt != call.attempt)
        return actions;
    if (result.failure.code == base::failure_code::none) {
        actions.push_back(report_server_action{call.server, true});
        call.failure = {};
        call.answer = result.answer;
        settle(call, now, actions);
        return actions;
    }
    // A refusal does not count towards ejection, since the server did not fail.
    if (result.failure.state != base::execution::not_run)
        actions.push_back(report_server_action{call.server, false});
    call.avoid.insert(call.server);
    attempt_failed(call, result.failure, now, actions);
    return actions;
}

call_actions on_call_link_lost(
    service_call& call,
    const wire::endpoint& agent,
    bool was_open,
    base::time_point now)
{
    call_actions actions;
    if (call.phase != call_phase::sent || agent != call.agent)
        return actions;
    actions.push_back(report_server_action{call.server, false});
    call.avoid.insert(call.server);
    auto reason = base::not_run(
        base::failure_code::link_lost,
        "link to " + call.server.value() + " was lost");
    if (was_open)
        reason.state = base::execution::may_have_run;
    attempt_failed(call, std::move(reason), now, actions);
    return actions;
}

call_actions
on_call_retry(service_call& call, base::duration wait, base::time_point now)
{
    call_actions actions;
    if (call.phase != call_phase::waiting_for_retry)
        return actions;
    if (wait <= base::duration::zero())
        choose(call, now, actions);
    else
        call.repeat_at = now + wait;
    return actions;
}

call_actions on_call_retry_denied(
    service_call& call, const base::verdict& reason, base::time_point now)
{
    call_actions actions;
    if (call.phase == call_phase::waiting_for_retry)
        settle_failure(call, reason, now, actions);
    return actions;
}

call_actions on_outcome_ack(service_call& call, bool stored)
{
    call_actions actions;
    if (call.phase == call_phase::recording && stored)
        respond(call, actions);
    return actions;
}

namespace
{

void claim_tick(service_call& call, base::time_point now, call_actions& actions)
{
    const bool waiting = call.phase == call_phase::waiting_for_outcome;
    const bool over = waiting ? time_left(call, now) == base::duration::zero()
                              : now - call.phase_since >= call.spec.claim_limit;
    if (over && waiting)
        return fail_unclaimed(
            call,
            base::may_have_run(
                base::failure_code::duplicate,
                "an earlier request with this Idempotency-Key has no outcome"),
            actions);
    if (over) {
        // The claim may have been granted and its reply lost. Recording
        // `not_run` releases it.
        settle_failure(
            call,
            base::not_run(
                base::failure_code::no_quorum,
                "the claim could not be stored",
                std::chrono::milliseconds(2000)),
            now,
            actions);
        return;
    }
    if (now >= call.repeat_at) {
        call.repeat_at = now + call.spec.control_retry;
        actions.push_back(claim_action{});
    }
}

void sent_tick(service_call& call, base::time_point now, call_actions& actions)
{
    const auto limit = call.accepted + std::chrono::milliseconds(
                                           call.spec.route.request_timeout_ms);
    if (now < limit)
        return;
    if (now >= limit + cancel_grace) {
        settle_failure(
            call,
            base::may_have_run(
                base::failure_code::deadline_exceeded,
                "the service did not answer within the route's time limit"),
            now,
            actions);
        return;
    }
    if (now >= call.repeat_at) {
        call.repeat_at = now + cancel_grace;
        actions.push_back(
            cancel_call_action{wire::cancel_call{call.spec.id, call.attempt}});
    }
}

void record_tick(
    service_call& call, base::time_point now, call_actions& actions)
{
    // The claim then has no outcome. A resend with the same key gets
    // `may_have_run`, so the call still runs at most once.
    if (now - call.phase_since >= call.spec.record_limit)
        return respond(call, actions);
    if (now >= call.repeat_at) {
        call.repeat_at = now + call.spec.control_retry;
        actions.push_back(record_action{});
    }
}

} // namespace

call_actions on_call_tick(service_call& call, base::time_point now)
{
    call_actions actions;
    switch (call.phase) {
    case call_phase::claiming:
    case call_phase::waiting_for_outcome:
        claim_tick(call, now, actions);
        break;
    case call_phase::sent:
        sent_tick(call, now, actions);
        break;
    case call_phase::recording:
        record_tick(call, now, actions);
        break;
    case call_phase::waiting_for_retry:
        if (now >= call.repeat_at)
            choose(call, now, actions);
        break;
    case call_phase::choosing:
    case call_phase::finished:
        break;
    }
    return actions;
}

bool needs_claim(const service_call& call)
{
    return !call.spec.route.idempotent;
}

base::duration time_left(const service_call& call, base::time_point now)
{
    const auto end = call.accepted + std::chrono::milliseconds(
                                         call.spec.route.request_timeout_ms);
    return std::max(base::duration::zero(), end - now);
}

} // namespace oleanderhinge::entry
