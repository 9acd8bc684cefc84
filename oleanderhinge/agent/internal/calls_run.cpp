// Carries out the actions of agent/calls.hpp.
#include "oleanderhinge/agent/internal/runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace oleanderhinge::agent::internal
{

void runtime::feed_call(const base::request_id& request, const call_event& what)
{
    auto& s = this->shard_of(request);
    std::vector<call_action> actions;
    {
        const std::lock_guard lock(s.mutex);
        actions = advance(s.calls, what, base::monotonic_now());
    }
    for (auto& a : actions)
        std::visit([this](auto& one) { this->carry_out(std::move(one)); }, a);
}

void runtime::feed_all_calls(const call_event& what)
{
    for (auto& s : this->shards) {
        std::vector<call_action> actions;
        {
            const std::lock_guard lock(s.mutex);
            actions = advance(s.calls, what, base::monotonic_now());
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
    this->deliver(outcomes);
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
    this->deliver(outcomes);
}

void runtime::carry_out(run_call a)
{
    asio::co_spawn(
        this->io, this->run_on_service(std::move(a)), asio::detached);
}

asio::awaitable<void> runtime::run_on_service(run_call what)
{
    const auto begun = base::monotonic_now();
    auto& m = what.message;
    net::http_call request{m.method, m.target, m.headers, std::move(m.body)};
    const auto limit = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(base::duration(std::chrono::milliseconds(1)), what.time_left));
    // A kept connection may be closed by the service just when the call is
    // written; then nobody knows whether it ran. A fresh one leaves no doubt
    // until the first byte is sent.
    auto outcome = co_await this->client.call(
        this->options.backend, std::move(request), limit, net::reuse::never);
    const auto taken = base::monotonic_now() - begun;
    call_finished event{
        m.request,
        m.attempt,
        to_call_verdict(outcome),
        std::move(outcome.answer)};
    if (event.failure.code == base::failure_code::none) {
        this->numbers.calls_answered.Increment();
        this->numbers.call_seconds.Observe(
            std::chrono::duration<double>(taken).count());
        this->observe_latency(taken);
    } else if (event.failure.state == base::execution::not_run) {
        this->numbers.calls_not_run.Increment();
    } else {
        this->numbers.calls_may_have_run.Increment();
    }
    this->events.record(
        timeline::event_kind::call_run,
        m.request,
        "attempt " + std::to_string(m.attempt.value()) + " " +
            (event.failure.code == base::failure_code::none
                 ? "status " + std::to_string(event.answer.status)
                 : event.failure.detail));
    this->feed_call(m.request, event);
}

void runtime::carry_out(send_result a)
{
    a.message.load = this->load_now();
    this->send(a.to, a.message);
}

} // namespace oleanderhinge::agent::internal
