// Handlers of the events that end attempts, and removal of expired records.
#include "oleanderhinge/chain/internal/attempts.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace oleanderhinge::chain::internal
{

namespace
{

void confirm_ended(
    context& c, const request_record& record, const close_received& e)
{
    c.actions.emplace_back(confirm_close{
        e.from,
        {e.message.request,
         e.message.attempt,
         0,
         ended_execution(record, e.message.attempt),
         {}}});
}

// Records a fence for an attempt that was never opened here, so that a late
// `open_attempt` is refused.
void close_unknown(context& c, const close_received& e)
{
    const auto& m = e.message;
    if (c.table.requests.size() >= c.table.limits.max_requests) {
        // Without a record, a late `open_attempt` may still be accepted.
        c.actions.emplace_back(confirm_close{
            e.from,
            {m.request, m.attempt, 0, base::execution::may_have_run, {}}});
        return;
    }
    auto& record = c.table.requests[m.request];
    record.highest_attempt = m.attempt;
    record.highest_fenced = true;
    schedule_removal(c, m.request, record);
    confirm_ended(c, record, e);
}

std::vector<base::request_id> active_requests(const attempt_table& table)
{
    return {table.active.begin(), table.active.end()};
}

// Calls `function(attempt_state&)` for each open attempt that is not ending.
// The function may end the attempt.
template <class Function>
void for_each_not_ending(context& c, Function&& function)
{
    for (const auto& id : active_requests(c.table)) {
        std::vector<base::attempt_number> numbers;
        for (const auto& state : find_request(c.table, id)->attempts)
            if (state.phase != attempt_phase::ending)
                numbers.push_back(state.open_message.attempt);
        for (const auto number : numbers)
            function(*find_attempt(c.table, id, number));
    }
}

void resend_if_due(context& c, attempt_state& state)
{
    if (!state.unacknowledged || state.unacknowledged->resend_at > c.now)
        return;
    auto& sent = *state.unacknowledged;
    if (sent.tries >= c.table.limits.step_tries)
        return end_with_failure(
            c,
            state,
            base::failure_code::link_lost,
            "the next stage does not acknowledge the step");
    ++sent.tries;
    sent.resend_at = c.now + c.table.limits.step_timeout;
    c.actions.emplace_back(forward_step{sent.to, sent.message, sent.tries});
}

void remove_expired_records(context& c)
{
    auto& queue = c.table.removal_queue;
    while (!queue.empty() && queue.front().first <= c.now) {
        const auto found = c.table.requests.find(queue.front().second);
        // A record that was reused since has a later entry in the queue.
        if (found != c.table.requests.end() && found->second.attempts.empty() &&
            found->second.remove_at <= c.now)
            c.table.requests.erase(found);
        queue.pop_front();
    }
}

} // namespace

void handle(context& c, const close_received& e)
{
    const auto& m = e.message;
    auto* record = find_request(c.table, m.request);
    if (!record)
        return close_unknown(c, e);
    if (m.attempt > record->highest_attempt) {
        record->highest_attempt = m.attempt;
        record->highest_fenced = true;
        fence_lower(c, m.request, m.attempt);
        return confirm_ended(c, *find_request(c.table, m.request), e);
    }
    auto* state = find_attempt(*record, m.attempt);
    if (!state)
        return confirm_ended(c, *record, e);
    // If a step is running, the answer is sent when the engine has finished it.
    state->close_reply_link = e.from;
    state->reported_generated =
        std::max(state->reported_generated, m.generated);
    if (state->phase != attempt_phase::ending)
        end_attempt(c, m.request, m.attempt);
}

void handle(context& c, const link_closed& e)
{
    for (const auto& id : active_requests(c.table))
        for (auto& state : find_request(c.table, id)->attempts)
            if (state.close_reply_link == e.link)
                state.close_reply_link = peer_link{};
    for_each_not_ending(c, [&](attempt_state& state) {
        if (state.entry_link == e.link)
            end_attempt(
                c, state.open_message.request, state.open_message.attempt);
    });
}

void handle(context& c, const engine_lost& e)
{
    for_each_not_ending(c, [&](attempt_state& state) {
        end_with_failure(c, state, base::failure_code::server_failed, e.detail);
    });
}

void handle(context& c, const availability_changed& e)
{
    c.table.refusal = e.refusal;
    if (c.table.self.layers != e.layers ||
        c.table.self.layer_count != e.layer_count) {
        for_each_not_ending(c, [&](attempt_state& state) {
            end_with_failure(
                c,
                state,
                base::failure_code::server_failed,
                "the server now holds other layers");
        });
        c.table.self.layers = e.layers;
        c.table.self.layer_count = e.layer_count;
    }
}

void handle(context& c, const ticked&)
{
    for_each_not_ending(c, [&](attempt_state& state) {
        if (state.deadline <= c.now)
            end_with_failure(
                c,
                state,
                base::failure_code::deadline_exceeded,
                "the time budget of the request is over");
        else
            resend_if_due(c, state);
    });
    remove_expired_records(c);
}

} // namespace oleanderhinge::chain::internal
