#include "oleanderhinge/admission/internal/dispatch.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace oleanderhinge::admission::internal
{

namespace
{

using std::chrono::milliseconds;

constexpr double smoothing = 0.05;
// A rank is owed, or owes, at most this many mean requests. This bounds how
// long it can push back the others after wrong estimates.
constexpr double max_credit_requests = 16;
// Predictions below this are too small to learn their error from.
constexpr double min_learned_wait_us = 10000;

// The most urgent rank that is owed a request from its share, else the most
// urgent one with work.
std::pair<std::size_t, bool> pick_rank(const queue& q)
{
    std::optional<std::size_t> first;
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        if (q.ranks[r].queued == 0)
            continue;
        if (!q.options.rank_shares)
            return {r, false};
        if (q.ranks[r].credit >= 0)
            return {r, true};
        if (!first)
            first = r;
    }
    return {first.value_or(0), false};
}

// Credits every rank with work (or with a debt) for `cost` granted tokens, and
// charges the rank that got them out of its share.
void account_grant(queue& q, std::size_t rank, double cost, bool owed)
{
    const double bound = max_credit_requests * std::max(q.mean_cost, cost);
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        auto& state = q.ranks[r];
        const double earned = share_of(q, r) * cost;
        if (state.queued > 0 || r == rank)
            state.credit += earned;
        else
            state.credit = std::min(0.0, state.credit + earned);
        if (r == rank && owed)
            state.credit -= cost;
        state.credit = std::clamp(state.credit, -bound, bound);
    }
}

void learn_wait(rank_state& rank, const waiting& entry, base::time_point now)
{
    if (entry.predicted_us < min_learned_wait_us)
        return;
    // The stored prediction includes the ratio of that time.
    const double measured = double((now - entry.since).count());
    const double ratio = std::clamp(measured / entry.predicted_us, 0.25, 4.0);
    rank.wait_ratio =
        std::clamp(rank.wait_ratio * (1 + smoothing * (ratio - 1)), 0.25, 4.0);
}

bool is_too_late(const queue& q, const work& item, base::time_point now)
{
    if (!q.options.early_refusal)
        return false;
    return now + base::duration(std::int64_t(first_token_us(q))) >
           item.first_token_deadline;
}

// Tokens a microsecond that all slots together serve.
double service_rate(const queue& q)
{
    return double(q.limit.current) / q.slot_us_per_token;
}

} // namespace

double estimate(const queue& q, const work& item)
{
    const auto& rank = q.ranks[index_of(item.work_rank)];
    return std::max(
        1.0,
        double(item.prompt_tokens) +
            double(item.max_tokens) * rank.generated_ratio);
}

base::customer_id account_of(const queue& q, const work& item)
{
    return q.options.fair_customers ? item.customer : base::customer_id();
}

double share_of(const queue& q, std::size_t rank)
{
    const std::array<std::uint32_t, base::rank_count> percent = {
        q.shares.urgent, q.shares.standard, q.shares.deferrable};
    return double(percent[rank]) / 100.0;
}

double predicted_wait_us(const queue& q, const work& item, double cost)
{
    const auto r = index_of(item.work_rank);
    const auto& rank = q.ranks[r];
    const bool busy = q.in_progress.size() >= q.limit.current;
    if (q.slot_us_per_token == 0 || (!busy && rank.queued == 0))
        return 0;
    // The mean request stands for the wait until the next slot is free.
    const double ahead =
        cost_ahead(rank, account_of(q, item), item.customer_weight, cost) +
        q.mean_cost;
    double more_urgent = 0;
    double others = 0;
    for (std::size_t k = 0; k < base::rank_count; ++k) {
        if (k == r || q.ranks[k].queued == 0)
            continue;
        others += share_of(q, k);
        if (k < r)
            more_urgent += q.ranks[k].queued_cost;
    }
    // Two upper bounds: all more urgent work goes first and the less urgent
    // ranks take their shares, or only this rank's share is left for it.
    const double rate = service_rate(q);
    double wait = (ahead + more_urgent) / (rate * std::max(0.05, 1 - others));
    if (q.options.rank_shares && share_of(q, r) > 0)
        wait = std::min(wait, ahead / (rate * share_of(q, r)));
    return wait * rank.wait_ratio;
}

double first_token_us(const queue& q)
{
    return q.first_token_us > 0 ? q.first_token_us : q.limit.smoothed_us;
}

refuse refusal(
    queue& q,
    const base::request_id& request,
    base::failure_code code,
    std::string detail,
    double wait_us)
{
    const auto wait = std::clamp(
        milliseconds(std::int64_t(std::min(wait_us, 1e12) / 1000)),
        q.options.min_retry_after,
        q.options.max_retry_after);
    const auto spread =
        milliseconds(q.random.below(std::uint64_t(wait.count()) + 1));
    return {request, base::not_run(code, std::move(detail), wait + spread)};
}

void dispatch(queue& q, base::time_point now, actions& out)
{
    while (q.in_progress.size() < q.limit.current && !q.queued.empty()) {
        const auto [r, owed] = pick_rank(q);
        auto& rank = q.ranks[r];
        auto entry = pop(rank, q.mean_cost);
        if (!entry)
            return;
        const auto& item = entry->item;
        q.queued.erase(item.request);
        if (is_too_late(q, item, now)) {
            release(rank, account_of(q, item), entry->cost, q.mean_cost);
            out.emplace_back(refusal(
                q,
                item.request,
                base::failure_code::deadline_exceeded,
                "the first token would miss its deadline",
                0));
            continue;
        }
        learn_wait(rank, *entry, now);
        account_grant(q, r, entry->cost, owed);
        out.emplace_back(grant{item.request});
        q.in_progress.emplace(
            item.request, running{item, entry->cost, now, owed, false});
    }
}

} // namespace oleanderhinge::admission::internal
