// Events that run and forward steps.
#include "oleanderhinge/chain/internal/attempts.hpp"

#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

void run(context& c, open_state& a, std::string activation)
{
    const auto token = a.next_token;
    run_step step;
    step.request = a.opened.request;
    step.attempt = a.opened.attempt;
    step.token = token;
    step.next_layer = c.table.self.layers.first;
    step.activation = std::move(activation);
    step.prefill = token.value() == a.opened.delivered.size();
    step.second_of_head =
        is_head(a) && token.value() == a.opened.delivered.size() + 1;
    if (step.prefill) {
        step.prompt = a.opened.prompt;
        step.delivered = a.opened.delivered;
    }
    step.adapter = a.opened.adapter;
    step.max_tokens = a.opened.max_tokens;
    step.work_rank = a.opened.work_rank;
    step.time_left = a.expires_at - c.now;
    a.running = token;
    a.next_token = token.next();
    if (a.state == base::execution::not_run)
        a.state = base::execution::may_have_run;
    c.out.emplace_back(std::move(step));
}

void acknowledge_step(context& c, const step_received& e, ack_reason reason)
{
    const auto& m = e.message;
    c.out.emplace_back(acknowledge{
        e.from, {m.request, m.attempt, m.token, m.next_layer}, reason});
}

void forward(
    context& c, open_state& a, const wire::stage& to, wire::layer_step m)
{
    a.unacknowledged = unacknowledged_step{
        to.agent, m, 1, c.now + c.table.limits.step_timeout};
    c.out.emplace_back(forward_step{to.agent, std::move(m), 1});
}

// Sends the token to the entry node and begins the next one at the head.
void finish_token(context& c, open_state& a, const step_finished& e)
{
    const bool at_limit =
        a.opened.max_tokens > 0 && e.token.value() + 1 >= a.opened.max_tokens;
    const bool last = e.last || at_limit;
    std::string reason;
    if (last)
        reason = e.finish_reason.empty() ? "length" : e.finish_reason;
    c.out.emplace_back(send_token{
        a.entry,
        {e.request, e.attempt, e.token, e.text, last, std::move(reason)}});
    if (last)
        return;
    if (is_head(a))
        return run(c, a, e.text);
    const auto& head = a.opened.chain.front();
    forward(
        c,
        a,
        head,
        {e.request, e.attempt, e.token.next(), head.layers.first, e.text});
}

} // namespace

void on(context& c, const start_received& e)
{
    auto* a = find_live(c.table, e.message.request, e.message.attempt);
    if (!a || a->started || !is_head(*a))
        return;
    a->started = true;
    run(c, *a, {});
}

void on(context& c, const step_received& e)
{
    const auto& m = e.message;
    auto* record = find_request(c.table, m.request);
    const auto refuse_with = [&](std::string reason) {
        c.out.emplace_back(refuse_step{m, std::move(reason)});
    };
    if (!record || m.attempt > record->highest)
        return refuse_with("the attempt is not open");
    auto* a = find_live(c.table, m.request, m.attempt);
    if (m.attempt < record->highest || record->closed)
        return acknowledge_step(c, e, ack_reason::fenced);
    if (!a)
        return refuse_with("the attempt has no slot yet");
    if (m.next_layer != c.table.self.layers.first)
        return refuse_with("the step is for another layer");
    if (m.token < a->next_token)
        return acknowledge_step(c, e, ack_reason::repeated);
    if (m.token > a->next_token || a->running)
        return refuse_with("a token before this one has not run here");
    if (is_head(*a) && !a->started)
        return refuse_with("the attempt was not started");
    // The chain went round, so the step of the token before has arrived.
    a->unacknowledged.reset();
    acknowledge_step(c, e, ack_reason::taken);
    run(c, *a, m.activation);
}

void on(context& c, const step_finished& e)
{
    auto* a = find_attempt(c.table, e.request, e.attempt);
    if (!a || a->running != e.token)
        return;
    a->running.reset();
    if (e.failure.code == base::failure_code::none)
        a->state = base::execution::ran;
    // A step that the engine did not run leaves the state of those before.
    else if (
        e.failure.state == base::execution::not_run &&
        e.token.value() == a->opened.delivered.size())
        a->state = base::execution::not_run;
    if (a->phase == attempt_phase::ending)
        return remove(c, e.request, e.attempt);
    if (e.failure.code != base::failure_code::none)
        return fail(c, *a, e.failure.code, e.failure.detail);
    if (is_last(*a))
        return finish_token(c, *a, e);
    const auto& next = a->opened.chain[a->opened.position + 1];
    forward(
        c,
        *a,
        next,
        {e.request, e.attempt, e.token, next.layers.first, e.activation});
}

void on(context& c, const ack_received& e)
{
    auto* a = find_live(c.table, e.message.request, e.message.attempt);
    if (!a || !a->unacknowledged)
        return;
    const auto& sent = a->unacknowledged->message;
    if (sent.token == e.message.token &&
        sent.next_layer == e.message.next_layer)
        a->unacknowledged.reset();
}

} // namespace oleanderhinge::chain::internal
