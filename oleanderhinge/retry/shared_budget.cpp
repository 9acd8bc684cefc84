#include "oleanderhinge/retry/shared_budget.hpp"

#include <algorithm>

namespace oleanderhinge::retry
{

namespace
{

// Drops the events that have left the window.
void advance(window_count& count, base::duration window, base::time_point now)
{
    const auto slices = std::int64_t(count.slices.size());
    const auto slice_us = std::max<std::int64_t>(window.count() / slices, 1);
    const auto present = now.time_since_epoch().count() / slice_us;
    const auto first = std::max(count.last_slice + 1, present - slices + 1);
    for (auto slice = first; slice <= present; ++slice) {
        auto& expired = count.slices[std::size_t(slice % slices)];
        count.total -= expired;
        expired = 0;
    }
    count.last_slice = std::max(count.last_slice, present);
}

void add(window_count& count, base::duration window, base::time_point now)
{
    advance(count, window, now);
    const auto slices = std::int64_t(count.slices.size());
    ++count.slices[std::size_t(count.last_slice % slices)];
    ++count.total;
}

// Retries for each request that this gateway earns.
double request_share(const shared_budget& b)
{
    return b.options.request_share * used_share;
}

double slack_part(const shared_budget& b)
{
    return b.options.slack * used_share / b.gateways;
}

void update_limits(shared_budget& b)
{
    set_share(
        b.tokens,
        slack_part(b) / std::chrono::duration<double>(b.options.window).count(),
        slack_part(b) + request_share(b) * b.requests.total);
}

} // namespace

shared_budget
make_shared_budget(const shared_budget_options& options, base::time_point now)
{
    shared_budget b;
    b.options = options;
    budget_options tokens;
    tokens.success_share = request_share(b);
    tokens.floor_burst = options.window;
    tokens.starts_empty = true;
    tokens.max_attempts = options.max_attempts;
    b.tokens = make_budget(tokens, now);
    update_limits(b);
    return b;
}

void set_gateways(shared_budget& b, std::uint32_t gateways)
{
    b.gateways = std::max(gateways, 1U);
    update_limits(b);
}

void note_request(shared_budget& b, base::time_point now)
{
    add(b.requests, b.options.window, now);
    update_limits(b);
    note_success(b.tokens);
}

bool has_spare(
    const shared_budget& b, double reserved_share, base::time_point now)
{
    auto present = b;
    advance(present.requests, present.options.window, now);
    update_limits(present);
    return saved_retries(present.tokens, now) - 1 >=
           reserved_share * present.tokens.options.max_saved;
}

bool take_retry(shared_budget& b, base::time_point now)
{
    advance(b.requests, b.options.window, now);
    update_limits(b);
    return take_retry(b.tokens, now);
}

retry_decision may_retry(
    shared_budget& b,
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::random_source& random,
    base::time_point now)
{
    advance(b.requests, b.options.window, now);
    update_limits(b);
    return may_retry(
        b.tokens, failure, idempotent, attempt, remaining, random, now);
}

void note(recent_maximum& recent, std::uint32_t number, base::time_point now)
{
    if (now >= recent.period_end) {
        const bool skipped = now >= recent.period_end + recent.period;
        recent.previous = skipped ? 0 : recent.present;
        recent.present = 0;
        recent.period_end = now + recent.period;
    }
    recent.present = std::max(recent.present, number);
}

std::uint32_t maximum(const recent_maximum& recent)
{
    return std::max(recent.present, recent.previous);
}

} // namespace oleanderhinge::retry
