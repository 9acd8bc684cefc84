// The agent's side of a chain: which layer steps run, and in which order.
//
// The attempt table takes one event at a time and returns what is to be done.
// It runs a step only at the agent's own first layer, once for each (request,
// attempt, token) and in order of the tokens. A repeated step is acknowledged
// and not run. A higher attempt of a request fences the lower ones.
//
// Fences. The table remembers the highest attempt of each request for
// `limits.fence_time` after its last attempt ended. A step of a request that
// was forgotten never runs, because a step needs an open attempt; the fence
// only keeps off an `open_attempt` that arrives late. An entry node numbers
// the attempts of a request upwards, and a link closes when its oldest message
// is not proved to have arrived within the idle silence limit (12 s), so no
// `open_attempt` arrives later than that. At most `limits.max_requests` are
// remembered. A full table refuses new requests and never forgets one early.
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

// A link to another process; 0 stands for no link.
using peer_link = base::strong<struct peer_link_tag, std::uint64_t>;

// What this agent is. Chains that name something else are refused.
struct stage_identity {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
};

struct execution_limits {
    // Time for the acknowledgment of a forwarded step.
    base::duration step_timeout = std::chrono::milliseconds(300);
    // Times that a step is sent in total before the attempt fails. Three tries
    // end below the entry node's token stall limit of 1,500 ms.
    std::uint32_t step_tries = 3;
    base::duration fence_time = std::chrono::seconds(60);
    // Requests in one table, with those that are only remembered. A record
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
    // `code` is `none` when the layers ran.
    base::verdict failure;
    // Output of the layers, for the next stage.
    std::string activation;
    // Last stage only.
    std::string text;
    bool last = false;
    std::string finish_reason;
};

// The engine stopped answering; no attempt can go on.
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

// New attempts are refused with `refusal`; without one they are taken. The
// layers that the engine holds may have changed.
struct intake_changed {
    std::optional<base::verdict> refusal;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
};

// Time has passed: resends steps, ends attempts whose time budget is over and
// forgets old fences. To be given at least every `step_timeout`.
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
    intake_changed,
    ticked>;

// --- Actions --------------------------------------------------------------

// Get a slot: at the head through the queue, elsewhere at once or not at all.
struct request_slot {
    base::request_id request;
    base::attempt_number attempt;
    bool head = false;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    // Estimated tokens of the prompt and those delivered, and the bound of the
    // answer.
    std::uint64_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    std::uint32_t first_token_budget_ms = 0;
    std::uint32_t budget_ms = 0;
};

// Give the slot back, or leave the queue if none was granted yet.
struct release_slot {
    base::request_id request;
    base::attempt_number attempt;
    // Tokens to charge to the customer: of the prompt and generated ones; 0 if
    // no step ran.
    std::uint64_t tokens = 0;
};

struct run_step {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index token;
    base::layer_index next_layer;
    std::string activation;
    // The first token of the attempt is known to the head: it begins the
    // second one.
    bool second_of_head = false;
    // With the first step of an attempt only: what prefill needs.
    bool prefill = false;
    std::string prompt;
    std::vector<std::string> delivered;
    std::string adapter;
    std::uint32_t max_tokens = 0;
    base::rank work_rank = base::rank::standard;
    // Until the request's time budget is over.
    base::duration time_left{};
};

// The engine may drop what it holds for the attempt.
struct forget_on_engine {
    base::request_id request;
    base::attempt_number attempt;
};

struct forward_step {
    wire::endpoint to;
    wire::layer_step message;
    // 1 for the first time.
    std::uint32_t try_number = 1;
};

enum class ack_reason : std::uint8_t { taken, repeated, fenced };

struct acknowledge {
    peer_link to;
    wire::step_ack message;
    ack_reason reason = ack_reason::taken;
};

// The step is not run and not acknowledged; the sender's tries end the attempt.
struct refuse_step {
    wire::layer_step message;
    std::string reason;
};

struct send_token {
    peer_link to;
    wire::token message;
};

// The load reports of these answers are filled in by the caller.
struct grant {
    peer_link to;
    wire::attempt_granted message;
};

struct refuse {
    peer_link to;
    wire::attempt_refused message;
};

// The verdict's state says whether a step of the attempt ran at this stage.
struct fail_attempt {
    peer_link to;
    wire::attempt_failed message;
};

struct confirm_close {
    peer_link to;
    wire::attempt_closed message;
};

// A lower attempt ended because of a higher one. For the time line.
struct fenced {
    base::request_id request;
    base::attempt_number attempt;
    base::attempt_number by;
};

using action = std::variant<
    request_slot,
    release_slot,
    run_step,
    forget_on_engine,
    forward_step,
    acknowledge,
    refuse_step,
    send_token,
    grant,
    refuse,
    fail_attempt,
    confirm_close,
    fenced>;

// --- State ----------------------------------------------------------------

enum class attempt_phase : std::uint8_t {
    // Waits for its slot.
    waiting,
    granted,
    // Ended while the engine runs a step; the slot is held until it answers.
    ending,
};

// A forwarded step without its acknowledgment.
struct unacknowledged_step {
    wire::endpoint to;
    wire::layer_step message;
    std::uint32_t tries = 1;
    base::time_point resend_at;
};

struct open_state {
    wire::open_attempt opened;
    peer_link entry;
    attempt_phase phase = attempt_phase::waiting;
    base::time_point expires_at;
    bool started = false;
    // Next token to run here.
    base::token_index next_token;
    std::optional<base::token_index> running;
    base::execution state = base::execution::not_run;
    std::optional<unacknowledged_step> unacknowledged;
    // Link that waits for `attempt_closed`; 0 for none.
    peer_link closing;
    base::token_count generated;
};

// An attempt that ended, and whether a step of it ran here.
struct ended_attempt {
    base::attempt_number attempt;
    base::execution state = base::execution::not_run;
};

struct request_record {
    // Highest attempt seen; lower ones are fenced, and with `closed` set, so
    // is this one.
    base::attempt_number highest;
    bool closed = false;
    base::time_point forget_at;
    // Open attempts in ascending order. More than one only while the engine
    // still runs a step of a fenced one.
    std::vector<open_state> attempts;
    std::vector<ended_attempt> ended;
};

struct attempt_table {
    stage_identity self;
    execution_limits limits;
    std::optional<base::verdict> refusal;
    std::unordered_map<base::request_id, request_record> requests;
    // Requests with open attempts, in order, so that a tick is deterministic.
    std::set<base::request_id> active;
    // Requests to forget, by time.
    std::deque<std::pair<base::time_point, base::request_id>> forgetting;
};

attempt_table make_attempt_table(stage_identity self, execution_limits limits);

// Applies one event and returns the actions in the order in which they are to
// be carried out. The same events at the same times give the same actions.
std::vector<action>
advance(attempt_table& table, const event& what, base::time_point now);

// Open attempts, with those that are ending.
std::size_t open_attempts(const attempt_table& table);

// Links on which open attempts were opened.
std::set<peer_link> entry_links(const attempt_table& table);

} // namespace oleanderhinge::chain
