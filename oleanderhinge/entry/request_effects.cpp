// Performs the actions that the state machines of requests return.
#include "oleanderhinge/entry/internal/request_service_update.hpp"

#include <utility>

namespace oleanderhinge::entry
{

namespace
{

wire::claim_request claim_of(const service_call& call)
{
    const auto& spec = call.spec;
    wire::claim_request claim;
    claim.correlation = spec.id.sequence;
    claim.customer = spec.customer;
    claim.route = spec.route.id;
    claim.key = spec.idempotency_key;
    claim.request_digest = spec.request_digest;
    claim.request = spec.id;
    return claim;
}

wire::outcome_report outcome_of(const service_call& call)
{
    const auto& spec = call.spec;
    wire::outcome_report report;
    report.correlation = spec.id.sequence;
    report.customer = spec.customer;
    report.route = spec.route.id;
    report.key = spec.idempotency_key;
    report.request = spec.id;
    report.failure = call.failure;
    report.answer = call.answer;
    return report;
}

// `Retry-After` of the answer when no server is available. Servers announce
// themselves once a second.
constexpr auto no_server_retry_after = std::chrono::milliseconds(1000);

bool opens_request(const wire::message& content)
{
    return std::holds_alternative<wire::open_attempt>(content) ||
           std::holds_alternative<wire::call>(content);
}

} // namespace

void request_service::deliver_token(
    live_request& live,
    const model_request& request,
    const deliver_action& action,
    base::time_point now)
{
    const auto work_rank = request.spec.route.work_rank;
    if (action.index.value() == 0)
        this->counters.first_token(work_rank, now - live.accepted);
    else
        this->counters.token_interval(work_rank, now - live.last_token);
    live.last_token = now;
    this->events.record(
        timeline::event_kind::token_delivered,
        request.spec.id,
        "token " + std::to_string(action.index.value()) + " attempt " +
            std::to_string(request.attempt.value()));
    live.deliveries->push(token_delivery{action.text});
}

void request_service::finish(
    live_request& live,
    const wire::route& route,
    base::request_id id,
    delivery last,
    effects& out)
{
    live.finished = true;
    if (const auto* failed = std::get_if<request_failure>(&last)) {
        this->counters.request_finished(
            route.work_rank, base::to_string(failed->reason.code));
        this->events.record(
            timeline::event_kind::request_failed,
            id,
            std::string(base::to_string(failed->reason.code)) + " " +
                base::to_string(failed->reason.state) + ": " +
                failed->reason.detail);
    } else {
        out.succeeded = true;
        this->counters.request_finished(route.work_rank, "completed");
        this->events.record(
            timeline::event_kind::request_finished,
            id,
            "route " + route.id.value());
    }
    live.deliveries->push(std::move(last));
}

void request_service::collect(
    live_request& live,
    model_request& request,
    const model_actions& actions,
    base::time_point now,
    effects& out)
{
    const auto& id = request.spec.id;
    const auto& route = request.spec.route;
    for (const auto& action : actions) {
        if (std::holds_alternative<choose_chain_action>(action)) {
            out.choose = true;
        } else if (const auto* s = std::get_if<send_action>(&action)) {
            const auto& stage = request.chain[s->position];
            out.sends.push_back({stage.agent, stage.server, s->content});
        } else if (const auto* d = std::get_if<deliver_action>(&action)) {
            this->deliver_token(live, request, *d, now);
        } else if (const auto* c = std::get_if<complete_action>(&action)) {
            this->finish(live, route, id, completion{c->finish_reason}, out);
        } else if (const auto* f = std::get_if<fail_action>(&action)) {
            this->finish(live, route, id, request_failure{f->reason}, out);
        } else if (const auto* a = std::get_if<ask_retry_action>(&action)) {
            // Another attempt generates only the tokens after the delivered
            // ones. Generating some of them twice does no harm, so `ran` counts
            // as `may_have_run`, which may be retried.
            out.ask_retry = retry_parameters{
                a->reason, true, request.attempt, time_left(request, now)};
            if (a->reason.state == base::execution::ran)
                out.ask_retry->reason.state = base::execution::may_have_run;
        } else if (const auto* r = std::get_if<report_stage_action>(&action)) {
            out.outcomes.emplace_back(r->server, r->success);
        }
    }
    // If the caller closed its connection, the request ends without a delivery.
    if (request.phase == request_phase::finished && !live.finished) {
        live.finished = true;
        this->counters.request_finished(route.work_rank, "caller_gone");
    }
}

void request_service::collect(
    live_request& live,
    service_call& call,
    const call_actions& actions,
    base::time_point now,
    effects& out)
{
    const auto& id = call.spec.id;
    const auto& route = call.spec.route;
    for (const auto& action : actions) {
        if (std::holds_alternative<claim_action>(action)) {
            out.claim = claim_of(call);
        } else if (std::holds_alternative<record_action>(action)) {
            out.report = outcome_of(call);
        } else if (std::holds_alternative<choose_server_action>(action)) {
            out.choose = true;
        } else if (const auto* s = std::get_if<send_call_action>(&action)) {
            out.sends.push_back({call.agent, call.server, s->content});
        } else if (const auto* c = std::get_if<cancel_call_action>(&action)) {
            out.sends.push_back({call.agent, call.server, c->content});
        } else if (const auto* a = std::get_if<answer_action>(&action)) {
            this->finish(
                live, route, id, service_answer{a->answer, a->replayed}, out);
        } else if (const auto* f = std::get_if<call_failed_action>(&action)) {
            this->finish(live, route, id, request_failure{f->reason}, out);
        } else if (
            const auto* r = std::get_if<ask_call_retry_action>(&action)) {
            out.ask_retry = retry_parameters{
                r->reason,
                route.idempotent,
                call.attempt,
                time_left(call, now)};
        } else if (const auto* o = std::get_if<report_server_action>(&action)) {
            out.outcomes.emplace_back(o->server, o->success);
            out.detached.push_back(call.agent);
        }
    }
    if (live.finished)
        out.detached.push_back(call.agent);
}

void request_service::perform(
    base::request_id id, effects todo, base::time_point now)
{
    for (const auto& update : todo.loads)
        this->routes.update_load(
            update.server, update.agent_incarnation, update.load, now);
    for (const auto& refused : todo.refusals)
        this->routes.record_refusal(
            refused.server, refused.work_rank, refused.retry_after, now);
    for (const auto& [server, success] : todo.outcomes)
        this->routes.record_outcome(server, success, now);
    if (todo.succeeded)
        this->routes.record_request_success();
    for (const auto& item : todo.sends)
        this->send(id, item, now);
    if (todo.claim)
        this->claims.claim(*todo.claim);
    if (todo.report)
        this->claims.report(*todo.report);
    for (const auto& agent : todo.detached)
        this->links.detach(agent, id);
    if (todo.choose)
        this->choose(id, now);
    if (todo.ask_retry)
        this->ask_retry(id, *todo.ask_retry, now);
}

void request_service::send(
    base::request_id id, const outgoing_message& item, base::time_point now)
{
    using timeline::event_kind;
    const bool opens = opens_request(item.content);
    const bool closes =
        std::holds_alternative<wire::close_attempt>(item.content);
    if (opens) {
        this->links.attach(item.agent, id);
        this->routes.record_sent(item.server, now);
    }
    if (const auto* open = std::get_if<wire::open_attempt>(&item.content))
        this->events.record(
            event_kind::attempt_opened,
            id,
            "attempt " + std::to_string(open->attempt.value()) + " stage " +
                std::to_string(open->position) + " at " + item.server.value());
    else if (std::holds_alternative<wire::start_attempt>(item.content))
        this->counters.attempt("started");
    else if (std::holds_alternative<wire::call>(item.content))
        this->events.record(event_kind::call_sent, id, item.server.value());
    const auto status = this->links.send(item.agent, item.content);
    if (closes) {
        this->links.detach(item.agent, id);
        this->routes.record_ended(item.server);
    }
    // The link table reports closed links, but not full ones. The message was
    // not sent, so a request that needs it treats the link as lost.
    if (status == net::send_status::full && !closes)
        this->on_link_lost({item.agent, {id}}, !opens);
}

void request_service::choose(const base::request_id& id, base::time_point now)
{
    std::variant<model_request, service_call> copy;
    {
        auto& part = this->shard_of(id);
        const std::lock_guard lock(part.mutex);
        const auto found = part.requests.find(id);
        if (found == part.requests.end())
            return;
        copy = found->second.state_machine;
    }
    if (const auto* request = std::get_if<model_request>(&copy))
        this->choose_chain(*request, now);
    else if (const auto* call = std::get_if<service_call>(&copy))
        this->choose_server(*call, now);
}

void request_service::choose_chain(
    const model_request& request, base::time_point now)
{
    const auto& id = request.spec.id;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                stages,
                this->routes.choose_chain(
                    request.spec.route,
                    exclusions_of(request),
                    request.spec.prompt,
                    now));
            this->update_request<model_request>(
                id, [&](auto& current, effects&, auto at) {
                    return on_chosen(current, std::move(stages), at);
                });
            return {};
        },
        [&](const base::error& e) {
            const auto reason = base::not_run(
                base::failure_code::no_server, e.detail, no_server_retry_after);
            this->update_request<model_request>(
                id, [&](auto& current, effects&, auto at) {
                    return on_no_chain(current, reason, at);
                });
        });
}

void request_service::choose_server(
    const service_call& call, base::time_point now)
{
    const auto& id = call.spec.id;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                chosen,
                this->routes.choose_server(call.spec.route, call.avoid, now));
            this->update_request<service_call>(
                id, [&](auto& current, effects&, auto at) {
                    return on_server_chosen(
                        current,
                        chosen.server,
                        chosen.agent,
                        chosen.agent_incarnation,
                        at);
                });
            return {};
        },
        [&](const base::error& e) {
            const auto reason = base::not_run(
                base::failure_code::no_server, e.detail, no_server_retry_after);
            this->update_request<service_call>(
                id, [&](auto& current, effects&, auto at) {
                    return on_no_server(current, reason, at);
                });
        });
}

void request_service::ask_retry(
    const base::request_id& id,
    const retry_parameters& parameters,
    base::time_point now)
{
    const auto decision = this->routes.may_retry(
        parameters.reason,
        parameters.idempotent,
        parameters.attempt,
        parameters.left,
        now);
    this->counters.retry(
        decision.retry ? "allowed" : retry::to_string(decision.reason));
    this->update_request<model_request>(
        id, [&](auto& request, effects&, auto at) {
            return decision.retry ? on_retry(request, decision.delay, at)
                                  : on_retry_denied(request, parameters.reason);
        });
    this->update_request<service_call>(id, [&](auto& call, effects&, auto at) {
        return decision.retry
                   ? on_call_retry(call, decision.delay, at)
                   : on_call_retry_denied(call, parameters.reason, at);
    });
}

} // namespace oleanderhinge::entry
