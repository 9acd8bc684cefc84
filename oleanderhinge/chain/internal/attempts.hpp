// Parts that the handling of all events of chain/execution.hpp shares.
#pragma once

#include "oleanderhinge/chain/execution.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhinge::chain::internal
{

// One call of `advance`.
struct context {
    attempt_table& table;
    base::time_point now;
    std::vector<action> out;
};

// Queries. Pointers are null if there is no such thing and hold until the
// record changes.

bool is_head(const open_state& a);
bool is_last(const open_state& a);
request_record* find_request(attempt_table& table, const base::request_id& id);
open_state* find_attempt(request_record& record, base::attempt_number attempt);
open_state* find_attempt(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt);
// An attempt that may still run steps.
open_state* find_live(
    attempt_table& table,
    const base::request_id& request,
    base::attempt_number attempt);
// Whether a step of an attempt ran that is not open any more.
base::execution
ended_state(const request_record& record, base::attempt_number attempt);
base::verdict
with_state(base::execution state, base::failure_code code, std::string detail);
// Tokens that prefill reads.
std::uint64_t prompt_tokens(const wire::open_attempt& m);

// Commands.

void schedule_forgetting(
    context& c, const base::request_id& id, request_record& record);
// Removes an attempt from the table and gives back what it holds.
void remove(
    context& c, const base::request_id& id, base::attempt_number attempt);
// Ends an attempt: at once, or when the engine has answered.
void end(context& c, const base::request_id& id, base::attempt_number attempt);
// Ends an attempt and tells its entry node. `a` is gone afterwards.
void fail(
    context& c, open_state& a, base::failure_code code, std::string detail);
// Ends the attempts of a request because of a higher one.
void fence_lower(
    context& c, const base::request_id& id, base::attempt_number by);

// Events, in opening.cpp.
void on(context& c, const open_received& e);
void on(context& c, const slot_granted& e);
void on(context& c, const slot_refused& e);
// In steps.cpp.
void on(context& c, const start_received& e);
void on(context& c, const step_received& e);
void on(context& c, const ack_received& e);
void on(context& c, const step_finished& e);
// In ending.cpp.
void on(context& c, const engine_lost& e);
void on(context& c, const close_received& e);
void on(context& c, const link_closed& e);
void on(context& c, const intake_changed& e);
void on(context& c, const ticked& e);

} // namespace oleanderhinge::chain::internal
