// Handlers of the events that run and forward steps.
#include "oleanderhinge/chain/internal/attempts.hpp"

#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

void run_next_token(context& c, attempt_state& state, std::string activation)
{
    const auto token = state.next_token;
    run_step step;
    step.request = state.open_message.request;
    step.attempt = state.open_message.attempt;
    step.token = token;
    step.next_layer = c.table.self.layers.first;
    step.activation = std::move(activation);
    step.prefill = token.value() == state.open_message.delivered.size();
    step.starts_second_token =
        is_head(state) &&
        token.value() == state.open_message.delivered.size() + 1;
    if (step.prefill) {
        step.prompt = state.open_message.prompt;
        step.delivered = state.open_message.delivered;
    }
    step.adapter = state.open_message.adapter;
    step.max_tokens = state.open_message.max_tokens;
    step.work_rank = state.open_message.work_rank;
    step.time_left = state.deadline - c.now;
    state.running_token = token;
    state.next_token = token.next();
    if (state.execution == base::execution::not_run)
        state.execution = base::execution::may_have_run;
    c.actions.emplace_back(std::move(step));
}

void acknowledge_step(context& c, const step_received& e, ack_reason reason)
{
    const auto& m = e.message;
    c.actions.emplace_back(acknowledge{
        e.from, {m.request, m.attempt, m.token, m.next_layer}, reason});
}

void forward(
    context& c, attempt_state& state, const wire::stage& to, wire::layer_step m)
{
    state.unacknowledged = unacknowledged_step{
        to.agent, m, 1, c.now + c.table.limits.step_timeout};
    c.actions.emplace_back(forward_step{to.agent, std::move(m), 1});
}

// At the last stage: sends the token to the entry node and, unless it is the
// last one, starts the next token at the head.
void finish_token(context& c, attempt_state& state, const step_finished& e)
{
    const bool at_limit = state.open_message.max_tokens > 0 &&
                          e.token.value() + 1 >= state.open_message.max_tokens;
    const bool last = e.last || at_limit;
    std::string reason;
    if (last)
        reason = e.finish_reason.empty() ? "length" : e.finish_reason;
    c.actions.emplace_back(send_token{
        state.entry_link,
        {e.request, e.attempt, e.token, e.text, last, std::move(reason)}});
    if (last)
        return;
    if (is_head(state))
        return run_next_token(c, state, e.text);
    const auto& head = state.open_message.chain.front();
    forward(
        c,
        state,
        head,
        {e.request, e.attempt, e.token.next(), head.layers.first, e.text});
}

} // namespace

void handle(context& c, const start_received& e)
{
    auto* state = find_granted(c.table, e.message.request, e.message.attempt);
    if (!state || state->started || !is_head(*state))
        return;
    state->started = true;
    run_next_token(c, *state, {});
}

void handle(context& c, const step_received& e)
{
    const auto& m = e.message;
    auto* record = find_request(c.table, m.request);
    const auto refuse_with = [&](std::string reason) {
        c.actions.emplace_back(refuse_step{m, std::move(reason)});
    };
    if (!record || m.attempt > record->highest_attempt)
        return refuse_with("the attempt is not open");
    auto* state = find_granted(c.table, m.request, m.attempt);
    if (m.attempt < record->highest_attempt || record->highest_fenced)
        return acknowledge_step(c, e, ack_reason::fenced);
    if (!state)
        return refuse_with("the attempt has no slot yet");
    if (m.next_layer != c.table.self.layers.first)
        return refuse_with("the step is for another layer");
    if (m.token < state->next_token)
        return acknowledge_step(c, e, ack_reason::repeated);
    if (m.token > state->next_token || state->running_token)
        return refuse_with("a token before this one has not run here");
    if (is_head(*state) && !state->started)
        return refuse_with("the attempt was not started");
    // The previous token has passed all later stages, so the step that was
    // forwarded for it has arrived even if its acknowledgment was lost.
    state->unacknowledged.reset();
    acknowledge_step(c, e, ack_reason::accepted);
    run_next_token(c, *state, m.activation);
}

void handle(context& c, const step_finished& e)
{
    auto* state = find_attempt(c.table, e.request, e.attempt);
    if (!state || state->running_token != e.token)
        return;
    state->running_token.reset();
    if (e.failure.code == base::failure_code::none)
        state->execution = base::execution::ran;
    // If the engine did not run the first step, nothing of the attempt ran. A
    // later step that was not run leaves the state of the steps before it.
    else if (
        e.failure.state == base::execution::not_run &&
        e.token.value() == state->open_message.delivered.size())
        state->execution = base::execution::not_run;
    if (state->phase == attempt_phase::ending)
        return remove_attempt(c, e.request, e.attempt);
    if (e.failure.code != base::failure_code::none)
        return end_with_failure(c, *state, e.failure.code, e.failure.detail);
    if (is_last(*state))
        return finish_token(c, *state, e);
    const auto& next =
        state->open_message.chain[state->open_message.position + 1];
    forward(
        c,
        *state,
        next,
        {e.request, e.attempt, e.token, next.layers.first, e.activation});
}

void handle(context& c, const ack_received& e)
{
    auto* state = find_granted(c.table, e.message.request, e.message.attempt);
    if (!state || !state->unacknowledged)
        return;
    const auto& sent = state->unacknowledged->message;
    if (sent.token == e.message.token &&
        sent.next_layer == e.message.next_layer)
        state->unacknowledged.reset();
}

} // namespace oleanderhinge::chain::internal
