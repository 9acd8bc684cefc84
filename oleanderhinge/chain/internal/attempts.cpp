#include "oleanderhinge/chain/internal/attempts.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::chain::internal
{

namespace
{

// Ended attempts that a record keeps, to answer repeated `close_attempt`
// messages.
constexpr std::size_t max_ended_attempts = 8;
// Typical size of a token of English text, to estimate the prompt's tokens.
constexpr std::size_t bytes_per_token = 4;

} // namespace

bool is_head(const attempt_state& state)
{
    return state.open_message.position == 0;
}

bool is_last(const attempt_state& state)
{
    return state.open_message.position + 1 == state.open_message.chain.size();
}

request_record* find_request(attempt_table& table, const base::request_id& id)
{
    const auto found = table.requests.find(id);
    return found == table.requests.end() ? nullptr : &found->second;
}

attempt_state*
find_attempt(request_record& record, base::attempt_number attempt)
{
    for (auto& state : record.attempts)
        if (state.open_message.attempt == attempt)
            return &state;
    return nullptr;
}

attempt_state* find_attempt(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt)
{
    auto* record = find_request(table, request);
    return record ? find_attempt(*record, attempt) : nullptr;
}

attempt_state* find_granted(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt)
{
    auto* found = find_attempt(table, request, attempt);
    return found && found->phase == attempt_phase::granted ? found : nullptr;
}

// An attempt that is not recorded was fenced before it was opened here, so no
// step of it ran, unless older attempts may have been dropped from the record.
base::execution
ended_execution(const request_record& record, base::attempt_number attempt)
{
    for (const auto& e : record.ended_attempts)
        if (e.attempt == attempt)
            return e.execution;
    return record.ended_attempts.size() < max_ended_attempts
               ? base::execution::not_run
               : base::execution::may_have_run;
}

base::verdict make_verdict(
    base::execution execution, base::failure_code code, std::string detail)
{
    return {execution, code, std::move(detail), std::chrono::milliseconds(0)};
}

void schedule_removal(
    context& c, const base::request_id& id, request_record& record)
{
    record.remove_at = c.now + c.table.limits.fence_retention;
    c.table.removal_queue.emplace_back(record.remove_at, id);
}

std::uint64_t estimate_prompt_tokens(const wire::open_attempt& m)
{
    return m.prompt.size() / bytes_per_token + m.delivered.size() + 1;
}

namespace
{

std::uint64_t tokens_used(const attempt_state& state)
{
    if (state.execution == base::execution::not_run)
        return 0;
    const auto steps_run =
        state.next_token.value() - state.open_message.delivered.size();
    return estimate_prompt_tokens(state.open_message) +
           std::max<std::uint64_t>(steps_run, state.reported_generated.value());
}

} // namespace

void remove_attempt(
    context& c, const base::request_id& id, base::attempt_number attempt)
{
    auto& record = *find_request(c.table, id);
    auto& state = *find_attempt(record, attempt);
    c.actions.emplace_back(release_slot{id, attempt, tokens_used(state)});
    if (state.execution != base::execution::not_run)
        c.actions.emplace_back(free_engine_state{id, attempt});
    if (state.close_reply_link != peer_link{})
        c.actions.emplace_back(confirm_close{
            state.close_reply_link,
            {id, attempt, state.open_message.position, state.execution, {}}});
    if (record.ended_attempts.size() == max_ended_attempts)
        record.ended_attempts.erase(record.ended_attempts.begin());
    record.ended_attempts.push_back({attempt, state.execution});
    std::erase_if(record.attempts, [&](const attempt_state& other) {
        return other.open_message.attempt == attempt;
    });
    if (record.attempts.empty()) {
        record.attempts.shrink_to_fit();
        c.table.active.erase(id);
        schedule_removal(c, id, record);
    }
}

void end_attempt(
    context& c, const base::request_id& id, base::attempt_number attempt)
{
    auto& record = *find_request(c.table, id);
    auto& state = *find_attempt(record, attempt);
    if (attempt == record.highest_attempt)
        record.highest_fenced = true;
    state.unacknowledged.reset();
    if (!state.running_token)
        return remove_attempt(c, id, attempt);
    state.phase = attempt_phase::ending;
}

void end_with_failure(
    context& c,
    attempt_state& state,
    base::failure_code code,
    std::string detail)
{
    const auto id = state.open_message.request;
    const auto attempt = state.open_message.attempt;
    c.actions.emplace_back(fail_attempt{
        state.entry_link,
        {id,
         attempt,
         state.open_message.position,
         make_verdict(state.execution, code, std::move(detail))}});
    end_attempt(c, id, attempt);
}

void fence_lower(
    context& c, const base::request_id& id, base::attempt_number by)
{
    std::vector<base::attempt_number> lower;
    for (const auto& state : find_request(c.table, id)->attempts)
        if (state.phase != attempt_phase::ending)
            lower.push_back(state.open_message.attempt);
    for (const auto attempt : lower) {
        c.actions.emplace_back(record_fenced{id, attempt, by});
        end_attempt(c, id, attempt);
    }
}

} // namespace oleanderhinge::chain::internal
