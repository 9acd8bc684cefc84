// One call to a plain service at its entry node, as a pure state machine.
//
// A call of a route that is not idempotent is claimed in the replicated log
// before it is sent, and its outcome is recorded there before the caller is
// answered. After `may_have_run` such a call is never sent again.
//
// Example:
//   service_call call = make_service_call(spec, now);
//   for (auto& action : begin(call, now)) perform(action);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhinge::entry
{

struct service_call_spec {
    base::request_id id;
    wire::route route;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    std::string method;
    std::string target;
    std::vector<wire::header> headers;
    std::string body;
    // Key for the claim; set for routes that are not idempotent.
    std::string idempotency_key;
    wire::digest request_digest{};
    // Interval at which a claim or a report without answer is sent again.
    base::duration control_retry = std::chrono::milliseconds(300);
    // Limits for the claim and for recording the outcome.
    base::duration claim_limit = std::chrono::milliseconds(3000);
    base::duration record_limit = std::chrono::milliseconds(3000);
};

enum class call_phase : std::uint8_t {
    claiming,
    // Another request owns the key; its outcome is awaited.
    waiting_for_outcome,
    choosing,
    sent,
    waiting_for_retry,
    recording,
    finished,
};

struct service_call {
    service_call_spec spec;
    call_phase phase = call_phase::claiming;
    base::attempt_number attempt;
    base::backend_server_id server;
    wire::endpoint agent;
    std::set<base::backend_server_id> avoid;
    base::time_point accepted;
    // Start of the present phase and time of the next repeat.
    base::time_point phase_since;
    base::time_point repeat_at;
    // Whether the claim may be held by this request.
    bool claimed = false;
    // Result that is being recorded.
    base::verdict failure;
    wire::response answer;
};

struct claim_action {
};
// Record `failure` and `answer`, or release the claim if `not_run`.
struct record_action {
};
struct choose_server_action {
};
struct send_call_action {
    wire::call content;
};
struct cancel_call_action {
    wire::cancel_call content;
};
struct answer_action {
    wire::response answer;
    // The answer was recorded for an earlier request with the same key.
    bool replayed = false;
};
struct call_failed_action {
    base::verdict reason;
};
struct ask_call_retry_action {
    base::verdict reason;
};
struct report_server_action {
    base::backend_server_id server;
    bool success = true;
};

using call_action = std::variant<
    claim_action,
    record_action,
    choose_server_action,
    send_call_action,
    cancel_call_action,
    answer_action,
    call_failed_action,
    ask_call_retry_action,
    report_server_action>;
using call_actions = std::vector<call_action>;

service_call make_service_call(service_call_spec spec, base::time_point now);

// Commands. Each takes an event and returns what to do, in order.

call_actions begin(service_call& call, base::time_point now);
call_actions on_claim_reply(
    service_call& call, const wire::claim_reply& reply, base::time_point now);
call_actions on_server_chosen(
    service_call& call,
    base::backend_server_id server,
    wire::endpoint agent,
    base::incarnation agent_incarnation,
    base::time_point now);
call_actions on_no_server(
    service_call& call, const base::verdict& reason, base::time_point now);
call_actions on_call_result(
    service_call& call, const wire::call_result& result, base::time_point now);
// The link to the agent was lost. `was_open` is false if no message can have
// reached the agent.
call_actions on_call_link_lost(
    service_call& call,
    const wire::endpoint& agent,
    bool was_open,
    base::time_point now);
call_actions
on_call_retry(service_call& call, base::duration wait, base::time_point now);
call_actions on_call_retry_denied(
    service_call& call, const base::verdict& reason, base::time_point now);
call_actions on_outcome_ack(service_call& call, bool stored);
call_actions on_call_tick(service_call& call, base::time_point now);

// Queries.

// Whether the route needs a claim for each call.
bool needs_claim(const service_call& call);
base::duration time_left(const service_call& call, base::time_point now);

} // namespace oleanderhinge::entry
