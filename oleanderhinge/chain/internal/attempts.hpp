// Helpers shared by the event handlers of chain/execution.hpp.
#pragma once

#include "oleanderhinge/chain/execution.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhinge::chain::internal
{

// State of one call of `advance`.
struct context {
    attempt_table& table;
    base::time_point now;
    std::vector<action> actions;
};

// Queries. Pointers are null if nothing was found, and are valid until the
// record changes.

bool is_head(const attempt_state& state);
bool is_last(const attempt_state& state);
request_record* find_request(attempt_table& table, const base::request_id& id);
attempt_state*
find_attempt(request_record& record, base::attempt_number attempt);
attempt_state* find_attempt(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt);
// The attempt if it has its slot and has not ended.
attempt_state* find_granted(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt);
// Whether a step ran at this stage of an attempt that is not open.
base::execution
ended_execution(const request_record& record, base::attempt_number attempt);
base::verdict make_verdict(
    base::execution execution, base::failure_code code, std::string detail);
// Estimated number of tokens that prefill reads.
std::uint64_t estimate_prompt_tokens(const wire::open_attempt& m);

// Commands.

// Schedules the removal of a record whose last attempt ended now.
void schedule_removal(
    context& c, const base::request_id& id, request_record& record);
// Removes an open attempt from the table, releases its slot and its state on
// the engine, and answers a pending `close_attempt`.
void remove_attempt(
    context& c, const base::request_id& id, base::attempt_number attempt);
// Ends an open attempt: at once, or when the engine has answered if it is
// running a step.
void end_attempt(
    context& c, const base::request_id& id, base::attempt_number attempt);
// Ends an open attempt and reports the failure to its entry node. `state` may
// be dangling afterwards.
void end_with_failure(
    context& c,
    attempt_state& state,
    base::failure_code code,
    std::string detail);
// Ends all open attempts of the request, because of the higher attempt `by`,
// which is not open.
void fence_lower(
    context& c, const base::request_id& id, base::attempt_number by);

// Event handlers, in opening.cpp.
void handle(context& c, const open_received& e);
void handle(context& c, const slot_granted& e);
void handle(context& c, const slot_refused& e);
// In steps.cpp.
void handle(context& c, const start_received& e);
void handle(context& c, const step_received& e);
void handle(context& c, const ack_received& e);
void handle(context& c, const step_finished& e);
// In ending.cpp.
void handle(context& c, const engine_lost& e);
void handle(context& c, const close_received& e);
void handle(context& c, const link_closed& e);
void handle(context& c, const availability_changed& e);
void handle(context& c, const ticked& e);

} // namespace oleanderhinge::chain::internal
