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
// Bound on the credit or debt of a rank, in mean requests. It limits how long a
// rank can delay the others after wrong estimates.
constexpr double max_credit_requests = 16;
// Credit that a rank without queued requests may accumulate, in mean requests,
// so that a short burst is not delayed if the rank's average is within its
// share.
constexpr double max_burst_requests = 4;
// Time constant of the average number of slots that urgent requests use.
// Shorter than a long answer holds a slot, so that lower ranks can use idle
// slots within seconds.
constexpr double urgent_time_constant_us = 5e6;
// Average predictions below this are not corrected, as their relative error
// says little.
constexpr double min_learned_wait_us = 10000;

// Tokens that a rank is credited for each granted token of any rank. The most
// urgent rank gets what the shares leave.
double earned_share(const queue& q, std::size_t rank)
{
    if (rank != 0)
        return share_of(q, rank);
    double others = 0;
    for (std::size_t r = 1; r < base::rank_count; ++r)
        others += share_of(q, r);
    return std::max(share_of(q, 0), 1 - others);
}

bool has_credit(const queue& q, std::size_t rank)
{
    return q.options.rank_shares && q.ranks[rank].credit >= 0;
}

// Slots that the lower ranks leave to urgent requests: their average use plus
// one standard deviation of a Poisson distribution, at most their share.
double urgent_reserve(const queue& q)
{
    if (!q.options.rank_shares || !q.options.urgent_reserve)
        return 0;
    return std::min(
        q.urgent_in_use + std::sqrt(q.urgent_in_use),
        earned_share(q, 0) * double(q.limit.current));
}

bool is_slot_free_for_lower_ranks(const queue& q)
{
    const auto others = q.in_progress.size() - q.in_progress_by_rank[0];
    return q.in_progress.size() < q.limit.current &&
           double(others) + urgent_reserve(q) < double(q.limit.current);
}

// Whether an urgent request may use a slot, which may be above the limit.
bool is_slot_free_for_urgent(const queue& q)
{
    const auto used = q.in_progress.size();
    const auto limit = q.limit.current;
    const auto headroom =
        std::size_t(std::ceil(double(limit) * q.options.urgent_headroom));
    return used < limit || (used < limit + headroom &&
                            (has_credit(q, 0) || !q.options.rank_shares));
}

// Rank that gets the next slot: the most urgent one with queued requests and
// credit, else the most urgent one with queued requests. If no slot is free for
// lower ranks, only the urgent rank, and above the limit only if it has credit.
std::optional<std::size_t> pick_rank(const queue& q)
{
    if (!is_slot_free_for_lower_ranks(q)) {
        if (q.ranks[0].queued > 0 && is_slot_free_for_urgent(q))
            return 0;
        return std::nullopt;
    }
    std::optional<std::size_t> first;
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        if (q.ranks[r].queued == 0)
            continue;
        if (has_credit(q, r))
            return r;
        if (!first)
            first = r;
    }
    return first;
}

void record_wait(
    rank_state& rank, const queued_request& entry, base::time_point now)
{
    const double measured = double((now - entry.since).count());
    rank.measured_wait_us += smoothing * (measured - rank.measured_wait_us);
    rank.predicted_wait_us +=
        smoothing * (entry.predicted_us - rank.predicted_wait_us);
}

// Factor on predicted waits. A ratio of averages, so that short waits with a
// large relative error do not dominate.
double wait_correction(const rank_state& rank)
{
    if (rank.predicted_wait_us < min_learned_wait_us)
        return 1;
    return std::clamp(rank.measured_wait_us / rank.predicted_wait_us, 0.5, 2.0);
}

bool is_too_late(const queue& q, const work& item, base::time_point now)
{
    return now + base::duration(std::int64_t(
                     first_token_us(q, index_of(item.work_rank)))) >
           item.first_token_deadline;
}

// Generated tokens per microsecond that all slots serve together.
double service_rate(const queue& q)
{
    return double(q.limit.current) / q.slot_us_per_token;
}

} // namespace

void account_tokens(queue& q, std::size_t rank, double tokens)
{
    const double mean = std::max(q.mean_cost, std::abs(tokens));
    const double bound = max_credit_requests * mean;
    const double burst = max_burst_requests * mean;
    double excess = 0;
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        auto& state = q.ranks[r];
        const double earned = earned_share(q, r) * tokens;
        if (state.queued > 0 || state.credit < burst)
            state.credit += earned;
        else
            excess += earned;
    }
    q.ranks[rank].credit += excess - tokens;
    for (auto& state : q.ranks)
        state.credit = std::clamp(state.credit, -bound, bound);
}

void count_in_progress(
    queue& q, base::rank work_rank, int change, base::time_point now)
{
    const double elapsed = std::max(0.0, double((now - q.counted_at).count()));
    const double decay = std::exp(-elapsed / urgent_time_constant_us);
    q.urgent_in_use = q.urgent_in_use * decay +
                      double(q.in_progress_by_rank[0]) * (1 - decay);
    q.counted_at = std::max(q.counted_at, now);
    q.in_progress_by_rank[index_of(work_rank)] += std::uint32_t(change);
}

double cost_of(const queue& q, const work& item, double generated)
{
    return std::max(
        1.0,
        q.options.prompt_token_weight * double(item.prompt_tokens) + generated);
}

double estimate(const queue& q, const work& item)
{
    const auto& rank = q.ranks[index_of(item.work_rank)];
    return cost_of(q, item, double(item.max_tokens) * rank.generated_ratio);
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

double raw_wait_us(const queue& q, const work& item, double cost)
{
    const auto r = index_of(item.work_rank);
    const auto& rank = q.ranks[r];
    const bool busy =
        r == 0 ? !is_slot_free_for_urgent(q) : !is_slot_free_for_lower_ranks(q);
    if (q.slot_us_per_token == 0 || (!busy && rank.queued == 0))
        return 0;
    // One mean request accounts for the wait until the next slot is free.
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
    // The lower of two upper bounds: all more urgent requests are served first
    // while the other ranks take their shares, or this rank gets only its
    // share.
    const double rate = service_rate(q);
    double wait = (ahead + more_urgent) / (rate * std::max(0.05, 1 - others));
    if (q.options.rank_shares && share_of(q, r) > 0)
        wait = std::min(wait, ahead / (rate * share_of(q, r)));
    return wait;
}

double predicted_wait_us(const queue& q, const work& item, double cost)
{
    return raw_wait_us(q, item, cost) *
           wait_correction(q.ranks[index_of(item.work_rank)]);
}

double first_token_us(const queue& q, std::size_t rank)
{
    const double measured = q.ranks[rank].first_token_us;
    return measured > 0 ? measured : q.limit.smoothed_us;
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
    while (const auto choice = pick_rank(q)) {
        auto& rank = q.ranks[*choice];
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
        record_wait(rank, *entry, now);
        account_tokens(q, *choice, entry->cost);
        count_in_progress(q, item.work_rank, 1, now);
        out.emplace_back(grant{item.request});
        q.in_progress.emplace(
            item.request, running_request{item, entry->cost, now, false});
    }
}

} // namespace oleanderhinge::admission::internal
