#include "oleanderhinge/gateway/headers.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace
{

// A stream that is silent for this many times its longest pause, and at least
// `least_stall`, is continued elsewhere. Callers give up after 2 s.
constexpr int stall_gaps = 6;
constexpr auto least_stall = milliseconds(1500);
// Callers of a stream leave after a silence of two seconds. Before that, a
// stream whose servers refuse it is tried again after this time, in which some
// ten requests of a path end.
constexpr auto longest_silence = milliseconds(1800);
constexpr auto stream_pause = milliseconds(200);
// The first event may take this many times its target.
constexpr double first_event_targets = 3.5;

} // namespace

asio::awaitable<void> forwarder::serve_stream(forwarding_request& r)
{
    while (true) {
        auto found = choose_path(
            this->selector,
            *r.service,
            r.tried,
            r.priority,
            this->random,
            base::monotonic_now());
        if (found.parts.empty()) {
            if (co_await this->pause_stream(r))
                continue;
            const auto why =
                found.overloaded
                    ? base::not_run(
                          failure_code::overloaded,
                          "all paths are full or wait too long")
                    : base::not_run(
                          failure_code::no_server, "no path runs all layers");
            co_return co_await this->give_up(r, why);
        }
        const auto result =
            co_await this->attempt_stream(r, std::move(found.parts));
        if (result.end == attempt_end::answered)
            co_return;
        if (result.end == attempt_end::caller_left || r.caller_left) {
            r.outcome = "caller_left";
            co_return;
        }
        if (!co_await this->may_go_on(r, result.why))
            co_return co_await this->give_up(r, result.why);
        if (r.head_sent) {
            begin_resume(r.events);
            this->numbers.resumed_streams.Increment();
        }
    }
}

// One attempt along a path; notes what it shows of the servers.
asio::awaitable<forwarder::attempt_result>
forwarder::attempt_stream(forwarding_request& r, fleet::path parts)
{
    const auto started = base::monotonic_now();
    r.parts = std::move(parts);
    r.path = fleet::describe(r.parts);
    const auto first = r.parts.front().address;
    note_started(this->selector, first);
    r.progress = steady_now();
    r.waits_for = {};
    r.in_attempt = true;
    auto result = co_await this->stream_once(r);
    r.in_attempt = false;
    if (result.end == attempt_end::failed && !r.waits_for.address.empty())
        result.at_fault = r.waits_for;
    note_ended(this->selector, first);
    this->log_attempt(r, result, started);
    if (result.end == attempt_end::answered) {
        retry::note_success(this->budget);
        for (const auto& part : r.parts)
            this->selector.health[part.address].failures_in_a_row = 0;
    } else if (result.end == attempt_end::failed && !r.caller_left)
        this->note_fault(r, result);
    co_return result;
}

void forwarder::note_fault(forwarding_request& r, const attempt_result& result)
{
    if (result.at_fault.address.empty()) {
        // Any of them may be at fault.
        for (const auto& part : r.parts)
            r.tried.insert(part.address);
        return;
    }
    r.tried.insert(result.at_fault);
    if (result.why.state == base::execution::not_run &&
        result.why.code == failure_code::server_failed)
        note_refusal(this->selector, result.at_fault, base::monotonic_now());
    else
        note_failure(this->selector, result.at_fault, base::monotonic_now());
}

// Whether another attempt follows. A stream that has begun waits for it where
// servers are short of memory or the retry budget is.
asio::awaitable<bool>
forwarder::may_go_on(forwarding_request& r, base::verdict why)
{
    const bool refused_midway =
        r.head_sent && why.state == base::execution::not_run;
    if (!refused_midway && this->may_repeat(r, why, base::monotonic_now()))
        co_return true;
    while (co_await this->pause_stream(r))
        if (this->may_repeat(r, why, base::monotonic_now()))
            co_return true;
    co_return false;
}

// Waits a little with a stream that has begun, while its caller still waits
// and another attempt is allowed; false otherwise.
asio::awaitable<bool> forwarder::pause_stream(forwarding_request& r)
{
    if (!r.head_sent || r.caller_left || r.runs >= r.route->attempts ||
        steady_now() >= r.last_event + longest_silence)
        co_return false;
    co_await pause_until(r, this->io, steady_now() + stream_pause);
    // Memory comes free at servers that have refused.
    r.tried.clear();
    co_return !r.caller_left;
}

asio::awaitable<forwarder::attempt_result>
forwarder::stream_once(forwarding_request& r)
{
    r.line = this->pool.take(
        r.parts.front().address,
        is_repeatable(*r.route) ? net::reuse::allowed : net::reuse::never);
    auto request = this->outgoing(r, r.parts, r.parts.front().server);
    const auto sent = co_await this->open(r, std::move(request));
    if (sent.end != attempt_end::answered)
        co_return sent;
    auto limit = r.deadline;
    if (is_repeatable(*r.route) && r.runs < r.route->attempts &&
        r.route->target_latency_ms != 0)
        limit = std::min(
            limit,
            steady_now() +
                milliseconds(std::int64_t(
                    r.route->target_latency_ms * first_event_targets)));
    const auto head = co_await this->read_answer_head(r, limit);
    if (head.end != attempt_end::answered)
        co_return head;
    if (r.line->status() != 200) {
        if (r.head_sent)
            co_return failed_with<attempt_result>(base::may_have_run(
                failure_code::server_failed,
                "server answered " + std::to_string(r.line->status())));
        co_return co_await this->pass_on(r);
    }
    const auto facts =
        this->speak.read_answer(r.line->status(), r.line->fields());
    if (!facts.sealed)
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed, "answer without the server's mark"));
    co_return co_await this->relay(r);
}

// Passes the events of the stream on until it ends.
asio::awaitable<forwarder::attempt_result>
forwarder::relay(forwarding_request& r)
{
    const auto stall = std::max<milliseconds>(
        least_stall, stall_gaps * milliseconds(r.route->largest_gap_ms));
    const auto headers = end_to_end_fields(r.line->fields());
    while (!r.line->complete()) {
        std::string bytes;
        auto limit = r.deadline;
        if (is_repeatable(*r.route) && r.runs < r.route->attempts)
            limit = std::min(limit, steady_now() + stall);
        const error_code failed = co_await r.line->read_body(bytes, limit);
        const auto events = take_events(r.events, bytes);
        if (!events.empty() && !r.head_sent) {
            r.head_sent = true;
            this->numbers.first_byte_seconds.Observe(
                ms_since(r.arrived) / 1000);
            const bool begun =
                co_await r.exchange.begin_stream(200, "", headers);
            if (!begun)
                co_return attempt_result{attempt_end::caller_left, {}, {}};
        }
        const bool written = co_await this->write_events(r, events);
        if (!written || r.caller_left)
            co_return attempt_result{attempt_end::caller_left, {}, {}};
        if (failed || r.events.oversized)
            co_return failed_with<attempt_result>(base::may_have_run(
                steady_now() >= limit ? failure_code::deadline_exceeded
                                      : failure_code::server_failed,
                "stream broke off: " + failed.message()));
    }
    if (!r.events.partial.empty() || !r.head_sent)
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed, "stream ended inside an event"));
    this->pool.keep(std::exchange(r.line, nullptr));
    r.outcome = "200";
    const bool ended = co_await r.exchange.end_stream();
    if (!ended)
        r.outcome = "caller_left";
    co_return attempt_result{};
}

asio::awaitable<bool> forwarder::write_events(
    forwarding_request& r, const std::vector<std::string>& events)
{
    for (const auto& event : events) {
        const auto now = steady_now();
        if (r.last_event != steady_time{})
            this->numbers.gap_seconds.Observe(
                std::chrono::duration<double>(now - r.last_event).count());
        r.last_event = now;
        r.progress = now;
        this->numbers.events.Increment();
        const bool written = co_await r.exchange.write_chunk(event);
        if (!written)
            co_return false;
    }
    co_return true;
}

} // namespace oleanderhinge::gateway
