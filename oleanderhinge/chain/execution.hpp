// State machine of one pipeline stage: decides which layer steps the agent runs
// on its engine, and in which order.
//
// `advance` applies one event to the attempt table and returns the actions to
// carry out; it does no I/O. A step runs only if it begins at the agent's own
// first layer, once for each (request, attempt, token), and in token order. A
// repeated step is acknowledged and not run. A higher attempt of a request
// fences the lower ones: none of their steps runs from then on.
//
// Fences. The table keeps the highest attempt of each request for
// `execution_limits::fence_retention` after the request's last attempt ended. A
// step of a request that was removed never runs, since a step needs an open
// attempt; the fence only rejects an `open_attempt` that arrives late. Entry
// nodes number the attempts of a request upwards, and a link closes when its
// oldest message has not been confirmed within the idle silence limit (12 s),
// so that no `open_attempt` arrives later than that. The table keeps at most
// `execution_limits::max_requests` requests. When full, it refuses new requests
// and removes none early.
//
// Example:
//   attempt_table table{self, limits};
//   for (auto& a : advance(table, open_received{message, link}, now))
//       carry_out(a);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oleanderhinge::chain
{

// Identifies a link to another process; 0 is no link.
using peer_link = base::strong<struct peer_link_tag, std::uint64_t>;

// Server, incarnation and layers of this agent. An attempt is refused if its
// chain names others at the agent's position, or does not cover `layer_count`
// layers without gap or overlap.
struct stage_identity {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
};

struct execution_limits {
    // A forwarded step is sent again if it is not acknowledged within this
    // time.
    base::duration step_timeout = std::chrono::milliseconds(300);
    // Number of times that a step is sent, including the first, before the
    // attempt fails. Three tries end before the entry node's token stall limit
    // of 1,500 ms.
    std::uint32_t step_tries = 3;
    // Time for which a request is kept after its last attempt ended.
    base::duration fence_retention = std::chrono::seconds(60);
    // Requests in one table, including those kept only as a fence. A record
    // without an open attempt takes about 200 bytes.
    std::size_t max_requests = 4096;
};

// --- Events ---------------------------------------------------------------

struct open_received {
    wire::open_attempt message;
    peer_link from;
};

// Answers to `request_slot`.
struct slot_granted {
    base::request_id request;
    base::attempt_number attempt;
};

struct slot_refused {
    base::request_id request;
    base::attempt_number attempt;
    base::verdict reason;
};

struct start_received {
    wire::start_attempt message;
};

struct step_received {
    wire::layer_step message;
    peer_link from;
};

struct ack_received {
    wire::step_ack message;
};

// The engine's answer to `run_step`.
struct step_finished {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index token;
    // Its code is `none` if the layers ran.
    base::verdict failure;
    // Output of the layers, for the next stage.
    std::string activation;
    // Set by the last stage only.
    std::string text;
    bool last = false;
    std::string finish_reason;
};

// The engine stopped answering. All attempts that have not ended fail.
struct engine_lost {
    std::string detail;
};

struct close_received {
    wire::close_attempt message;
    peer_link from;
};

struct link_closed {
    peer_link link;
};

// Whether the agent accepts new attempts, or the layers of its engine, changed.
// New attempts are refused with `refusal` if it is set. Open attempts fail only
// if the layers changed.
struct availability_changed {
    std::optional<base::verdict> refusal;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
};

// Periodic timer: resends unacknowledged steps, fails attempts whose time
// budget has expired and removes expired fences. Needed at least every
// `step_timeout`.
struct ticked {
};

using event = std::variant<
    open_received,
    slot_granted,
    slot_refused,
    start_received,
    step_received,
    ack_received,
    step_finished,
    engine_lost,
    close_received,
    link_closed,
    availability_changed,
    ticked>;

// --- Actions --------------------------------------------------------------

// Request a slot. At the head the request may wait in the queue; at other
// stages it is granted or refused at once.
struct request_slot {
    base::request_id request;
    base::attempt_number attempt;
    bool head = false;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    // Estimated number of tokens of the prompt and of those already delivered.
    std::uint64_t prompt_tokens = 0;
    // Upper limit of the answer's tokens; 0 for none.
    std::uint32_t max_tokens = 0;
    // Time left for the first token and for the whole request.
    std::uint32_t first_token_budget_ms = 0;
    std::uint32_t budget_ms = 0;
};

// Release the slot, or leave the queue if none has been granted.
struct release_slot {
    base::request_id request;
    base::attempt_number attempt;
    // Tokens to charge to the customer: those of the prompt (estimated) and the
    // generated ones; 0 if no step ran.
    std::uint64_t tokens = 0;
};

// Run the stage's layers on the engine for one token.
struct run_step {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index token;
    base::layer_index next_layer;
    std::string activation;
    // At the head, for the second token of the attempt: the first token has
    // been generated.
    bool starts_second_token = false;
    // Set for the first step of an attempt, which also prefills the prompt and
    // the delivered tokens. These are passed with this step only.
    bool prefill = false;
    std::string prompt;
    std::vector<std::string> delivered;
    std::string adapter;
    std::uint32_t max_tokens = 0;
    base::rank work_rank = base::rank::standard;
    // Rest of the request's time budget.
    base::duration time_left{};
};

// Tell the engine that it may free its state of the attempt.
struct free_engine_state {
    base::request_id request;
    base::attempt_number attempt;
};

// Send a step to another stage.
struct forward_step {
    wire::endpoint to;
    wire::layer_step message;
    // 1 for the first transmission.
    std::uint32_t try_number = 1;
};

// Why a step is acknowledged: it was accepted, it is a repeat of an accepted
// one, or its attempt is fenced.
enum class ack_reason : std::uint8_t { accepted, repeated, fenced };

// Acknowledge a step, so that its sender does not send it again.
struct acknowledge {
    peer_link to;
    wire::step_ack message;
    ack_reason reason = ack_reason::accepted;
};

// Neither run nor acknowledge the step. Its sender sends it again and fails the
// attempt after `step_tries`.
struct refuse_step {
    wire::layer_step message;
    std::string reason;
};

// Send a generated token to the entry node.
struct send_token {
    peer_link to;
    wire::token message;
};

// Tell the entry node that the attempt has its slot. The caller fills in the
// load report of the message; the same holds for `refuse_attempt` and
// `confirm_close`.
struct grant_attempt {
    peer_link to;
    wire::attempt_granted message;
};

// Tell the entry node that the attempt was refused.
struct refuse_attempt {
    peer_link to;
    wire::attempt_refused message;
};

// Tell the entry node that the attempt failed. The state of the verdict says
// whether a step of the attempt ran at this stage.
struct fail_attempt {
    peer_link to;
    wire::attempt_failed message;
};

// Answer `close_attempt`. The state of the message says whether a step of the
// attempt ran at this stage. It is also `may_have_run` if the table is full and
// the attempt unknown, since a late `open_attempt` is then not fenced.
struct confirm_close {
    peer_link to;
    wire::attempt_closed message;
};

// Record in the timeline that a higher attempt ended this one.
struct record_fenced {
    base::request_id request;
    base::attempt_number attempt;
    base::attempt_number by;
};

using action = std::variant<
    request_slot,
    release_slot,
    run_step,
    free_engine_state,
    forward_step,
    acknowledge,
    refuse_step,
    send_token,
    grant_attempt,
    refuse_attempt,
    fail_attempt,
    confirm_close,
    record_fenced>;

// --- State ----------------------------------------------------------------

enum class attempt_phase : std::uint8_t {
    // Waits for its slot.
    waiting,
    // Has its slot; steps may run.
    granted,
    // Ended while the engine runs a step. The slot is held until the engine
    // answers.
    ending,
};

// A forwarded step that has not been acknowledged.
struct unacknowledged_step {
    wire::endpoint to;
    wire::layer_step message;
    std::uint32_t tries = 1;
    base::time_point resend_at;
};

// An attempt that holds a slot or waits for one.
struct attempt_state {
    wire::open_attempt open_message;
    peer_link entry_link;
    attempt_phase phase = attempt_phase::waiting;
    base::time_point deadline;
    bool started = false;
    // Next token to run at this stage.
    base::token_index next_token;
    // Token whose step the engine is running.
    std::optional<base::token_index> running_token;
    base::execution execution = base::execution::not_run;
    std::optional<unacknowledged_step> unacknowledged;
    // Link on which `attempt_closed` is to be sent; 0 for none.
    peer_link close_reply_link;
    // Number of generated tokens that the entry node reported.
    base::token_count reported_generated;
};

// An attempt that ended, and whether a step of it ran at this stage.
struct ended_attempt {
    base::attempt_number attempt;
    base::execution execution = base::execution::not_run;
};

struct request_record {
    // Highest attempt seen. Lower ones are fenced; the highest is fenced too if
    // `highest_fenced` is set.
    base::attempt_number highest_attempt;
    bool highest_fenced = false;
    base::time_point remove_at;
    // Open attempts in ascending order. More than one only while the engine
    // still runs a step of a fenced attempt.
    std::vector<attempt_state> attempts;
    std::vector<ended_attempt> ended_attempts;
};

// To be changed only through `advance`.
struct attempt_table {
    stage_identity self;
    execution_limits limits;
    // Set while new attempts are refused.
    std::optional<base::verdict> refusal;
    std::unordered_map<base::request_id, request_record> requests;
    // Requests with open attempts, ordered, so that the order of actions is
    // deterministic.
    std::set<base::request_id> active;
    // Records to remove, in order of time.
    std::deque<std::pair<base::time_point, base::request_id>> removal_queue;
};

attempt_table make_attempt_table(stage_identity self, execution_limits limits);

// Applies one event and returns the actions to carry out, in order.
// Deterministic: the same events at the same times give the same actions.
std::vector<action>
advance(attempt_table& table, const event& input, base::time_point now);

// Number of open attempts, including those that end when the engine answers.
std::size_t open_attempts(const attempt_table& table);

// Links on which the open attempts were opened.
std::set<peer_link> entry_links(const attempt_table& table);

} // namespace oleanderhinge::chain
