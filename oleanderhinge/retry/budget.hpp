// Whether and when a failed request is sent again inside the system.
//
// Retries take from a budget that grows by a share of the successes, so that
// they never multiply load while most requests fail. A small floor that grows
// with time lets a node with little traffic retry.
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
    // Retries earned by one success.
    double success_share = 0.1;
    // Retries earned by each second, whatever the traffic.
    double floor_per_second = 1;
    // Most retries that can be saved up.
    double max_saved = 100;
    // Without savings at the start. For processes that share a budget: one that
    // restarts must not spend again what it has just spent.
    bool starts_empty = false;
    // Attempts of one request, the first included.
    std::uint32_t max_attempts = 4;
    // Delay before attempt 3; doubled for each further one. Attempt 2 goes to
    // another server and is not delayed.
    base::duration base_delay = std::chrono::milliseconds(20);
    base::duration max_delay = std::chrono::milliseconds(500);
};

struct budget {
    budget_options options;
    // Retries that may be made now.
    double saved = 0;
    base::time_point refilled;
};

enum class refusal : std::uint8_t {
    none,
    // The verdict does not allow a second run, or another try cannot help.
    verdict,
    budget_empty,
    attempts_exhausted,
    // The rest of the request's time is shorter than the delay.
    out_of_time,
};

struct retry_decision {
    bool retry = false;
    // Time to wait before the next attempt; zero unless `retry`.
    base::duration delay{0};
    refusal reason = refusal::none;
};

const char* to_string(refusal value);

// The floor's burst is available from the start.
budget make_budget(const budget_options& options, base::time_point now);

// Another share of a budget that several processes have; savings above it are
// given up.
void set_share(budget& b, double floor_per_second, double max_saved);

void note_success(budget& b);

// Decides on the failure of attempt `attempt` (from 1) and takes one retry
// from the budget if it allows it. `remaining` is the rest of the request's
// time. `idempotent` is true for model answers, which are resumed from the
// tokens that the caller has.
retry_decision may_retry(
    budget& b,
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::random_source& random,
    base::time_point now);

} // namespace oleanderhinge::retry
