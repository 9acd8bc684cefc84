// State machine of the calls to a plain service: each call runs at most once.
//
// `advance` applies one event to the call table and returns the actions to
// carry out; it does no I/O. A call that is delivered twice runs once; the
// agent never repeats a call to the service. A queued call that is cancelled
// never runs. A running call is not aborted by its cancellation, which is
// answered with the call's result.
//
// The record of a call is kept for `call_limits::fence_retention` after the
// call ended, so that a late duplicate does not run; see chain/execution.hpp
// for the longest delay of a message. The table keeps at most
// `call_limits::max_calls` calls. When full, it refuses new calls and removes
// none early. Kept answers above `call_limits::max_answer_bytes` in total are
// dropped, oldest first; a repeated call then gets the verdict `ran` with code
// `duplicate`.
//
// Example:
//   call_table table{self, limits};
//   for (auto& a : advance(table, call_received{message, link}, now))
//       carry_out(a);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/chain/execution.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oleanderhinge::agent
{

using chain::peer_link;

struct call_limits {
    // Time for which a record is kept after its call ended.
    base::duration fence_retention = std::chrono::seconds(60);
    // Calls in one table, including ended ones.
    std::size_t max_calls = 4096;
    // Size of the headers and bodies of the answers that are kept for repeated
    // calls.
    std::size_t max_answer_bytes = std::size_t(4) << 20;
};

// --- Events ---------------------------------------------------------------

struct call_received {
    wire::call message;
    peer_link from;
};

// Answers to `request_call_slot`.
struct call_slot_granted {
    base::request_id request;
    base::attempt_number attempt;
};

struct call_slot_refused {
    base::request_id request;
    base::attempt_number attempt;
    base::verdict reason;
};

// The service's answer to `run_call`.
struct call_finished {
    base::request_id request;
    base::attempt_number attempt;
    // Its code is `none` if the service answered.
    base::verdict failure;
    wire::response answer;
};

struct cancel_received {
    wire::cancel_call message;
    peer_link from;
};

// Queued calls of the link end without running. Running ones go on; their
// results are kept for a repeated call on another link.
struct call_link_closed {
    peer_link link;
};

// Whether the agent accepts new calls changed. New calls are refused with
// `refusal` if it is set; calls in the table are not affected.
struct call_availability_changed {
    std::optional<base::verdict> refusal;
};

// Periodic timer: removes expired records.
struct call_ticked {
};

using call_event = std::variant<
    call_received,
    call_slot_granted,
    call_slot_refused,
    call_finished,
    cancel_received,
    call_link_closed,
    call_availability_changed,
    call_ticked>;

// --- Actions --------------------------------------------------------------

// Request a slot. The call may wait in the queue.
struct request_call_slot {
    base::request_id request;
    base::attempt_number attempt;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    std::uint32_t budget_ms = 0;
};

// Release the slot, or leave the queue if none has been granted.
struct release_call_slot {
    base::request_id request;
    base::attempt_number attempt;
    // Whether the service may have run the call, which is then charged to the
    // customer.
    bool ran = false;
};

// Call the service once.
struct run_call {
    wire::call message;
    // Rest of the call's time budget.
    base::duration time_left{};
};

// Send the result of a call to the entry node. The caller fills in the load
// report of the message.
struct send_result {
    peer_link to;
    wire::call_result message;
};

using call_action =
    std::variant<request_call_slot, release_call_slot, run_call, send_result>;

// --- State ----------------------------------------------------------------

enum class call_phase : std::uint8_t { queued, running, ended };

struct call_record {
    base::attempt_number attempt;
    call_phase phase = call_phase::queued;
    // Link on which the result is to be sent; 0 for none.
    peer_link reply_to;
    // End of the call's time budget.
    base::time_point expires_at;
    // Set when the call has ended.
    base::time_point remove_at;
    // Empty unless the call is queued.
    wire::call message;
    // The result; set when the call has ended.
    base::verdict failure;
    wire::response answer;
    // Whether the answer was removed because of `max_answer_bytes`.
    bool answer_dropped = false;
};

struct call_key {
    base::request_id request;
    base::attempt_number attempt;

    bool operator==(const call_key&) const = default;
};

struct call_key_hash {
    std::size_t operator()(const call_key& key) const noexcept
    {
        return std::hash<base::request_id>{}(key.request) ^
               (std::size_t(key.attempt.value()) << 48);
    }
};

// To be changed only through `advance`.
struct call_table {
    // Calls for other servers or incarnations are refused.
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    call_limits limits;
    // Set while new calls are refused.
    std::optional<base::verdict> refusal;
    std::unordered_map<call_key, call_record, call_key_hash> calls;
    // Ended calls, in the order in which their records are to be removed.
    std::deque<call_key> removal_queue;
    // Ended calls whose answer is kept, oldest first.
    std::deque<call_key> kept_answers;
    // Total size of the kept answers.
    std::size_t kept_answer_bytes = 0;
};

// Applies one event and returns the actions to carry out, in order.
std::vector<call_action>
advance(call_table& table, const call_event& input, base::time_point now);

// Number of calls that are queued or running.
std::size_t open_calls(const call_table& table);

// Links on which the results of open calls are to be sent. Contains 0 if the
// link of a running call has closed.
std::set<peer_link> reply_links(const call_table& table);

} // namespace oleanderhinge::agent
