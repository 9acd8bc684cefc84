// Events that open an attempt.
#include "oleanderhinge/chain/internal/attempts.hpp"

#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

// Why the chain cannot run here, or empty.
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
    c.out.emplace_back(refuse{
        e.from, {m.request, m.attempt, m.position, std::move(reason), {}}});
}

// The attempt is known already. Returns true if `e` was answered.
bool answer_known(context& c, request_record& record, const open_received& e)
{
    const auto& m = e.message;
    if (m.attempt > record.highest)
        return false;
    auto* known = find_attempt(record, m.attempt);
    if (known && known->phase != attempt_phase::ending &&
        known->entry == e.from) {
        if (known->phase == attempt_phase::granted)
            c.out.emplace_back(
                grant{e.from, {m.request, m.attempt, m.position, {}}});
        return true;
    }
    const auto state = known ? known->state : ended_state(record, m.attempt);
    const std::string detail = "the attempt has ended or is fenced";
    if (state == base::execution::not_run)
        refuse_open(c, e, base::not_run(base::failure_code::fenced, detail));
    else
        c.out.emplace_back(fail_attempt{
            e.from,
            {m.request,
             m.attempt,
             m.position,
             with_state(state, base::failure_code::fenced, detail)}});
    return true;
}

void request_slot_for(context& c, const wire::open_attempt& m)
{
    c.out.emplace_back(request_slot{
        m.request,
        m.attempt,
        m.position == 0,
        m.customer,
        m.customer_weight,
        m.work_rank,
        prompt_tokens(m),
        m.max_tokens,
        m.first_token_budget_ms,
        m.budget_ms});
}

} // namespace

void on(context& c, const open_received& e)
{
    const auto& m = e.message;
    auto* known = find_request(c.table, m.request);
    if (known && answer_known(c, *known, e))
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
        known->highest = m.attempt;
        known->closed = true;
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
    record.highest = m.attempt;
    record.closed = false;
    open_state a;
    a.opened = m;
    a.entry = e.from;
    a.expires_at = c.now + std::chrono::milliseconds(m.budget_ms);
    a.next_token = base::token_index(std::uint32_t(m.delivered.size()));
    record.attempts.push_back(std::move(a));
    c.table.active.insert(m.request);
    request_slot_for(c, m);
}

void on(context& c, const slot_granted& e)
{
    auto* a = find_attempt(c.table, e.request, e.attempt);
    if (!a || a->phase != attempt_phase::waiting) {
        // The attempt ended while its grant was on the way.
        c.out.emplace_back(release_slot{e.request, e.attempt, 0});
        return;
    }
    a->phase = attempt_phase::granted;
    c.out.emplace_back(
        grant{a->entry, {e.request, e.attempt, a->opened.position, {}}});
}

void on(context& c, const slot_refused& e)
{
    auto* a = find_attempt(c.table, e.request, e.attempt);
    if (!a || a->phase != attempt_phase::waiting)
        return;
    c.out.emplace_back(refuse{
        a->entry, {e.request, e.attempt, a->opened.position, e.reason, {}}});
    end(c, e.request, e.attempt);
}

} // namespace oleanderhinge::chain::internal
