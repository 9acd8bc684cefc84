#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;

namespace
{

template <class Attempt>
bool is_answered(const std::shared_ptr<Attempt>& attempt)
{
    return attempt && attempt->ended && attempt->result &&
           attempt->result->end == attempt_end::answered;
}

template <class Attempt>
bool is_pending(const std::shared_ptr<Attempt>& attempt)
{
    return attempt && !attempt->ended;
}

// Which of two results without an answer is that of the request: one that may
// have run, so that the caller is not told otherwise, or the later one.
template <class Attempt>
int weight_of(const Attempt& attempt)
{
    if (attempt.result->end != attempt_end::failed)
        return 0;
    return attempt.result->why.state == base::execution::not_run ? 1 : 2;
}

} // namespace

// Whether a second attempt may run beside the first one.
bool forwarder::may_hedge(const forwarding_request& request) const
{
    return allows_hedges(this->options.hedges) &&
           is_repeatable(*request.route) && !request.route->streaming &&
           request.route->attempts > 1;
}

// Makes the attempt, and a second one at another server if the answer is late.
// Returns the one that counts, and cancels the other if it was answered.
asio::awaitable<forwarder::call_pointer>
forwarder::call_with_hedge(forwarding_request& request, call_pointer first)
{
    // Cancelled at the end of an attempt.
    const auto ended = std::make_shared<asio::steady_timer>(this->io);
    const auto wait_until_end = [&](steady_time limit) {
        ended->expires_at(limit);
        return ended->async_wait(asio::as_tuple(asio::use_awaitable));
    };
    auto& times = this->call_times[request.route->name];
    const auto delay = hedge_delay(
        times, this->terms_of(request, *first), base::monotonic_now());
    this->start_call(request, first, ended);
    call_pointer second;
    if (delay) {
        const auto start = first->started + *delay;
        while (!first->ended && steady_now() < start)
            co_await wait_until_end(start);
        // An attempt that has failed is repeated, not hedged.
        if (!first->result && !request.caller_left)
            second = this->make_hedge(request, *first);
        if (second)
            this->start_call(request, second, ended);
    }
    while (!is_answered(first) && !is_answered(second) &&
           (is_pending(first) || is_pending(second)))
        co_await wait_until_end(steady_time::max());
    for (const auto& attempt : {first, second}) {
        if (!attempt || !attempt->failure)
            continue;
        cancel_attempts(request);
        std::rethrow_exception(attempt->failure);
    }
    const bool second_counts =
        second && !is_answered(first) &&
        (is_answered(second) || weight_of(*second) >= weight_of(*first));
    auto counting = second_counts ? second : first;
    this->end_race(
        request, counting, second_counts ? first : second, second_counts);
    co_return counting;
}

void forwarder::start_call(
    forwarding_request& request,
    const call_pointer& attempt,
    const std::shared_ptr<asio::steady_timer>& ended)
{
    note_attempt_started(
        this->call_times[request.route->name],
        attempt->data_centre,
        attempt->noted_start);
    // The attempt may end after the request.
    asio::co_spawn(
        this->io,
        this->call_once(request, *attempt),
        [this, held = request.shared_from_this(), attempt, ended](
            const std::exception_ptr& failure) {
            attempt->failure = failure;
            attempt->ended = true;
            this->note_call_end(*held, *attempt);
            ended->cancel();
        });
}

// Notes how long the attempt took. One that was cancelled took at least as
// long, which is news only of the first attempt, since the second one has had
// less time than requests usually take.
void forwarder::note_call_end(
    forwarding_request& request, call_attempt& attempt)
{
    // A change of the table may have removed the route.
    const auto found = this->call_times.find(request.route->name);
    if (found == this->call_times.end())
        return;
    const auto now = base::monotonic_now();
    const bool answered =
        attempt.result && attempt.result->end == attempt_end::answered;
    const bool outrun = attempt.cancelled && !attempt.hedge;
    if (outrun)
        note_outrun(
            this->selector, attempt.to.address, ms_since(attempt.started));
    if (answered || outrun)
        note_attempt_ended(
            found->second,
            this->terms_of(request, attempt),
            attempt.data_centre,
            attempt.noted_start,
            now);
    else
        note_attempt_failed(
            found->second, attempt.data_centre, attempt.noted_start);
}

// The second attempt, which is not started yet; null if none is made.
forwarder::call_pointer
forwarder::make_hedge(forwarding_request& request, const call_attempt& first)
{
    const auto now = base::monotonic_now();
    auto target = this->find_hedge(request, first);
    if (target.refusal == hedge_refusal::none)
        target.refusal = take_hedge(
            this->hedge_limit_of(request), this->budget_of(request), now);
    if (target.refusal != hedge_refusal::none) {
        request.hedge = to_string(target.refusal);
        this->stats.count_withheld_hedge(to_string(target.refusal));
        return nullptr;
    }
    this->stats.count_hedge("made");
    auto made = this->make_call(request, *target.server);
    made->hedge = true;
    return made;
}

hedge_target
forwarder::find_hedge(forwarding_request& request, const call_attempt& first)
{
    const auto now = base::monotonic_now();
    if (request.possible_runs >= request.route->attempts ||
        request.attempts >= request.route->attempts)
        return {{}, hedge_refusal::attempts};
    if (this->drain_end ||
        !this->may_repeat_after_crash(
            request, base::may_have_run(failure_code::server_failed, "")))
        return {{}, hedge_refusal::not_allowed};
    const auto& times = this->call_times[request.route->name];
    if (left_until(request.deadline) <=
        answer_time(times, 0.5, now).value_or(base::duration(0)))
        return {{}, hedge_refusal::no_time};
    return choose_hedge_server(
        this->selector,
        request.service->name,
        request.tried,
        slow_data_centres(times, this->terms_of(request, first), now),
        this->random,
        now);
}

// Cancels the attempt that does not count.
void forwarder::end_race(
    forwarding_request& request,
    const call_pointer& counting,
    const call_pointer& other,
    bool second_counts)
{
    if (!other)
        return;
    const char* event = "failed";
    if (is_answered(counting))
        event = second_counts ? "won" : "lost";
    request.hedge = event;
    this->stats.count_hedge(event);
    request.logged_path = counting->to.id.value();
    if (is_answered(counting))
        std::erase(request.call_connections, counting->connection);
    if (!other->result) {
        other->cancelled = true;
        this->stats.cancelled_attempts.Increment();
    }
    cancel_attempts(request);
}

hedge_terms forwarder::terms_of(
    const forwarding_request& request, const call_attempt& attempt) const
{
    base::duration target(0);
    if (request.route->target_latency_ms != 0)
        target = std::chrono::duration_cast<base::duration>(
            request.arrived +
            std::chrono::milliseconds(request.route->target_latency_ms) -
            attempt.started);
    return {target, hedge_quantile(this->options.hedges)};
}

} // namespace oleanderhinge::gateway
