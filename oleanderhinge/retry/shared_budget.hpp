// The part of one gateway in the retry budget of a service, which all gateways
// share: in any window, they may together send again `request_share` of the
// requests for the service, and `slack` more.
//
// Each gateway acts alone, so that no message stands between a failure and its
// retry. It earns a fixed share of its own requests and an equal part of the
// slack, and saves up what it earns in one window. Retries are thus allowed
// where the requests are: when the servers of one data centre are lost, its
// gateways may resume what they served in the last seconds.
//
// In a window, the gateways spend at most what they had saved before it and
// what they earn in it. Each of the two is at most `used_share` of the slack
// and of the allowance for the requests of one window.
//
// The functions are not thread-safe.
//
// Example:
//   shared_budget b = make_shared_budget(options, now);
//   set_gateways(b, 105);
//   note_request(b, now);
//   if (may_retry(b.tokens, ...).retry) ...
#pragma once

#include "oleanderhinge/retry/budget.hpp"

#include <array>
#include <cstdint>

namespace oleanderhinge::retry
{

// What is saved before a window and what is earned in it each take this share.
// The remaining tenth is reserved for gateways that do not know of each other
// yet.
inline constexpr double used_share = 0.45;

struct shared_budget_options {
    // Retries for each request, over all gateways.
    double request_share = 0.2;
    // Retries in a window whatever the traffic, over all gateways.
    double slack = 100;
    base::duration window = std::chrono::seconds(10);
    // Attempts for one request, including the first.
    std::uint32_t max_attempts = 5;
};

// Number of events in the last window, to a tenth of it.
struct window_count {
    std::array<std::uint32_t, 10> slices{};
    // Slice of the last event, counted from the epoch of the clock.
    std::int64_t last_slice = 0;
    std::uint32_t total = 0;
};

struct shared_budget {
    shared_budget_options options;
    std::uint32_t gateways = 1;
    window_count requests;
    // Empty at the start: a gateway that restarts must not spend again what it
    // has just spent.
    budget tokens;
};

shared_budget
make_shared_budget(const shared_budget_options& options, base::time_point now);

// Sets the number of gateways that share the budget.
void set_gateways(shared_budget& b, std::uint32_t gateways);

// Counts a request for the service.
void note_request(shared_budget& b, base::time_point now);

// Whether this share of what the budget may hold is left once one more retry
// has been taken.
bool has_spare(
    const shared_budget& b, double reserved_share, base::time_point now);

// As `take_retry` and `may_retry` of a single budget.
bool take_retry(shared_budget& b, base::time_point now);
retry_decision may_retry(
    shared_budget& b,
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::random_source& random,
    base::time_point now);

// The largest number that was noted in the last one to two periods. A member of
// control that has just started counts few gateways.
struct recent_maximum {
    base::duration period = std::chrono::seconds(10);
    std::uint32_t present = 0;
    std::uint32_t previous = 0;
    base::time_point period_end;
};

void note(recent_maximum& recent, std::uint32_t number, base::time_point now);
std::uint32_t maximum(const recent_maximum& recent);

} // namespace oleanderhinge::retry
