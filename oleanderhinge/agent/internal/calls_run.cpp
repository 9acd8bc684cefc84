// Applies events to the call tables and carries out the actions that
// agent/calls.hpp returns.
#include "oleanderhinge/agent/internal/runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace oleanderhinge::agent::internal
{

void runtime::apply_call_event(
    const base::request_id& request, const call_event& input)
{
    auto& s = this->shard_of(request);
    std::vector<call_action> actions;
    {
        const std::lock_guard lock(s.mutex);
        actions = advance(s.calls, input, base::monotonic_now());
    }
    for (auto& a : actions)
        std::visit([this](auto& one) { this->carry_out(std::move(one)); }, a);
}

void runtime::apply_call_event_to_all(const call_event& input)
{
    for (auto& s : this->shards) {
        std::vector<call_action> actions;
        {
            const std::lock_guard lock(s.mutex);
            actions = advance(s.calls, input, base::monotonic_now());
        }
        for (auto& a : actions)
            std::visit(
                [this](auto& one) { this->carry_out(std::move(one)); }, a);
    }
}

void runtime::carry_out(const request_call_slot& a)
{
    const auto now = base::monotonic_now();
    slot_request request;
    request.key = {a.request, a.attempt};
    request.customer = a.customer;
    request.customer_weight = a.customer_weight;
    request.work_rank = a.work_rank;
    request.deadline = now + std::chrono::milliseconds(a.budget_ms);
    slot_outcomes outcomes;
    {
        const std::lock_guard lock(this->slot_mutex);
        outcomes = submit(this->slots, request, now);
    }
    this->apply_slot_outcomes(outcomes);
}

void runtime::carry_out(const release_call_slot& a)
{
    slot_outcomes outcomes;
    {
        const std::lock_guard lock(this->slot_mutex);
        outcomes = release(
            this->slots,
            {a.request, a.attempt},
            base::token_count(a.ran ? 1 : 0),
            base::monotonic_now());
    }
    this->apply_slot_outcomes(outcomes);
}

void runtime::carry_out(run_call a)
{
    asio::co_spawn(
        this->io, this->run_on_service(std::move(a)), asio::detached);
}

asio::awaitable<void> runtime::run_on_service(run_call what)
{
    const auto start_time = base::monotonic_now();
    auto& m = what.message;
    net::http_call request{m.method, m.target, m.headers, std::move(m.body)};
    const auto limit = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(base::duration(std::chrono::milliseconds(1)), what.time_left));
    // The service may close a kept connection while the call is written, which
    // leaves it unknown whether the call ran. On a new connection, the call has
    // certainly not run until its first byte is sent.
    auto outcome = co_await this->client.call(
        this->options.backend, std::move(request), limit, net::reuse::never);
    const auto elapsed = base::monotonic_now() - start_time;
    call_finished event{
        m.request,
        m.attempt,
        to_call_verdict(outcome),
        std::move(outcome.answer)};
    if (event.failure.code == base::failure_code::none) {
        this->stats.calls_answered.Increment();
        this->stats.call_seconds.Observe(
            std::chrono::duration<double>(elapsed).count());
        this->observe_latency(elapsed);
    } else if (event.failure.state == base::execution::not_run) {
        this->stats.calls_not_run.Increment();
    } else {
        this->stats.calls_may_have_run.Increment();
    }
    this->events.record(
        timeline::event_kind::call_run,
        m.request,
        "attempt " + std::to_string(m.attempt.value()) + " " +
            (event.failure.code == base::failure_code::none
                 ? "status " + std::to_string(event.answer.status)
                 : event.failure.detail));
    this->apply_call_event(m.request, event);
}

void runtime::carry_out(send_result a)
{
    a.message.load = this->current_load();
    this->send(a.to, a.message);
}

} // namespace oleanderhinge::agent::internal
