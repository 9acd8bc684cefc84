#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;
using std::chrono::milliseconds;

namespace
{

// After a power loss gateways are back before control has elected a leader,
// which takes up to 2 s. Requests that arrive before wait for the first table,
// since most callers have a single try left. Those whose wait ends without a
// table get 503 with a Retry-After.
constexpr auto max_table_wait = milliseconds(2000);
// Limits the memory of waiting requests, each of which may hold a body.
constexpr std::size_t max_table_waiters = 200;
// Allowance for answers that take longer than expected: servers slow down while
// an answer runs, mostly when other nodes stop too, and get its callers.
constexpr double slowdown_allowance = 1.5;
// Another gateway serves the caller at once.
constexpr auto drain_retry_after = milliseconds(10);

} // namespace

void forwarder::begin_drain(base::time_point end)
{
    this->drain_end = end;
    // Their waits may end earlier now.
    for (const auto& waiting : this->table_waiters)
        cancel_wait(*waiting);
}

void forwarder::end_drain()
{
    this->begin_drain(base::monotonic_now());
    this->end_unanswered();
    this->log_cut_answers();
}

// The process ends before these requests reach `log_answer`.
void forwarder::log_cut_answers()
{
    for (const auto& request : this->running)
        if (request->head_sent)
            spdlog::warn(
                "event=answer_cut request={} route={} attempts={} to={} "
                "events={} answer_tokens={} took_ms={:.0f}",
                request->metadata.id,
                request->route->name,
                request->attempts,
                request->logged_path,
                request->events.event_count,
                request->metadata.answer_tokens.value_or(0),
                ms_since(request->arrived));
}

// What decides whether a request that arrives during a drain is accepted.
void forwarder::log_drain_decision(const forwarding_request& request)
{
    const auto now = base::monotonic_now();
    if (!this->drain_end || !this->log.try_take(now))
        return;
    const auto ms = [](base::duration time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    spdlog::info(
        "event=drain_decision request={} route={} accepted={} left_ms={} "
        "expected_ms={} answer_tokens={}",
        request.metadata.id,
        request.route->name,
        !this->drain_verdict(request, now),
        ms(*this->drain_end - now),
        ms(this->time_to_answer(request, now)),
        request.metadata.answer_tokens.value_or(0));
}

base::duration forwarder::time_to_answer(
    const forwarding_request& request, base::time_point now) const
{
    const auto presumed = presumed_duration(*request.route, *request.service);
    const auto found = this->durations.find(request.service->name);
    auto expected = found == this->durations.end()
                        ? presumed
                        : expected_duration(found->second, presumed, now);
    if (request.metadata.answer_tokens)
        expected = std::max(
            expected,
            request.expected_wait +
                longest_answer(
                    *request.metadata.answer_tokens, request.token_ms));
    return std::chrono::duration_cast<base::duration>(
        expected * slowdown_allowance);
}

// Ends the attempts of requests whose callers have nothing yet, as at their
// deadline, so that they get an answer before the process ends.
void forwarder::end_unanswered()
{
    for (const auto& request : this->running) {
        if (request->head_sent)
            continue;
        request->deadline = std::min(request->deadline, steady_now());
        cancel_attempts(*request);
    }
}

// Why no attempt at the request may begin at `now`: the node probably ends
// before its answer, and before its deadline, at which it gets one in any case.
// A stream that has begun goes on, since its caller keeps the events.
std::optional<base::verdict> forwarder::drain_verdict(
    const forwarding_request& request, base::time_point now) const
{
    if (!this->drain_end || request.head_sent)
        return {};
    const auto deadline = to_base_time(request.deadline);
    const bool time_left = now < deadline;
    if (time_left && deadline <= *this->drain_end)
        return {};
    if (time_left &&
        now + this->time_to_answer(request, now) < *this->drain_end)
        return {};
    return base::not_run(
        failure_code::server_leaving,
        "this node stops before the request would end",
        drain_retry_after);
}

void forwarder::note_end(
    const forwarding_request& request, base::time_point started)
{
    // A change of the table may have removed the service.
    const auto found = this->durations.find(request.service->name);
    if (found == this->durations.end())
        return;
    note_request_ended(
        found->second,
        started,
        base::monotonic_now(),
        request.outcome.starts_with('2'));
}

// Waits for the first table, at most `max_table_wait` and half of the caller's
// time, and not until the end of a drain. Returns at once if too many requests
// wait.
asio::awaitable<void> forwarder::await_table(forwarding_request& request)
{
    if (this->table_waiters.size() >= max_table_waiters)
        co_return;
    const auto limit = [&] {
        auto result = request.arrived + max_table_wait;
        if (request.metadata.caller_timeout)
            result = std::min(
                result, request.arrived + *request.metadata.caller_timeout / 2);
        if (this->drain_end)
            result = std::min(
                result,
                to_steady_time(*this->drain_end - least_presumed_duration));
        return result;
    };
    const auto held = request.shared_from_this();
    this->table_waiters.insert(held);
    while (!this->index && !request.caller_left && steady_now() < limit())
        co_await wait_until(request, this->io, limit());
    this->table_waiters.erase(held);
    request.index = this->index;
}

} // namespace oleanderhinge::gateway
