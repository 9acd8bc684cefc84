#include "oleanderhinge/chain/execution.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::chain
{

namespace
{

// Ended attempts that a record keeps for repeated `close_attempt` messages.
constexpr std::size_t max_ended = 8;
// Usual size of a token of English text, for the estimate of the prompt.
constexpr std::size_t bytes_per_token = 4;

using actions = std::vector<action>;

// One call of `advance`.
struct context {
    attempt_table& table;
    base::time_point now;
    actions out;
};

bool is_head(const open_state& a)
{
    return a.opened.position == 0;
}

bool is_last(const open_state& a)
{
    return a.opened.position + 1 == a.opened.chain.size();
}

request_record* find_request(attempt_table& table, const base::request_id& id)
{
    const auto found = table.requests.find(id);
    return found == table.requests.end() ? nullptr : &found->second;
}

open_state* find_attempt(request_record& record, base::attempt_number attempt)
{
    for (auto& a : record.attempts)
        if (a.opened.attempt == attempt)
            return &a;
    return nullptr;
}

open_state* find_attempt(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt)
{
    auto* record = find_request(table, request);
    return record ? find_attempt(*record, attempt) : nullptr;
}

// An attempt that may still run steps.
open_state* find_live(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt)
{
    auto* found = find_attempt(table, request, attempt);
    return found && found->phase == attempt_phase::granted ? found : nullptr;
}

// Nothing is known of an attempt that is not in the record. Below the highest
// one it was fenced before it was opened here, so no step of it ran.
base::execution
ended_state(const request_record& record, base::attempt_number attempt)
{
    for (const auto& e : record.ended)
        if (e.attempt == attempt)
            return e.state;
    return record.ended.size() < max_ended ? base::execution::not_run
                                           : base::execution::may_have_run;
}

base::verdict
with_state(base::execution state, base::failure_code code, std::string detail)
{
    return {state, code, std::move(detail), std::chrono::milliseconds(0)};
}

void schedule_forgetting(
    context& c, const base::request_id& id, request_record& record)
{
    record.forget_at = c.now + c.table.limits.fence_time;
    c.table.forgetting.emplace_back(record.forget_at, id);
}

// Tokens that prefill reads.
std::uint64_t prompt_tokens(const wire::open_attempt& m)
{
    return m.prompt.size() / bytes_per_token + m.delivered.size() + 1;
}

std::uint64_t tokens_used(const open_state& a)
{
    if (a.state == base::execution::not_run)
        return 0;
    const auto here = a.next_token.value() - a.opened.delivered.size();
    return prompt_tokens(a.opened) +
           std::max<std::uint64_t>(here, a.generated.value());
}

// Removes an attempt from the table and gives back what it holds.
void remove(
    context& c, const base::request_id& id, base::attempt_number attempt)
{
    auto& record = *find_request(c.table, id);
    auto& a = *find_attempt(record, attempt);
    c.out.emplace_back(release_slot{id, attempt, tokens_used(a)});
    if (a.state != base::execution::not_run)
        c.out.emplace_back(forget_on_engine{id, attempt});
    if (a.closing != peer_link{})
        c.out.emplace_back(confirm_close{
            a.closing, {id, attempt, a.opened.position, a.state, {}}});
    if (record.ended.size() == max_ended)
        record.ended.erase(record.ended.begin());
    record.ended.push_back({attempt, a.state});
    std::erase_if(record.attempts, [&](const open_state& other) {
        return other.opened.attempt == attempt;
    });
    if (record.attempts.empty()) {
        c.table.active.erase(id);
        schedule_forgetting(c, id, record);
    }
}

// Ends an attempt: at once, or when the engine has answered.
void end(context& c, const base::request_id& id, base::attempt_number attempt)
{
    auto& record = *find_request(c.table, id);
    auto& a = *find_attempt(record, attempt);
    if (attempt == record.highest)
        record.closed = true;
    a.unacknowledged.reset();
    if (!a.running)
        return remove(c, id, attempt);
    a.phase = attempt_phase::ending;
}

void fail(
    context& c, open_state& a, base::failure_code code, std::string detail)
{
    const auto id = a.opened.request;
    const auto attempt = a.opened.attempt;
    c.out.emplace_back(fail_attempt{
        a.entry,
        {id,
         attempt,
         a.opened.position,
         with_state(a.state, code, std::move(detail))}});
    end(c, id, attempt);
}

// --- Opening --------------------------------------------------------------

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

void fence_lower(
    context& c, const base::request_id& id, base::attempt_number by)
{
    std::vector<base::attempt_number> lower;
    for (const auto& a : find_request(c.table, id)->attempts)
        if (a.phase != attempt_phase::ending)
            lower.push_back(a.opened.attempt);
    for (const auto attempt : lower) {
        c.out.emplace_back(fenced{id, attempt, by});
        end(c, id, attempt);
    }
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

// --- Steps ----------------------------------------------------------------

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

void on(context& c, const start_received& e)
{
    auto* a = find_live(c.table, e.message.request, e.message.attempt);
    if (!a || a->started || !is_head(*a))
        return;
    a->started = true;
    run(c, *a, {});
}

void acknowledge_step(context& c, const step_received& e, ack_reason reason)
{
    const auto& m = e.message;
    c.out.emplace_back(acknowledge{
        e.from, {m.request, m.attempt, m.token, m.next_layer}, reason});
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

// --- Ending ---------------------------------------------------------------

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

} // namespace

attempt_table make_attempt_table(stage_identity self, execution_limits limits)
{
    attempt_table table;
    table.self = std::move(self);
    table.limits = limits;
    return table;
}

std::vector<action>
advance(attempt_table& table, const event& what, base::time_point now)
{
    context c{table, now, {}};
    std::visit([&](const auto& e) { on(c, e); }, what);
    return std::move(c.out);
}

std::size_t open_attempts(const attempt_table& table)
{
    std::size_t count = 0;
    for (const auto& id : table.active)
        count += table.requests.at(id).attempts.size();
    return count;
}

std::set<peer_link> entry_links(const attempt_table& table)
{
    std::set<peer_link> links;
    for (const auto& id : table.active)
        for (const auto& a : table.requests.at(id).attempts)
            links.insert(a.entry);
    return links;
}

} // namespace oleanderhinge::chain
