// Handlers of the events that open an attempt.
#include "oleanderhinge/chain/internal/attempts.hpp"

#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

// Why the chain cannot run at this stage; empty if it can.
std::string chain_fault(const stage_identity& self, const wire::open_attempt& m)
{
    if (m.position >= m.chain.size())
        return "position is outside the chain";
    const auto& own = m.chain[m.position];
    if (own.server != self.server)
        return "the chain names another server at this position";
    if (own.agent_incarnation != self.agent_incarnation)
        return "the chain names an older incarnation of this agent";
    if (own.layers != self.layers)
        return "the chain names other layers than the server holds";
    base::layer_index next{0};
    for (const auto& s : m.chain) {
        if (s.layers.first != next || s.layers.end <= s.layers.first)
            return "the layers of the chain have a gap or overlap";
        next = s.layers.end;
    }
    if (next.value() != self.layer_count)
        return "the chain does not cover all layers";
    return {};
}

void refuse_open(context& c, const open_received& e, base::verdict reason)
{
    const auto& m = e.message;
    c.actions.emplace_back(refuse_attempt{
        e.from, {m.request, m.attempt, m.position, std::move(reason), {}}});
}

// Handles an `open_attempt` that is not above the highest attempt; returns
// false if it is. A repeat on the same link is answered with the grant if the
// attempt has its slot, else by the grant that follows. Any other one is
// refused, or reported as failed if a step of it may have run.
bool answer_known_attempt(
    context& c, request_record& record, const open_received& e)
{
    const auto& m = e.message;
    if (m.attempt > record.highest_attempt)
        return false;
    auto* known = find_attempt(record, m.attempt);
    if (known && known->phase != attempt_phase::ending &&
        known->entry_link == e.from) {
        if (known->phase == attempt_phase::granted)
            c.actions.emplace_back(
                grant_attempt{e.from, {m.request, m.attempt, m.position, {}}});
        return true;
    }
    const auto execution =
        known ? known->execution : ended_execution(record, m.attempt);
    const std::string detail = "the attempt has ended or is fenced";
    if (execution == base::execution::not_run)
        refuse_open(c, e, base::not_run(base::failure_code::fenced, detail));
    else
        c.actions.emplace_back(fail_attempt{
            e.from,
            {m.request,
             m.attempt,
             m.position,
             make_verdict(execution, base::failure_code::fenced, detail)}});
    return true;
}

void request_slot_for(context& c, const wire::open_attempt& m)
{
    c.actions.emplace_back(request_slot{
        m.request,
        m.attempt,
        m.position == 0,
        m.customer,
        m.customer_weight,
        m.work_rank,
        estimate_prompt_tokens(m),
        m.max_tokens,
        m.first_token_budget_ms,
        m.budget_ms});
}

} // namespace

void handle(context& c, const open_received& e)
{
    const auto& m = e.message;
    auto* known = find_request(c.table, m.request);
    if (known && answer_known_attempt(c, *known, e))
        return;
    if (!known && c.table.requests.size() >= c.table.limits.max_requests)
        return refuse_open(
            c,
            e,
            base::not_run(
                base::failure_code::overloaded,
                "the table of attempts is full",
                std::chrono::milliseconds(1000)));
    if (known) {
        known->highest_attempt = m.attempt;
        known->highest_fenced = true;
        fence_lower(c, m.request, m.attempt);
    }
    if (c.table.refusal)
        return refuse_open(c, e, *c.table.refusal);
    if (auto fault = chain_fault(c.table.self, m); !fault.empty())
        return refuse_open(
            c,
            e,
            base::not_run(base::failure_code::no_server, std::move(fault)));
    auto& record = known ? *known : c.table.requests[m.request];
    record.highest_attempt = m.attempt;
    record.highest_fenced = false;
    attempt_state state;
    state.open_message = m;
    state.entry_link = e.from;
    state.deadline = c.now + std::chrono::milliseconds(m.budget_ms);
    state.next_token = base::token_index(std::uint32_t(m.delivered.size()));
    record.attempts.push_back(std::move(state));
    c.table.active.insert(m.request);
    request_slot_for(c, m);
}

void handle(context& c, const slot_granted& e)
{
    auto* state = find_attempt(c.table, e.request, e.attempt);
    if (!state || state->phase != attempt_phase::waiting) {
        // The attempt ended before its slot was granted.
        c.actions.emplace_back(release_slot{e.request, e.attempt, 0});
        return;
    }
    state->phase = attempt_phase::granted;
    c.actions.emplace_back(grant_attempt{
        state->entry_link,
        {e.request, e.attempt, state->open_message.position, {}}});
}

void handle(context& c, const slot_refused& e)
{
    auto* state = find_attempt(c.table, e.request, e.attempt);
    if (!state || state->phase != attempt_phase::waiting)
        return;
    c.actions.emplace_back(refuse_attempt{
        state->entry_link,
        {e.request, e.attempt, state->open_message.position, e.reason, {}}});
    end_attempt(c, e.request, e.attempt);
}

} // namespace oleanderhinge::chain::internal
