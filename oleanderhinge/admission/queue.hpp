// Bounded queue of one backend server, by rank and customer.
//
// The agent of the first stage of a chain, and of a plain service, submits
// every request and carries out the returned actions. Each request ends in
// exactly one grant or one refusal; a granted one holds a slot until `finish`
// or `cancel`. See docs/decisions/0003-admission-and-routing.md.
//
// The functions are not thread-safe; the owner locks.
//
// Example:
//   queue q = make_queue(queue_options{}, seed);
//   for (const action& a : submit(q, work{...}, now))
//       std::visit(carry_out, a);  // grant or refuse
#pragma once

#include "oleanderhinge/admission/internal/rank_queue.hpp"
#include "oleanderhinge/admission/limit.hpp"
#include "oleanderhinge/admission/work.hpp"
#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/configuration.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace oleanderhinge::admission
{

struct queue_options {
    // Most requests that wait.
    std::uint32_t max_queued = 256;
    // Longest wait by rank, urgent first.
    std::array<base::duration, base::rank_count> max_wait = {
        std::chrono::seconds(5),
        std::chrono::seconds(30),
        std::chrono::seconds(120)};
    limit_options limit;
    // Slots above the limit for urgent work within its share, as a share of
    // the limit. A slot becomes free only a few times a second, which is too
    // seldom for a first token within 0.4 s; the lower ranks give the slots
    // back as their requests end.
    double urgent_headroom = 0.25;
    // Whether the lower ranks leave as many slots free as urgent work used in
    // the last seconds. Long answers that fill a short gap of urgent work
    // would keep it waiting for their whole length.
    bool urgent_reserve = false;
    // Slots above the limit that `submit_now` may use, as a share of the limit;
    // twice as many for urgent work. The head of the chain has queued the
    // request already, and a refusal here would waste that wait.
    double pass_headroom = 1.0;
    // Cost of a prompt token in generated ones. Engines run a prompt as one
    // batch, so that it costs far less than as many single steps.
    double prompt_token_weight = 0.01;
    // Bounds of the unspread `retry_after`; up to as much again is added at
    // random, so that refused callers do not come back together.
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{10000};
    // Mechanisms that the benchmark switches off one at a time.
    bool rank_shares = true;
    bool fair_customers = true;
    bool early_refusal = true;
};

namespace internal
{

// A request that holds a slot.
struct running {
    work item;
    // Tokens that were charged on entry.
    double cost = 0;
    base::time_point since;
    // Whether the grant came from `submit_now`.
    bool passed = false;
};

// Rank and customer account of a queued request.
struct location {
    base::rank work_rank = base::rank::standard;
    base::customer_id account;
};

} // namespace internal

// State of the queue. Read it through the functions below; the fields are for
// tests.
struct queue {
    queue_options options;
    wire::rank_shares shares;
    adaptive_limit limit;
    base::random_source random{0};
    std::array<internal::rank_state, base::rank_count> ranks;
    std::unordered_map<base::request_id, internal::running> in_progress;
    std::unordered_map<base::request_id, internal::location> queued;
    std::array<std::uint32_t, base::rank_count> in_progress_by_rank{};
    // Smoothed number of slots that urgent work uses, and its last update.
    double urgent_in_use = 0;
    base::time_point counted_at;
    // Smoothed time that one token holds a slot, in microseconds.
    double slot_us_per_token = 0;
    // Smoothed estimated tokens of a request; the quantum of a round.
    double mean_cost = 0;
};

// `seed` spreads `retry_after`.
queue make_queue(const queue_options& options, std::uint64_t seed);

// Asks for a slot. A request that is already queued or in progress changes
// nothing and gives no action.
actions submit(queue& q, const work& item, base::time_point now);

// Grants or refuses at once, for stages after the head, which hold no queue.
actions submit_now(queue& q, const work& item, base::time_point now);

// Frees the slot of a granted request. `actual_tokens` counts prompt and
// generated tokens; it corrects the customer's account. An unknown request
// changes nothing.
actions finish(
    queue& q,
    const base::request_id& request,
    base::token_count actual_tokens,
    base::time_point now);

// Withdraws a request: a queued one is dropped without an action for it, a
// granted one frees its slot and its estimated tokens are given back. Frees
// slots for others.
actions cancel(queue& q, const base::request_id& request, base::time_point now);

// Refuses queued requests that can no longer be served in time. Call it every
// 100 ms or at `next_expiry`.
actions expire(queue& q, base::time_point now);

// Least shares of the ranks, from the configuration.
actions
set_shares(queue& q, const wire::rank_shares& shares, base::time_point now);

// One measured step or call; adapts the limit.
actions observe_step(queue& q, base::duration latency, base::time_point now);

// Measured time from the grant to the first token of a request in progress,
// which a deadline has to leave room for. Without it, the step latency is used.
void observe_first_token(
    queue& q, const base::request_id& request, base::duration since_grant);

wire::load_report load(const queue& q);

// Requests that wait, urgent first.
std::array<std::uint32_t, base::rank_count> queued_by_rank(const queue& q);

bool is_queued(const queue& q, const base::request_id& request);
bool is_in_progress(const queue& q, const base::request_id& request);

// Customers that hold state, over all ranks.
std::size_t customer_count(const queue& q);

} // namespace oleanderhinge::admission
