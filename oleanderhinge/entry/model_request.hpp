// One request to a model route at its entry node, as a pure state machine.
//
// The request runs as a sequence of attempts. An attempt reserves a slot at
// the head (the first stage of the chain), then at the other stages, then
// starts. When an attempt fails, the state machine asks its driver
// (request_service) whether another one is allowed. That attempt continues
// from the tokens that the caller already has.
//
// The functions do no I/O and are not thread-safe.
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

// Parameters from the caller and from the configuration of the route.
struct model_request_spec {
    base::request_id id;
    wire::route route;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    base::revision config;
    // A started attempt without a token for this long is abandoned, and so is
    // one whose stages behind the head have not all granted a slot. The first
    // token of an attempt includes the prefill and may take
    // `first_token_stall`.
    base::duration token_stall = std::chrono::milliseconds(1500);
    base::duration first_token_stall = std::chrono::milliseconds(5000);
};

enum class request_phase : std::uint8_t {
    // Waits for the driver to choose a chain.
    choosing,
    // Waits until the head grants a slot.
    opening_head,
    // Waits until all other stages have granted a slot.
    opening_rest,
    // All stages hold a slot and the attempt was started.
    streaming,
    // Waits for the driver's decision on a retry, then for `retry_at`.
    waiting_for_retry,
    finished,
};

struct model_request {
    model_request_spec spec;
    request_phase phase = request_phase::choosing;
    base::attempt_number attempt;
    std::vector<wire::stage> chain;
    // Positions in the chain whose stage granted a slot to this attempt.
    std::set<std::uint32_t> granted;
    chain::answer_assembly answer;
    // Servers that failed this request, or were in a chain that stalled. Later
    // attempts exclude them.
    std::set<base::backend_server_id> avoid;
    // Servers that refused an attempt of this request.
    std::set<base::backend_server_id> refused;
    base::time_point accepted;
    // Last grant, token or change of phase that the stall limits count from.
    base::time_point last_progress;
    // Start of the next attempt; `max()` until the retry is decided.
    base::time_point retry_at;
    // Whether any attempt was started.
    bool started = false;
    // Number of tokens delivered before the current attempt began.
    std::size_t resumed_from = 0;
};

// Choose a chain within `exclusions_of`, then call `on_chosen` or
// `on_no_chain`.
struct choose_chain_action {
};
// Send `content` to the agent of the stage at `position` of the chain.
struct send_action {
    std::uint32_t position = 0;
    wire::message content;
};
// Pass a token to the caller.
struct deliver_action {
    base::token_index index;
    std::string text;
};
// All tokens were delivered; end the answer.
struct complete_action {
    std::string finish_reason;
};
// The request failed; `reason` goes to the caller.
struct fail_action {
    base::verdict reason;
};
// Ask the retry budget, then call `on_retry` or `on_retry_denied`.
struct ask_retry_action {
    base::verdict reason;
};
// Outcome of an attempt at one server; input to the ejection of servers.
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

// Servers that the next chain leaves out.
struct chain_exclusions {
    std::set<base::backend_server_id> avoid;
    // Used if there is no chain without them.
    std::set<base::backend_server_id> last_resort;
};

model_request make_model_request(model_request_spec spec, base::time_point now);

// Commands. Each handles one event and returns the actions to perform, in
// order. An event that does not fit the phase, or is of an earlier attempt,
// returns no action and changes nothing.

// Begins the first or the next attempt.
model_actions begin(model_request& request, base::time_point now);
// Reserves a slot at the head of the chain.
model_actions on_chosen(
    model_request& request,
    std::vector<wire::stage> chain,
    base::time_point now);
// No chain is available: the request fails with `reason`.
model_actions on_no_chain(
    model_request& request, const base::verdict& reason, base::time_point now);
// A stage granted a slot. The grant of the head opens the other stages, and
// the last grant starts the attempt.
model_actions on_granted(
    model_request& request,
    const wire::attempt_granted& message,
    base::time_point now);
// A stage refused a slot. The attempt is abandoned and a retry asked for.
model_actions on_refused(
    model_request& request,
    const wire::attempt_refused& message,
    base::time_point now);
// Delivers the next token. A gap in the token indexes abandons the attempt.
model_actions on_token(
    model_request& request, const wire::token& message, base::time_point now);
// A stage failed. The attempt is abandoned and a retry asked for.
model_actions on_attempt_failed(
    model_request& request,
    const wire::attempt_failed& message,
    base::time_point now);
// The link to the agent at `agent` was lost. Abandons the attempt if one of
// its opened stages runs there.
model_actions on_link_lost(
    model_request& request, const wire::endpoint& agent, base::time_point now);
// Another attempt is allowed; it begins after `wait`.
model_actions
on_retry(model_request& request, base::duration wait, base::time_point now);
// No further attempt is allowed: the request fails with `reason`.
model_actions
on_retry_denied(model_request& request, const base::verdict& reason);
// The caller closed its connection. Closes the opened stages and finishes the
// request without a further delivery.
model_actions on_caller_gone(model_request& request);
// Checks the time limits and begins a retry that is due. The request fails
// with `deadline_exceeded` when the time limit of its route has passed.
model_actions on_tick(model_request& request, base::time_point now);

// Queries.

// Servers that failed are avoided. Servers that refused are avoided until a
// token has been delivered. After that they are the last resort, since an
// answer that cannot go on ends in an error.
chain_exclusions exclusions_of(const model_request& request);

// `ran` if a token was delivered, `may_have_run` if an attempt was started,
// else `not_run`.
base::execution execution_so_far(const model_request& request);
// Time left until the deadline of the request; zero once it has passed.
base::duration time_left(const model_request& request, base::time_point now);

} // namespace oleanderhinge::entry
