// One call to a plain service at its entry node, as a pure state machine.
//
// If the route is not idempotent, the idempotency key of the call is claimed in
// the replicated log before the call is sent, and its outcome is recorded there
// before the caller is answered. After `may_have_run` such a call is never sent
// again. If the outcome can't be recorded within `record_limit`, the caller is
// answered without the record.
//
// The functions do no I/O and are not thread-safe.
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

// Parameters from the caller and from the configuration of the route.
struct service_call_spec {
    base::request_id id;
    wire::route route;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    std::string method;
    std::string target;
    std::vector<wire::header> headers;
    std::string body;
    // Key of the claim; used if the route is not idempotent.
    std::string idempotency_key;
    // SHA-256 of the request, which tells a resend from a different request
    // under the same key.
    wire::digest request_digest{};
    // Interval at which an unanswered claim or outcome report is sent again.
    base::duration control_retry = std::chrono::milliseconds(300);
    // Longest wait for the grant of the claim and for the acknowledgment of
    // the recorded outcome.
    base::duration claim_limit = std::chrono::milliseconds(3000);
    base::duration record_limit = std::chrono::milliseconds(3000);
};

enum class call_phase : std::uint8_t {
    // Waits for the reply to the claim.
    claiming,
    // Another request holds the claim; waits for its outcome.
    waiting_for_outcome,
    // Waits for the driver to choose a server.
    choosing,
    // Waits for the result of the call.
    sent,
    // Waits for the driver's decision on a retry, then for `repeat_at`.
    waiting_for_retry,
    // Waits until the outcome is stored.
    recording,
    finished,
};

struct service_call {
    service_call_spec spec;
    call_phase phase = call_phase::claiming;
    base::attempt_number attempt;
    base::backend_server_id server;
    wire::endpoint agent;
    // Servers that failed or refused this call. Retries exclude them.
    std::set<base::backend_server_id> avoid;
    base::time_point accepted;
    // Start of the current phase.
    base::time_point phase_since;
    // When the message or attempt of this phase is due again.
    base::time_point repeat_at;
    // Whether this request may hold the claim: it was granted, or requested
    // without a reply yet.
    bool claimed = false;
    // Outcome to record and to answer with: `answer` if `failure` has the code
    // `none`.
    base::verdict failure;
    wire::response answer;
};

// Send the claim of the idempotency key to control.
struct claim_action {
};
// Report `failure` and `answer` of the call to control, which stores them, or
// releases the claim if the failure is `not_run`.
struct record_action {
};
// Choose a server that is not in `avoid`, then call `on_server_chosen` or
// `on_no_server`.
struct choose_server_action {
};
// Send the call to `agent` of the service_call.
struct send_call_action {
    wire::call content;
};
// Ask the agent to drop the call if it still waits in its queue.
struct cancel_call_action {
    wire::cancel_call content;
};
// Send `answer` to the caller.
struct answer_action {
    wire::response answer;
    // Whether the answer was recorded for an earlier request with this key.
    bool replayed = false;
};
// The call failed; `reason` goes to the caller.
struct call_failed_action {
    base::verdict reason;
};
// Ask the retry budget, then call `on_call_retry` or `on_call_retry_denied`.
struct ask_call_retry_action {
    base::verdict reason;
};
// Outcome of the call at its server; input to the ejection of servers.
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

// Commands. Each handles one event and returns the actions to perform, in
// order. An event that does not fit the phase, or is of an earlier attempt,
// returns no action and changes nothing.

// Claims the key, or chooses a server if the route needs no claim.
call_actions begin(service_call& call, base::time_point now);
// A granted claim leads to the choice of a server. The outcome of an earlier
// request with the same key is replayed. Errors: `conflict` if the key
// was used for a different request, `duplicate` (`may_have_run`) if it is older
// than the retention of claims, `overloaded` if the table of claims is full.
call_actions on_claim_reply(
    service_call& call, const wire::claim_reply& reply, base::time_point now);
// Sends the call to `agent`, which runs `server`.
call_actions on_server_chosen(
    service_call& call,
    base::backend_server_id server,
    wire::endpoint agent,
    base::incarnation agent_incarnation,
    base::time_point now);
// No server is available: the call fails with `reason`.
call_actions on_no_server(
    service_call& call, const base::verdict& reason, base::time_point now);
// Ends the call with the answer of the server. A failure is retried if it is
// `not_run` or the route is idempotent, else it ends the call.
call_actions on_call_result(
    service_call& call, const wire::call_result& result, base::time_point now);
// The link to the agent was lost. `was_open` is false if no message can have
// reached the agent; only then is the failure `not_run`.
call_actions on_call_link_lost(
    service_call& call,
    const wire::endpoint& agent,
    bool was_open,
    base::time_point now);
// Another attempt is allowed; it begins after `wait`.
call_actions
on_call_retry(service_call& call, base::duration wait, base::time_point now);
// No further attempt is allowed: the call fails with `reason`.
call_actions on_call_retry_denied(
    service_call& call, const base::verdict& reason, base::time_point now);
// Control acknowledged the outcome report. Answers the caller if it was stored;
// otherwise the report is sent again at `repeat_at`.
call_actions on_outcome_ack(service_call& call, bool stored);
// Checks the time limits and repeats what is due.
call_actions on_call_tick(service_call& call, base::time_point now);

// Queries.

// Whether the call must be claimed: its route is not idempotent.
bool needs_claim(const service_call& call);
// Time left until the time limit of the route; zero once it has passed.
base::duration time_left(const service_call& call, base::time_point now);

} // namespace oleanderhinge::entry
