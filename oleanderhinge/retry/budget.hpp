// Retry budget: whether and when a failed request is sent again inside the
// system.
//
// Each retry takes one from a budget that grows by a share of the successes, so
// that retries never multiply the load while most requests fail. A small fixed
// rate, the floor, allows a node with little traffic to retry.
//
// The functions are not thread-safe.
//
// Example:
//   budget b = make_budget(budget_options{}, now);
//   note_success(b);
//   auto decision = may_retry(b, verdict, idempotent, attempt, remaining,
//                             random, now);
//   if (decision.retry)
//       schedule(decision.delay);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"

#include <chrono>
#include <cstdint>

namespace oleanderhinge::retry
{

struct budget_options {
    // Retries added to the budget by one success.
    double success_share = 0.1;
    // Retries added per second, independent of traffic, up to those of
    // `floor_burst`.
    double floor_per_second = 1;
    base::duration floor_burst = std::chrono::seconds(10);
    // Largest number of retries in the budget.
    double max_saved = 100;
    // Whether the budget is empty at the start. For processes that share a
    // budget: one that restarts must not spend again what it has just spent.
    bool starts_empty = false;
    // Attempts for one request, including the first.
    std::uint32_t max_attempts = 4;
    // Upper bound of the random delay before attempt 3; doubled for each
    // further attempt. Attempt 2 goes to another server and is not delayed.
    base::duration base_delay = std::chrono::milliseconds(20);
    // Upper bound of the delay before any attempt.
    base::duration max_delay = std::chrono::milliseconds(500);
};

struct budget {
    budget_options options;
    // Retries in the budget.
    double saved = 0;
    // When the floor was last added.
    base::time_point refilled;
};

enum class refusal : std::uint8_t {
    none,
    // The verdict does not allow a second run, or another attempt would not
    // succeed either.
    verdict,
    budget_empty,
    attempts_exhausted,
    // The request would expire before the delay has passed.
    out_of_time,
};

struct retry_decision {
    bool retry = false;
    // Time to wait before the next attempt; zero unless `retry`.
    base::duration delay{0};
    refusal reason = refusal::none;
};

// Value of a metric label.
const char* to_string(refusal value);

// A budget that starts with the floor of `floor_burst`, at most `max_saved`,
// unless `options.starts_empty`.
budget make_budget(const budget_options& options, base::time_point now);

// Changes this process's share of a budget that several processes share.
// Retries above the new `max_saved` are dropped.
void set_share(budget& b, double floor_per_second, double max_saved);

// Adds `success_share` to the budget.
void note_success(budget& b);

// Number of retries in the budget at `now`.
double saved_retries(const budget& b, base::time_point now);

// Takes one retry from the budget. False if it holds none.
bool take_retry(budget& b, base::time_point now);

// Decides whether to retry after attempt `attempt` (from 1) has failed, and
// takes one retry from the budget if so. `remaining` is the time until the
// request expires. `idempotent` is true for model answers, which are resumed
// after the tokens that the caller already has.
retry_decision may_retry(
    budget& b,
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::random_source& random,
    base::time_point now);

} // namespace oleanderhinge::retry
