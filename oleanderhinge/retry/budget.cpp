#include "oleanderhinge/retry/budget.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::retry
{

namespace
{

using base::execution;
using base::failure_code;

// Largest number of retries that the floor alone adds up to.
double floor_burst(const budget_options& options)
{
    return std::min(
        options.max_saved,
        options.floor_per_second *
            std::chrono::duration<double>(options.floor_burst).count());
}

void refill(budget& b, base::time_point now)
{
    const double seconds =
        std::max(0.0, double((now - b.refilled).count()) / 1e6);
    b.refilled = std::max(b.refilled, now);
    // The floor alone fills the budget only up to its own burst, not to
    // `max_saved`.
    const double burst = floor_burst(b.options);
    if (b.saved < burst)
        b.saved =
            std::min(burst, b.saved + seconds * b.options.floor_per_second);
}

// True if an attempt at another server may succeed after this failure.
bool may_succeed_elsewhere(failure_code code)
{
    switch (code) {
    case failure_code::overloaded:
    case failure_code::no_server:
    case failure_code::server_leaving:
    case failure_code::server_failed:
    case failure_code::link_lost:
        return true;
    default:
        return false;
    }
}

bool is_allowed(
    const base::verdict& failure, bool idempotent, std::uint32_t attempt)
{
    if (!may_succeed_elsewhere(failure.code) || failure.state == execution::ran)
        return false;
    if (failure.state == execution::may_have_run && !idempotent)
        return false;
    // An overloaded server states when to retry. One other server is tried
    // before that; more attempts would spread the overload.
    return failure.code != failure_code::overloaded ||
           failure.retry_after.count() == 0 || attempt < 2;
}

// Delay after the failure of attempt `attempt`: exponential back-off with full
// jitter. Attempt 2 is not delayed, since it goes to another server, about
// which the first failure says nothing, while the caller waits.
base::duration
back_off(const budget& b, std::uint32_t attempt, base::random_source& random)
{
    if (attempt < 2)
        return base::duration(0);
    const auto doublings = std::min(attempt - 2, 20U);
    const double ceiling = std::min(
        double(b.options.max_delay.count()),
        std::ldexp(double(b.options.base_delay.count()), int(doublings)));
    return base::duration(std::int64_t(ceiling * random.unit()));
}

} // namespace

const char* to_string(refusal value)
{
    switch (value) {
    case refusal::none:
        return "none";
    case refusal::verdict:
        return "verdict";
    case refusal::budget_empty:
        return "budget empty";
    case refusal::attempts_exhausted:
        return "attempts exhausted";
    case refusal::out_of_time:
        return "out of time";
    }
    return "unknown";
}

budget make_budget(const budget_options& options, base::time_point now)
{
    budget b;
    b.options = options;
    if (!options.starts_empty)
        b.saved = floor_burst(options);
    b.refilled = now;
    return b;
}

void set_share(budget& b, double floor_per_second, double max_saved)
{
    b.options.floor_per_second = floor_per_second;
    b.options.max_saved = max_saved;
    b.saved = std::min(b.saved, max_saved);
}

void note_success(budget& b)
{
    b.saved = std::min(b.options.max_saved, b.saved + b.options.success_share);
}

double saved_retries(const budget& b, base::time_point now)
{
    budget present = b;
    refill(present, now);
    return present.saved;
}

bool take_retry(budget& b, base::time_point now)
{
    refill(b, now);
    if (b.saved < 1)
        return false;
    b.saved -= 1;
    return true;
}

retry_decision may_retry(
    budget& b,
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::random_source& random,
    base::time_point now)
{
    if (!is_allowed(failure, idempotent, attempt.value()))
        return {.reason = refusal::verdict};
    if (attempt.value() >= b.options.max_attempts)
        return {.reason = refusal::attempts_exhausted};
    const auto delay = back_off(b, attempt.value(), random);
    if (delay >= remaining)
        return {.reason = refusal::out_of_time};
    if (!take_retry(b, now))
        return {.reason = refusal::budget_empty};
    return {.retry = true, .delay = delay};
}

} // namespace oleanderhinge::retry
