#include "oleanderhinge/entry/internal/request_service_update.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace oleanderhinge::entry
{

request_service::request_service(
    agent_links& agents,
    router& chooser,
    claim_channel control,
    metrics& numbers,
    timeline::recorder& recorder,
    base::incarnation own)
    : links(agents)
    , routes(chooser)
    , claims(std::move(control))
    , counters(numbers)
    , events(recorder)
    , self(own)
{
}

base::request_id request_service::next_id()
{
    return {this->self, this->next_sequence++};
}

request_service::shard& request_service::shard_of(const base::request_id& id)
{
    return this->shards[id.sequence % this->shards.size()];
}

void request_service::add(
    const base::request_id& id,
    const wire::route& route,
    const base::customer_id& customer,
    live_request live)
{
    this->events.record(
        timeline::event_kind::request_accepted,
        id,
        "route " + route.id.value() + " customer " + customer.value());
    auto& part = this->shard_of(id);
    const std::lock_guard lock(part.mutex);
    part.requests.emplace(id, std::move(live));
    ++this->live_count;
}

void request_service::begin_model(
    const model_request_spec& spec, std::shared_ptr<delivery_queue> deliveries)
{
    const auto now = base::monotonic_now();
    const auto id = spec.id;
    live_request live;
    live.state_machine = make_model_request(spec, now);
    live.deliveries = std::move(deliveries);
    live.accepted = now;
    this->add(id, spec.route, spec.customer, std::move(live));
    this->update_request<model_request>(
        id,
        [](auto& request, effects&, auto at) { return begin(request, at); });
}

void request_service::begin_call(
    const service_call_spec& spec, std::shared_ptr<delivery_queue> deliveries)
{
    const auto now = base::monotonic_now();
    const auto id = spec.id;
    live_request live;
    live.state_machine = make_service_call(spec, now);
    live.deliveries = std::move(deliveries);
    live.accepted = now;
    this->add(id, spec.route, spec.customer, std::move(live));
    this->update_request<service_call>(
        id, [](auto& call, effects&, auto at) { return begin(call, at); });
}

void request_service::caller_gone(base::request_id id)
{
    this->update_request<model_request>(id, [](auto& request, effects&, auto) {
        return on_caller_gone(request);
    });
}

bool request_service::dispatch(const wire::message& content)
{
    return std::visit(
        [this](const auto& message) {
            using type = std::decay_t<decltype(message)>;
            constexpr bool known =
                std::is_same_v<type, wire::attempt_granted> ||
                std::is_same_v<type, wire::attempt_refused> ||
                std::is_same_v<type, wire::attempt_failed> ||
                std::is_same_v<type, wire::token> ||
                std::is_same_v<type, wire::call_result> ||
                std::is_same_v<type, wire::claim_reply> ||
                std::is_same_v<type, wire::outcome_ack>;
            if constexpr (known)
                this->on_message(message);
            return known || std::is_same_v<type, wire::attempt_closed>;
        },
        content);
}

namespace
{

// Stage at `position`; null if `attempt` is not the current attempt or the
// chain is shorter.
const wire::stage* stage_of(
    const model_request& request,
    base::attempt_number attempt,
    std::uint32_t position)
{
    const bool current =
        attempt == request.attempt && position < request.chain.size();
    return current ? &request.chain[position] : nullptr;
}

} // namespace

void request_service::on_message(const wire::attempt_granted& message)
{
    this->counters.attempt("granted");
    this->update_request<model_request>(
        message.request, [&](auto& request, effects& todo, auto now) {
            if (const auto* stage =
                    stage_of(request, message.attempt, message.position))
                todo.loads.push_back(
                    {stage->server, stage->agent_incarnation, message.load});
            return on_granted(request, message, now);
        });
}

void request_service::on_message(const wire::attempt_refused& message)
{
    this->counters.attempt("refused");
    this->update_request<model_request>(
        message.request, [&](auto& request, effects& todo, auto now) {
            if (const auto* stage =
                    stage_of(request, message.attempt, message.position)) {
                todo.loads.push_back(
                    {stage->server, stage->agent_incarnation, message.load});
                if (message.reason.code == base::failure_code::overloaded)
                    todo.refusals.push_back(
                        {stage->server,
                         request.spec.route.work_rank,
                         message.reason.retry_after});
                this->events.record(
                    timeline::event_kind::attempt_refused,
                    message.request,
                    stage->server.value() + ": " + message.reason.detail);
            }
            return on_refused(request, message, now);
        });
}

void request_service::on_message(const wire::attempt_failed& message)
{
    this->counters.attempt("failed");
    this->update_request<model_request>(
        message.request, [&](auto& request, effects&, auto now) {
            if (const auto* stage =
                    stage_of(request, message.attempt, message.position))
                this->events.record(
                    timeline::event_kind::attempt_failed,
                    message.request,
                    stage->server.value() + ": " + message.reason.detail);
            return on_attempt_failed(request, message, now);
        });
}

void request_service::on_message(const wire::token& message)
{
    this->update_request<model_request>(
        message.request, [&](auto& request, effects&, auto now) {
            return on_token(request, message, now);
        });
}

void request_service::on_message(const wire::call_result& message)
{
    this->update_request<service_call>(
        message.request, [&](auto& call, effects& todo, auto now) {
            if (message.attempt == call.attempt &&
                message.failure.code == base::failure_code::overloaded)
                todo.refusals.push_back(
                    {call.server,
                     call.spec.route.work_rank,
                     message.failure.retry_after});
            return on_call_result(call, message, now);
        });
}

void request_service::on_message(const wire::claim_reply& message)
{
    constexpr std::array names = {
        "granted",
        "in_progress",
        "finished",
        "digest_mismatch",
        "expired",
        "full",
        "unavailable"};
    const auto state = std::size_t(message.state);
    if (state >= names.size())
        return;
    this->counters.claim(names[state]);
    this->update_request<service_call>(
        {this->self, message.correlation}, [&](auto& call, effects&, auto now) {
            return on_claim_reply(call, message, now);
        });
}

void request_service::on_message(const wire::outcome_ack& message)
{
    this->update_request<service_call>(
        {this->self, message.correlation}, [&](auto& call, effects&, auto) {
            return on_outcome_ack(call, message.stored);
        });
}

void request_service::on_link_lost(
    const agent_links::lost_link& lost, bool was_open)
{
    for (const auto& id : lost.requests) {
        this->update_request<model_request>(
            id, [&](auto& request, effects&, auto now) {
                return entry::on_link_lost(request, lost.agent, now);
            });
        this->update_request<service_call>(
            id, [&](auto& call, effects&, auto now) {
                return on_call_link_lost(call, lost.agent, was_open, now);
            });
    }
}

void request_service::tick()
{
    for (auto& part : this->shards) {
        std::vector<base::request_id> ids;
        {
            const std::lock_guard lock(part.mutex);
            ids.reserve(part.requests.size());
            for (const auto& [id, live] : part.requests)
                ids.push_back(id);
        }
        for (const auto& id : ids) {
            this->update_request<model_request>(
                id, [](auto& request, effects&, auto now) {
                    return on_tick(request, now);
                });
            this->update_request<service_call>(
                id, [](auto& call, effects&, auto now) {
                    return on_call_tick(call, now);
                });
        }
    }
}

std::size_t request_service::in_progress() const
{
    return this->live_count;
}

} // namespace oleanderhinge::entry
