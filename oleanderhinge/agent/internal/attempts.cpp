// Applies events to the attempt tables and carries out the actions that
// chain/execution.hpp returns.
#include "oleanderhinge/agent/internal/runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace oleanderhinge::agent::internal
{

using timeline::event_kind;

namespace
{

std::string attempt_text(base::attempt_number attempt)
{
    return "attempt " + std::to_string(attempt.value());
}

std::string token_text(base::attempt_number attempt, base::token_index token)
{
    return attempt_text(attempt) + " token " + std::to_string(token.value());
}

std::string layers_text(const base::layer_range& layers)
{
    return " layers " + std::to_string(layers.first.value()) + "-" +
           std::to_string(layers.end.value());
}

} // namespace

shard& runtime::shard_of(const base::request_id& request)
{
    return this->shards[std::hash<base::request_id>{}(request) % shard_count];
}

void runtime::apply_event(
    const base::request_id& request, const chain::event& input)
{
    auto& s = this->shard_of(request);
    std::vector<chain::action> actions;
    {
        const std::lock_guard lock(s.mutex);
        actions = chain::advance(s.attempts, input, base::monotonic_now());
    }
    for (auto& a : actions)
        std::visit([this](auto& one) { this->carry_out(std::move(one)); }, a);
}

void runtime::apply_event_to_all(const chain::event& input)
{
    for (auto& s : this->shards) {
        std::vector<chain::action> actions;
        {
            const std::lock_guard lock(s.mutex);
            actions = chain::advance(s.attempts, input, base::monotonic_now());
        }
        for (auto& a : actions)
            std::visit(
                [this](auto& one) { this->carry_out(std::move(one)); }, a);
    }
}

void runtime::carry_out(const chain::request_slot& a)
{
    const auto now = base::monotonic_now();
    slot_request request;
    request.key = {a.request, a.attempt};
    request.may_wait = a.head;
    request.customer = a.customer;
    request.customer_weight = a.customer_weight;
    request.work_rank = a.work_rank;
    request.prompt_tokens = a.prompt_tokens;
    request.max_tokens = a.max_tokens;
    const auto budget =
        a.first_token_budget_ms > 0 ? a.first_token_budget_ms : a.budget_ms;
    request.deadline = now + std::chrono::milliseconds(budget);
    slot_outcomes outcomes;
    {
        const std::lock_guard lock(this->slot_mutex);
        outcomes = submit(this->slots, request, now);
    }
    this->apply_slot_outcomes(outcomes);
}

void runtime::carry_out(const chain::release_slot& a)
{
    slot_outcomes outcomes;
    {
        const std::lock_guard lock(this->slot_mutex);
        outcomes = release(
            this->slots,
            {a.request, a.attempt},
            base::token_count(a.tokens),
            base::monotonic_now());
    }
    this->apply_slot_outcomes(outcomes);
}

void runtime::carry_out(const chain::run_step& a)
{
    if (a.starts_second_token) {
        const std::lock_guard lock(this->slot_mutex);
        observe_first_token(
            this->slots, {a.request, a.attempt}, base::monotonic_now());
    }
    asio::co_spawn(this->io, this->run_on_engine(a), asio::detached);
}

asio::awaitable<void> runtime::run_on_engine(chain::run_step step)
{
    const auto start_time = base::monotonic_now();
    const auto limit = std::chrono::ceil<std::chrono::milliseconds>(std::max(
        base::duration(std::chrono::milliseconds(1)),
        std::min(this->options.step_limit, step.time_left)));
    const auto outcome = co_await this->client.call(
        this->options.backend, run_request(step), limit, net::reuse::allowed);
    const auto elapsed = base::monotonic_now() - start_time;
    const auto event = to_step_finished(step, outcome);
    if (event.failure.code == base::failure_code::none) {
        this->stats.steps_run.Increment();
        this->stats.step_seconds.Observe(
            std::chrono::duration<double>(elapsed).count());
        base::layer_range layers;
        {
            const std::lock_guard lock(this->status.mutex);
            if (this->status.info)
                layers = this->status.info->layers;
        }
        this->events.record(
            event_kind::step_run,
            step.request,
            token_text(step.attempt, step.token) + layers_text(layers));
        // Prefill takes longer than a step and depends on the prompt, so it
        // must not affect the adaptive limit.
        if (!step.prefill)
            this->observe_latency(elapsed);
    } else {
        this->stats.steps_failed.Increment();
    }
    this->apply_event(step.request, event);
}

void runtime::carry_out(const chain::free_engine_state& a)
{
    asio::co_spawn(this->io, this->free_state_on_engine(a), asio::detached);
}

asio::awaitable<void>
runtime::free_state_on_engine(chain::free_engine_state what)
{
    // The result is ignored: an engine whose memory is full frees such state by
    // itself.
    co_await this->client.call(
        this->options.backend,
        free_state_request(what),
        std::chrono::ceil<std::chrono::milliseconds>(
            this->options.control_limit),
        net::reuse::allowed);
}

void runtime::carry_out(const chain::forward_step& a)
{
    if (a.try_number > 1)
        this->stats.steps_resent.Increment();
    const auto id = this->find_or_open_stage_link(a.to);
    // A step that can't be sent now is sent again after the step timeout.
    if (this->links.send(id, a.message) == net::send_status::closed)
        this->remove_stage_link(a.to, id);
}

void runtime::carry_out(const chain::acknowledge& a)
{
    if (a.reason == chain::ack_reason::repeated) {
        this->stats.steps_repeated.Increment();
        this->events.record(
            event_kind::step_repeated,
            a.message.request,
            token_text(a.message.attempt, a.message.token));
    } else if (a.reason == chain::ack_reason::fenced) {
        this->stats.steps_fenced.Increment();
    }
    this->send(a.to, a.message);
}

void runtime::carry_out(const chain::refuse_step&)
{
    this->stats.steps_refused.Increment();
}

void runtime::carry_out(const chain::send_token& a)
{
    this->stats.tokens.Increment();
    this->send(a.to, a.message);
}

void runtime::carry_out(chain::grant_attempt a)
{
    this->stats.attempts_granted.Increment();
    this->events.record(
        event_kind::attempt_granted,
        a.message.request,
        attempt_text(a.message.attempt) + " position " +
            std::to_string(a.message.position));
    a.message.load = this->current_load();
    this->send(a.to, a.message);
}

void runtime::carry_out(chain::refuse_attempt a)
{
    this->stats.attempts_refused.Increment();
    this->events.record(
        event_kind::attempt_refused,
        a.message.request,
        attempt_text(a.message.attempt) + ": " + a.message.reason.detail);
    a.message.load = this->current_load();
    this->send(a.to, a.message);
}

void runtime::carry_out(const chain::fail_attempt& a)
{
    this->stats.attempts_failed.Increment();
    this->events.record(
        event_kind::attempt_failed,
        a.message.request,
        attempt_text(a.message.attempt) + ": " + a.message.reason.detail);
    this->send(a.to, a.message);
}

void runtime::carry_out(chain::confirm_close a)
{
    a.message.load = this->current_load();
    this->send(a.to, a.message);
}

void runtime::carry_out(const chain::record_fenced& a)
{
    this->stats.attempts_fenced.Increment();
    this->events.record(
        event_kind::attempt_fenced,
        a.request,
        attempt_text(a.attempt) + " by " + attempt_text(a.by));
}

} // namespace oleanderhinge::agent::internal
