#include "oleanderhinge/admission/queue.hpp"

#include "oleanderhinge/admission/internal/dispatch.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

namespace oleanderhinge::admission
{

namespace
{

using namespace internal;

constexpr double smoothing = 0.05;

void smooth(double& value, double sample)
{
    value = value == 0 ? sample : value + smoothing * (sample - value);
}

std::string milliseconds_text(double us)
{
    return std::to_string(std::int64_t(us / 1000)) + " ms";
}

// Refusal of a request whose predicted wait exceeds its deadline or the longest
// wait of its rank; none if it should be queued.
std::optional<refuse>
early_refusal(queue& q, const work& item, double wait_us, base::time_point now)
{
    if (!q.options.early_refusal)
        return std::nullopt;
    const double allowed = std::min(
        double((item.first_token_deadline - now).count()) -
            first_token_us(q, index_of(item.work_rank)),
        double(q.options.max_wait[index_of(item.work_rank)].count()));
    if (item.first_token_deadline <= now)
        return refusal(
            q,
            item.request,
            base::failure_code::deadline_exceeded,
            "the deadline of the first token has passed",
            0);
    if (wait_us <= std::max(0.0, allowed))
        return std::nullopt;
    return refusal(
        q,
        item.request,
        base::failure_code::overloaded,
        "predicted wait of " + milliseconds_text(wait_us) +
            " misses the deadline of the first token",
        wait_us - allowed);
}

// Rank that loses a request from a full queue to one of rank `arriving`: the
// least urgent one with more queued requests than its share of `max_queued`.
std::size_t shed_rank(const queue& q, std::size_t arriving)
{
    for (std::size_t r = base::rank_count; r-- > arriving + 1;) {
        const double places =
            q.options.rank_shares
                ? share_of(q, r) * double(q.options.max_queued)
                : 0;
        if (double(q.ranks[r].queued) > places)
            return r;
    }
    const double own = share_of(q, arriving) * double(q.options.max_queued);
    if (!q.options.rank_shares || double(q.ranks[arriving].queued) >= own)
        return arriving;
    // The arriving rank is below its share, so a more urgent one exceeds its
    // own.
    for (std::size_t r = 0; r < arriving; ++r)
        if (double(q.ranks[r].queued) >
            share_of(q, r) * double(q.options.max_queued))
            return r;
    return arriving;
}

// Refuses a queued request of a full queue in favour of the arriving one.
// Returns false if the arriving request itself should be refused.
bool shed(queue& q, const work& item, double cost, actions& out)
{
    const auto arriving = index_of(item.work_rank);
    const auto r = shed_rank(q, arriving);
    const auto* candidate = shedding_candidate(q.ranks[r]);
    if (candidate == nullptr)
        return false;
    const auto shed_request = candidate->item;
    const auto account = account_of(q, shed_request);
    if (r == arriving) {
        const auto own = account_of(q, item);
        const double own_backlog =
            weighted_backlog(q.ranks[r], own) +
            cost / double(std::max(1U, item.customer_weight));
        if (own == account ||
            own_backlog >= weighted_backlog(q.ranks[r], account))
            return false;
    }
    erase(q.ranks[r], account, shed_request.request, q.mean_cost);
    q.queued.erase(shed_request.request);
    out.emplace_back(refusal(
        q,
        shed_request.request,
        base::failure_code::overloaded,
        "the queue is full and other work goes first",
        predicted_wait_us(q, shed_request, q.mean_cost)));
    return true;
}

void enqueue(queue& q, const work& item, double cost, base::time_point now)
{
    const auto account = account_of(q, item);
    const double predicted = raw_wait_us(q, item, cost);
    push(
        q.ranks[index_of(item.work_rank)],
        account,
        item.customer_weight,
        queued_request{item, cost, now, predicted},
        q.mean_cost);
    q.queued.emplace(item.request, queue_location{item.work_rank, account});
}

// Corrects the accounts of a request's rank and customer by the difference
// between its actual cost and the charged one.
void correct_accounts(queue& q, const running_request& done, double actual)
{
    auto& rank = q.ranks[index_of(done.item.work_rank)];
    account_tokens(q, index_of(done.item.work_rank), actual - done.cost);
    release(rank, account_of(q, done.item), done.cost - actual, q.mean_cost);
}

void update_estimates(
    queue& q,
    const running_request& done,
    double actual,
    double generated,
    base::time_point now)
{
    smooth(q.slot_us_per_token, double((now - done.since).count()) / actual);
    if (done.item.max_tokens == 0)
        return;
    smooth(
        q.ranks[index_of(done.item.work_rank)].generated_ratio,
        std::clamp(generated / double(done.item.max_tokens), 0.01, 1.0));
}

} // namespace

queue make_queue(const queue_options& options, std::uint64_t seed)
{
    queue q;
    q.options = options;
    q.options.max_queued = std::max(1U, options.max_queued);
    q.limit = make_limit(options.limit);
    q.random = base::random_source{seed};
    return q;
}

actions submit(queue& q, const work& item, base::time_point now)
{
    actions out;
    if (is_queued(q, item.request) || is_in_progress(q, item.request))
        return out;
    const double cost = estimate(q, item);
    smooth(q.mean_cost, cost);
    const double wait = predicted_wait_us(q, item, cost);
    if (auto refused = early_refusal(q, item, wait, now)) {
        out.emplace_back(std::move(*refused));
        return out;
    }
    if (q.queued.size() >= q.options.max_queued && !shed(q, item, cost, out)) {
        out.emplace_back(refusal(
            q,
            item.request,
            base::failure_code::overloaded,
            "the queue is full",
            wait));
        return out;
    }
    enqueue(q, item, cost, now);
    dispatch(q, now, out);
    return out;
}

actions submit_now(queue& q, const work& item, base::time_point now)
{
    actions out;
    if (is_queued(q, item.request) || is_in_progress(q, item.request))
        return out;
    const double headroom = item.work_rank == base::rank::urgent
                                ? 2 * q.options.immediate_headroom
                                : q.options.immediate_headroom;
    const double ceiling = std::ceil(double(q.limit.current) * (1 + headroom));
    if (double(q.in_progress.size()) >= ceiling) {
        out.emplace_back(refusal(
            q,
            item.request,
            base::failure_code::overloaded,
            "all slots of this stage are in use",
            q.mean_cost * q.slot_us_per_token / double(q.limit.current)));
        return out;
    }
    const double cost = estimate(q, item);
    smooth(q.mean_cost, cost);
    count_in_progress(q, item.work_rank, 1, now);
    q.in_progress.emplace(item.request, running_request{item, cost, now, true});
    out.emplace_back(grant{item.request});
    return out;
}

actions finish(
    queue& q,
    const base::request_id& request,
    base::token_count actual_tokens,
    base::time_point now)
{
    actions out;
    const auto it = q.in_progress.find(request);
    if (it == q.in_progress.end())
        return out;
    const running_request done = it->second;
    q.in_progress.erase(it);
    count_in_progress(q, done.item.work_rank, -1, now);
    const double generated = std::max(
        0.0, double(actual_tokens.value()) - double(done.item.prompt_tokens));
    const double actual = cost_of(q, done.item, generated);
    update_estimates(q, done, actual, generated, now);
    if (!done.immediate)
        correct_accounts(q, done, actual);
    dispatch(q, now, out);
    return out;
}

actions cancel(queue& q, const base::request_id& request, base::time_point now)
{
    actions out;
    if (const auto it = q.queued.find(request); it != q.queued.end()) {
        const auto place = it->second;
        q.queued.erase(it);
        erase(
            q.ranks[index_of(place.work_rank)],
            place.account,
            request,
            q.mean_cost);
        return out;
    }
    const auto it = q.in_progress.find(request);
    if (it == q.in_progress.end())
        return out;
    const running_request dropped = it->second;
    q.in_progress.erase(it);
    count_in_progress(q, dropped.item.work_rank, -1, now);
    if (!dropped.immediate)
        correct_accounts(q, dropped, 0);
    dispatch(q, now, out);
    return out;
}

actions expire(queue& q, base::time_point now)
{
    actions out;
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        const auto needed = base::duration(std::int64_t(first_token_us(q, r)));
        const auto max_wait = q.options.max_wait[r];
        const auto late = find_queued(q.ranks[r], [&](const queued_request& w) {
            return now + needed > w.item.first_token_deadline ||
                   now - w.since > max_wait;
        });
        for (const auto& [account, request] : late) {
            erase(q.ranks[r], account, request, q.mean_cost);
            q.queued.erase(request);
            out.emplace_back(refusal(
                q,
                request,
                base::failure_code::deadline_exceeded,
                "the request waited too long in the queue",
                q.mean_cost * q.slot_us_per_token));
        }
    }
    dispatch(q, now, out);
    return out;
}

actions
set_shares(queue& q, const wire::rank_shares& shares, base::time_point now)
{
    actions out;
    q.shares = shares;
    dispatch(q, now, out);
    return out;
}

actions observe_step(queue& q, base::duration latency, base::time_point now)
{
    actions out;
    observe(q.limit, latency, std::uint32_t(q.in_progress.size()));
    dispatch(q, now, out);
    return out;
}

void observe_first_token(
    queue& q, const base::request_id& request, base::duration since_grant)
{
    const auto it = q.in_progress.find(request);
    if (it != q.in_progress.end())
        smooth(
            q.ranks[index_of(it->second.item.work_rank)].first_token_us,
            std::max(1.0, double(since_grant.count())));
}

wire::load_report load(const queue& q)
{
    wire::load_report report;
    report.in_progress = std::uint32_t(q.in_progress.size());
    report.limit = q.limit.current;
    report.queued = std::uint32_t(q.queued.size());
    double tokens = 0;
    for (const auto& rank : q.ranks)
        tokens += rank.queued_cost;
    report.queued_tokens = base::token_count{std::uint64_t(tokens)};
    report.queued_by_rank = queued_by_rank(q);
    report.step_us = std::uint32_t(std::min(q.limit.smoothed_us, 4e9));
    return report;
}

std::array<std::uint32_t, base::rank_count> queued_by_rank(const queue& q)
{
    std::array<std::uint32_t, base::rank_count> counts{};
    for (std::size_t r = 0; r < base::rank_count; ++r)
        counts[r] = q.ranks[r].queued;
    return counts;
}

bool is_queued(const queue& q, const base::request_id& request)
{
    return q.queued.contains(request);
}

bool is_in_progress(const queue& q, const base::request_id& request)
{
    return q.in_progress.contains(request);
}

std::size_t customer_count(const queue& q)
{
    std::size_t count = 0;
    for (const auto& rank : q.ranks)
        count += rank.customers.size();
    return count;
}

} // namespace oleanderhinge::admission
