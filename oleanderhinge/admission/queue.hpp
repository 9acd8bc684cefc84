// Bounded admission queue of one backend server, ordered by rank and customer.
//
// The agent of the first stage of a chain, or of a plain service, submits every
// request and carries out the returned actions. Each request gets exactly one
// grant or one refusal, unless it is cancelled before; a granted one holds a
// slot until `finish` or `cancel`. See
// docs/decisions/0003-admission-and-routing.md.
//
// The functions are not thread-safe; callers have to synchronise.
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
    // Largest number of queued requests.
    std::uint32_t max_queued = 256;
    // Longest wait in the queue by rank, urgent first.
    std::array<base::duration, base::rank_count> max_wait = {
        std::chrono::seconds(5),
        std::chrono::seconds(30),
        std::chrono::seconds(120)};
    limit_options limit;
    // Slots above the limit for urgent requests within their rank's share, as a
    // share of the limit. Slots become free only a few times a second, which is
    // too rare for a first token within 0.4 s; the limit is met again as
    // requests of lower ranks end.
    double urgent_headroom = 0.25;
    // Whether the lower ranks leave as many slots free as urgent requests used
    // in the last seconds. Otherwise long answers that start during a short
    // lull of urgent requests delay these until they end.
    bool urgent_reserve = false;
    // Slots above the limit that `submit_now` may use, as a share of the limit;
    // twice as many for urgent requests. The request has already waited in the
    // queue of the first stage, and a refusal here would waste that wait.
    double immediate_headroom = 1.0;
    // Cost of a prompt token relative to a generated one. Engines run a prompt
    // as one batch, which costs far less than as many single steps.
    double prompt_token_weight = 0.01;
    // Bounds of `retry_after` before jitter; up to as much again is added at
    // random, so that refused callers do not retry at the same time.
    std::chrono::milliseconds min_retry_after{100};
    std::chrono::milliseconds max_retry_after{10000};
    // Mechanisms that a benchmark disables one at a time: shares of the ranks,
    // fairness between customers, and refusal of requests that are predicted to
    // miss their deadline.
    bool rank_shares = true;
    bool fair_customers = true;
    bool early_refusal = true;
};

namespace internal
{

// A request that holds a slot.
struct running_request {
    work item;
    // Estimated cost, in generated tokens.
    double cost = 0;
    base::time_point since;
    // Whether the grant came from `submit_now`, which charges no account.
    bool immediate = false;
};

// Rank and customer account of a queued request.
struct queue_location {
    base::rank work_rank = base::rank::standard;
    base::customer_id account;
};

} // namespace internal

// State of the queue. Use the functions below to read it; the fields are for
// tests.
struct queue {
    queue_options options;
    wire::rank_shares shares;
    adaptive_limit limit;
    base::random_source random{0};
    std::array<internal::rank_state, base::rank_count> ranks;
    std::unordered_map<base::request_id, internal::running_request> in_progress;
    std::unordered_map<base::request_id, internal::queue_location> queued;
    std::array<std::uint32_t, base::rank_count> in_progress_by_rank{};
    // Smoothed number of slots that urgent requests use, and its last update.
    double urgent_in_use = 0;
    base::time_point counted_at;
    // Smoothed time that one token holds a slot, in microseconds.
    double slot_us_per_token = 0;
    // Smoothed estimated cost of a request, in generated tokens; the quantum of
    // the deficit round robin.
    double mean_cost = 0;
};

// `seed` is for the jitter of `retry_after`.
queue make_queue(const queue_options& options, std::uint64_t seed);

// Requests a slot: grants it, queues the request, or refuses it or a less
// important queued one. A request that is already queued or in progress is
// ignored.
actions submit(queue& q, const work& item, base::time_point now);

// Grants or refuses without queueing, for stages after the first, which have no
// queue.
actions submit_now(queue& q, const work& item, base::time_point now);

// Frees the slot of a granted request and grants queued ones. `actual_tokens`
// counts prompt and generated tokens; it corrects the accounts of rank and
// customer. An unknown request is ignored.
actions finish(
    queue& q,
    const base::request_id& request,
    base::token_count actual_tokens,
    base::time_point now);

// Withdraws a request: a queued one is removed without an action for it; a
// granted one frees its slot for queued ones and its charge is refunded. An
// unknown request is ignored.
actions cancel(queue& q, const base::request_id& request, base::time_point now);

// Refuses queued requests that can no longer be served in time. To be called
// every 100 ms.
actions expire(queue& q, base::time_point now);

// Sets the guaranteed shares of the ranks, from the configuration.
actions
set_shares(queue& q, const wire::rank_shares& shares, base::time_point now);

// Adds the measured latency of one step or call; adapts the limit.
actions observe_step(queue& q, base::duration latency, base::time_point now);

// Adds the measured time from the grant to the first token of a request in
// progress. Deadline checks reserve this time; before the first measurement in
// a rank they reserve the step latency.
void observe_first_token(
    queue& q, const base::request_id& request, base::duration since_grant);

wire::load_report load(const queue& q);

// Number of queued requests by rank, urgent first.
std::array<std::uint32_t, base::rank_count> queued_by_rank(const queue& q);

bool is_queued(const queue& q, const base::request_id& request);
bool is_in_progress(const queue& q, const base::request_id& request);

// Number of customers with state, summed over the ranks.
std::size_t customer_count(const queue& q);

} // namespace oleanderhinge::admission
