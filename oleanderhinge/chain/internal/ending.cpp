// Events that end attempts and forget them.
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
    c.out.emplace_back(confirm_close{
        e.from,
        {e.message.request,
         e.message.attempt,
         0,
         ended_state(record, e.message.attempt),
         {}}});
}

// Closes an attempt that was never opened here, so that a late `open_attempt`
// finds the fence.
void close_unknown(context& c, const close_received& e)
{
    const auto& m = e.message;
    if (c.table.requests.size() >= c.table.limits.max_requests) {
        // Without a record nothing can be promised about a late open.
        c.out.emplace_back(confirm_close{
            e.from,
            {m.request, m.attempt, 0, base::execution::may_have_run, {}}});
        return;
    }
    auto& record = c.table.requests[m.request];
    record.highest = m.attempt;
    record.closed = true;
    schedule_forgetting(c, m.request, record);
    confirm_ended(c, record, e);
}

std::vector<base::request_id> active_requests(const attempt_table& table)
{
    return {table.active.begin(), table.active.end()};
}

// Calls `function(open_state&)` for each attempt that has not begun to end.
// The function may end the attempt.
template <class Function>
void for_each_live(context& c, Function&& function)
{
    for (const auto& id : active_requests(c.table)) {
        std::vector<base::attempt_number> numbers;
        for (const auto& a : find_request(c.table, id)->attempts)
            if (a.phase != attempt_phase::ending)
                numbers.push_back(a.opened.attempt);
        for (const auto number : numbers)
            function(*find_attempt(c.table, id, number));
    }
}

void resend(context& c, open_state& a)
{
    if (!a.unacknowledged || a.unacknowledged->resend_at > c.now)
        return;
    auto& sent = *a.unacknowledged;
    if (sent.tries >= c.table.limits.step_tries)
        return fail(
            c,
            a,
            base::failure_code::link_lost,
            "the next stage does not acknowledge the step");
    ++sent.tries;
    sent.resend_at = c.now + c.table.limits.step_timeout;
    c.out.emplace_back(forward_step{sent.to, sent.message, sent.tries});
}

void forget_old(context& c)
{
    auto& queue = c.table.forgetting;
    while (!queue.empty() && queue.front().first <= c.now) {
        const auto found = c.table.requests.find(queue.front().second);
        // A record that was used again has a later entry in the queue.
        if (found != c.table.requests.end() && found->second.attempts.empty() &&
            found->second.forget_at <= c.now)
            c.table.requests.erase(found);
        queue.pop_front();
    }
}

} // namespace

void on(context& c, const close_received& e)
{
    const auto& m = e.message;
    auto* record = find_request(c.table, m.request);
    if (!record)
        return close_unknown(c, e);
    if (m.attempt > record->highest) {
        record->highest = m.attempt;
        record->closed = true;
        fence_lower(c, m.request, m.attempt);
        return confirm_ended(c, *find_request(c.table, m.request), e);
    }
    auto* a = find_attempt(*record, m.attempt);
    if (!a)
        return confirm_ended(c, *record, e);
    // The answer waits for the engine if a step is running.
    a->closing = e.from;
    a->generated = std::max(a->generated, m.generated);
    if (a->phase != attempt_phase::ending)
        end(c, m.request, m.attempt);
}

void on(context& c, const link_closed& e)
{
    for (const auto& id : active_requests(c.table))
        for (auto& a : find_request(c.table, id)->attempts)
            if (a.closing == e.link)
                a.closing = peer_link{};
    for_each_live(c, [&](open_state& a) {
        if (a.entry == e.link)
            end(c, a.opened.request, a.opened.attempt);
    });
}

void on(context& c, const engine_lost& e)
{
    for_each_live(c, [&](open_state& a) {
        fail(c, a, base::failure_code::server_failed, e.detail);
    });
}

void on(context& c, const intake_changed& e)
{
    c.table.refusal = e.refusal;
    if (c.table.self.layers != e.layers ||
        c.table.self.layer_count != e.layer_count) {
        for_each_live(c, [&](open_state& a) {
            fail(
                c,
                a,
                base::failure_code::server_failed,
                "the server now holds other layers");
        });
        c.table.self.layers = e.layers;
        c.table.self.layer_count = e.layer_count;
    }
}

void on(context& c, const ticked&)
{
    for_each_live(c, [&](open_state& a) {
        if (a.expires_at <= c.now)
            fail(
                c,
                a,
                base::failure_code::deadline_exceeded,
                "the time budget of the request is over");
        else
            resend(c, a);
    });
    forget_old(c);
}

} // namespace oleanderhinge::chain::internal
