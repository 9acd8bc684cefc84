// One request to a model route at its entry node, as a pure state machine.
//
// The request runs as a sequence of attempts. An attempt reserves a slot at
// the head, then at the other stages, then starts. When an attempt fails, the
// driver is asked whether a further one is allowed; it continues from the
// tokens that the caller already has.
//
// Example:
//   model_request request = make_model_request(spec, now);
//   for (auto& action : begin(request, now)) perform(action);
//   for (auto& action : on_token(request, token, now)) perform(action);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/chain/assembly.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhinge::entry
{

// What the caller asked for and what the configuration says about it.
struct model_request_spec {
    base::request_id id;
    wire::route route;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    base::revision config;
    // Time without progress after which a started attempt is given up. The
    // first token of an attempt, which includes the prefill, may take
    // `first_token_stall`.
    base::duration token_stall = std::chrono::milliseconds(1500);
    base::duration first_token_stall = std::chrono::milliseconds(5000);
};

enum class request_phase : std::uint8_t {
    // Waits for the driver to choose a chain.
    choosing,
    // Waits for the grant of the head.
    opening_head,
    // Waits for the grants of the other stages.
    opening_rest,
    // Started.
    streaming,
    // Waits for the driver to allow another attempt.
    waiting_for_retry,
    finished,
};

struct model_request {
    model_request_spec spec;
    request_phase phase = request_phase::choosing;
    base::attempt_number attempt;
    std::vector<wire::stage> chain;
    // Positions of the chain that hold a slot.
    std::set<std::uint32_t> granted;
    chain::assembly answer;
    // Servers that failed or refused this request.
    std::set<base::backend_server_id> avoid;
    base::time_point accepted;
    base::time_point last_progress;
    base::time_point retry_at;
    // Whether any attempt was started.
    bool started = false;
    // Tokens that had been delivered when the present attempt began.
    std::size_t resumed_from = 0;
};

// Choose a chain without the servers in `avoid`, then call `on_chosen` or
// `on_no_chain`.
struct choose_chain_action {
};
struct send_action {
    std::uint32_t position = 0;
    wire::message content;
};
// Pass a token to the caller.
struct deliver_action {
    base::token_index index;
    std::string text;
};
struct complete_action {
    std::string finish_reason;
};
struct fail_action {
    base::verdict reason;
};
// Ask the retry budget, then call `on_retry` or `on_retry_denied`.
struct ask_retry_action {
    base::verdict reason;
};
// A stage did well or badly; for ejection and load correction.
struct report_stage_action {
    base::backend_server_id server;
    bool success = true;
};

using model_action = std::variant<
    choose_chain_action,
    send_action,
    deliver_action,
    complete_action,
    fail_action,
    ask_retry_action,
    report_stage_action>;
using model_actions = std::vector<model_action>;

model_request make_model_request(model_request_spec spec, base::time_point now);

// Commands. Each takes an event and returns what to do, in order.

model_actions begin(model_request& request, base::time_point now);
model_actions on_chosen(
    model_request& request,
    std::vector<wire::stage> chain,
    base::time_point now);
model_actions on_no_chain(
    model_request& request, const base::verdict& reason, base::time_point now);
model_actions on_granted(
    model_request& request,
    const wire::attempt_granted& message,
    base::time_point now);
model_actions on_refused(
    model_request& request,
    const wire::attempt_refused& message,
    base::time_point now);
model_actions on_token(
    model_request& request, const wire::token& message, base::time_point now);
model_actions on_attempt_failed(
    model_request& request,
    const wire::attempt_failed& message,
    base::time_point now);
// The link to the agent at `agent` was lost.
model_actions on_link_lost(
    model_request& request, const wire::endpoint& agent, base::time_point now);
model_actions
on_retry(model_request& request, base::duration wait, base::time_point now);
model_actions
on_retry_denied(model_request& request, const base::verdict& reason);
// The caller closed its connection.
model_actions on_caller_gone(model_request& request);
// Checks the time limits.
model_actions on_tick(model_request& request, base::time_point now);

// Queries.

// Whether the request may have run so far.
base::execution execution_so_far(const model_request& request);
// Time left for the whole request; zero if it is over.
base::duration time_left(const model_request& request, base::time_point now);

} // namespace oleanderhinge::entry
