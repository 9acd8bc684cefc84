// Calls to the plain service beside an agent: each runs at most once.
//
// The call table takes one event at a time and returns what is to be done. A
// call that is delivered twice runs once; the agent never repeats a call. A
// cancelled call that still waits in the queue never runs; one that already
// runs is not cut off, and its result answers the cancellation.
//
// A record is kept for `fence_time` after its end, like the fences of
// chain/execution.hpp and for the same reason. A full table refuses new calls
// and never forgets one early. Recorded answers above `max_answer_bytes` in
// total are dropped, oldest first; a repeated call then gets `may_have_run`.
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
    base::duration fence_time = std::chrono::seconds(60);
    std::size_t max_calls = 4096;
    // Answers that are kept for repeated deliveries.
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

// The service's answer to `run_call`, or the verdict without one.
struct call_finished {
    base::request_id request;
    base::attempt_number attempt;
    base::verdict failure;
    wire::response answer;
};

struct cancel_received {
    wire::cancel_call message;
    peer_link from;
};

struct call_link_closed {
    peer_link link;
};

// With a verdict, new calls are refused.
struct call_intake_changed {
    std::optional<base::verdict> refusal;
};

struct call_ticked {
};

using call_event = std::variant<
    call_received,
    call_slot_granted,
    call_slot_refused,
    call_finished,
    cancel_received,
    call_link_closed,
    call_intake_changed,
    call_ticked>;

// --- Actions --------------------------------------------------------------

struct request_call_slot {
    base::request_id request;
    base::attempt_number attempt;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    std::uint32_t budget_ms = 0;
};

// Give the slot back, or leave the queue if none was granted yet.
struct release_call_slot {
    base::request_id request;
    base::attempt_number attempt;
    // Whether the service was asked, which is charged to the customer.
    bool ran = false;
};

struct run_call {
    wire::call message;
    base::duration time_left{};
};

// The load report is filled in by the caller.
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
    peer_link reply_to;
    base::time_point expires_at;
    base::time_point forget_at;
    // While queued.
    wire::call message;
    // Once ended.
    base::verdict failure;
    wire::response answer;
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

struct call_table {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    call_limits limits;
    std::optional<base::verdict> refusal;
    std::unordered_map<call_key, call_record, call_key_hash> calls;
    // Ended calls in the order of their end.
    std::deque<call_key> ended;
    // Ended calls whose answer is kept, oldest first.
    std::deque<call_key> answers;
    std::size_t answer_bytes = 0;
};

std::vector<call_action>
advance(call_table& table, const call_event& what, base::time_point now);

// Calls that are queued or running.
std::size_t open_calls(const call_table& table);

// Links that wait for results.
std::set<peer_link> waiting_links(const call_table& table);

} // namespace oleanderhinge::agent
