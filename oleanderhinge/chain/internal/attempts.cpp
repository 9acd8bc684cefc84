#include "oleanderhinge/chain/internal/attempts.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

// Ended attempts that a record keeps for repeated `close_attempt` messages.
constexpr std::size_t max_ended = 8;
// Usual size of a token of English text, for the estimate of the prompt.
constexpr std::size_t bytes_per_token = 4;

} // namespace

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

std::uint64_t prompt_tokens(const wire::open_attempt& m)
{
    return m.prompt.size() / bytes_per_token + m.delivered.size() + 1;
}

namespace
{

std::uint64_t tokens_used(const open_state& a)
{
    if (a.state == base::execution::not_run)
        return 0;
    const auto here = a.next_token.value() - a.opened.delivered.size();
    return prompt_tokens(a.opened) +
           std::max<std::uint64_t>(here, a.generated.value());
}

} // namespace

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
        record.attempts.shrink_to_fit();
        c.table.active.erase(id);
        schedule_forgetting(c, id, record);
    }
}

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

} // namespace oleanderhinge::chain::internal
