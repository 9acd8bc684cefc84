#include "oleanderhinge/gateway/headers.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"
#include "oleanderhinge/gateway/internal/takeover.hpp"
#include "oleanderhinge/gateway/path_change.hpp"

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

// A stream that servers refuse is tried again after each `resume_retry_wait`,
// in which about ten requests of a path end, until `resume_margin` before its
// caller leaves.
constexpr auto resume_retry_wait = milliseconds(200);
constexpr auto resume_margin = milliseconds(200);
// A caller that waits for its first event gets a failure this long before it
// would leave.
constexpr auto first_event_margin = milliseconds(100);

// Whether these bytes complete an event.
bool holds_event(
    event_buffer buffer, event_position position, std::string_view bytes)
{
    return !take_events(buffer, position, bytes).empty();
}

} // namespace

milliseconds caller_silence_limit(const wire::forwarding_route& route)
{
    return std::max(
        {milliseconds(2000),
         4 * milliseconds(route.target_latency_ms),
         8 * milliseconds(route.largest_gap_ms)});
}

asio::awaitable<void> forwarder::serve_stream(forwarding_request& request)
{
    while (true) {
        if (const auto why = this->attempt_verdict(request))
            co_return co_await this->fail_request(request, *why);
        auto found = choose_path(
            this->selector,
            *request.service,
            request.tried,
            request.priority,
            this->random,
            base::monotonic_now(),
            request.head_sent
                ? milliseconds(0)
                : milliseconds(request.index->shortest_stream_target(
                      request.service->name)));
        if (found.parts.empty()) {
            if (co_await this->wait_to_resume(request))
                continue;
            if (found.limited || !found.overloaded)
                co_return co_await this->fail_without_server(
                    request,
                    request.service->engine
                        ? "no path runs all layers"
                        : "no server of the service is usable");
            const auto why = base::not_run(
                failure_code::overloaded,
                "all paths are full or wait too long");
            co_return co_await this->fail_request(request, why);
        }
        request.token_ms = found.token_ms;
        request.expected_wait = found.expected_wait;
        this->log_drain_decision(request);
        if (const auto why =
                this->drain_verdict(request, base::monotonic_now()))
            co_return co_await this->fail_request(request, *why);
        auto result =
            co_await this->attempt_stream(request, std::move(found.parts));
        while (result.end == attempt_end::replaced)
            result = co_await this->attempt_stream(
                request, request.takeover->next.parts);
        if (result.end == attempt_end::answered)
            co_return;
        if (result.end == attempt_end::withheld && !request.caller_left)
            continue;
        if (result.end == attempt_end::caller_left || request.caller_left) {
            request.outcome = "caller_left";
            co_return;
        }
        if (!co_await this->may_continue(request, result.why))
            co_return co_await this->fail_request(request, result.why);
        if (request.head_sent)
            this->stats.resumed_streams.Increment();
    }
}

// Makes one attempt along a path, and records its result for the health of the
// servers.
asio::awaitable<forwarder::attempt_result>
forwarder::attempt_stream(forwarding_request& request, fleet::path parts)
{
    const auto started = base::monotonic_now();
    request.parts = std::move(parts);
    request.logged_path = fleet::describe(request.parts);
    const auto first = request.parts.front().address;
    note_started(this->selector, first);
    request.attempt_started = steady_now();
    request.last_progress = request.attempt_started;
    request.waits_for = {};
    request.in_attempt = true;
    auto result = co_await this->stream_once(request);
    request.in_attempt = false;
    // A takeover may have begun before the attempt had an answer.
    if ((result.end == attempt_end::failed ||
         result.end == attempt_end::withheld) &&
        request.takeover && co_await this->is_replaced(request, false))
        result = {attempt_end::replaced, {}, {}};
    if (result.end == attempt_end::failed && !request.waits_for.address.empty())
        result.at_fault = request.waits_for;
    // The gateway has left the path, and no server has failed.
    if (request.retry_reserved)
        result.timed_out = true;
    note_ended(this->selector, first);
    this->log_attempt(request, result, request.connection, started);
    if (result.end == attempt_end::answered) {
        for (const auto& part : request.parts)
            this->selector.health[part.address].failures_in_a_row = 0;
    } else if (result.end == attempt_end::failed && !request.caller_left) {
        this->note_fault(request, result);
        co_await this->note_crash(request, result, first, request.attempts);
    }
    co_return result;
}

void forwarder::note_fault(
    forwarding_request& request, const attempt_result& result)
{
    auto at_fault = result.at_fault;
    // Without engines, the first server is the only one.
    if (at_fault.address.empty() && !request.service->engine)
        at_fault = request.parts.front().address;
    if (at_fault.address.empty()) {
        // Each server of the path may be at fault.
        for (const auto& part : request.parts)
            request.tried.insert(part.address);
        return;
    }
    request.tried.insert(at_fault);
    if (result.why.state == base::execution::not_run &&
        result.why.code == failure_code::server_failed)
        note_refusal(this->selector, at_fault, base::monotonic_now());
    else
        note_failure(this->selector, at_fault, base::monotonic_now());
}

// Whether another attempt follows. A stream that has begun waits for one if a
// server refused it, which is mostly for lack of memory, or if the retry budget
// is empty.
asio::awaitable<bool>
forwarder::may_continue(forwarding_request& request, base::verdict why)
{
    if (!this->may_repeat_after_crash(request, why))
        co_return false;
    const bool refused_midway =
        request.head_sent && why.state == base::execution::not_run;
    if (!refused_midway &&
        this->may_repeat(request, why, base::monotonic_now()))
        co_return true;
    const auto service = request.service->name;
    bool granted = false;
    bool counted = false;
    while (!granted && co_await this->wait_to_resume(request)) {
        granted = this->may_repeat(request, why, base::monotonic_now());
        if (!granted && !std::exchange(counted, true))
            ++this->waiting_streams[service];
    }
    if (counted && --this->waiting_streams[service] == 0)
        this->waiting_streams.erase(service);
    co_return granted;
}

// Waits `resume_retry_wait`. Returns false if the stream has not begun, its
// caller has left or is about to leave, or it gets no further attempt.
asio::awaitable<bool> forwarder::wait_to_resume(forwarding_request& request)
{
    if (!request.head_sent || request.caller_left ||
        !is_repeatable(*request.route) ||
        request.possible_runs >= request.route->attempts ||
        steady_now() >= request.last_event +
                            caller_silence_limit(*request.route) -
                            resume_margin)
        co_return false;
    co_await wait_until(request, this->io, steady_now() + resume_retry_wait);
    // Servers that refused may have free memory by now.
    request.tried.clear();
    co_return !request.caller_left;
}

// Takes the retry for another attempt at the request now and returns its path;
// empty if there is none. `avoided` is excluded beside the servers that have
// failed it.
fleet::path forwarder::reserve_attempt(
    forwarding_request& request, const std::set<wire::endpoint>& avoided)
{
    if (!is_repeatable(*request.route) ||
        request.possible_runs >= request.route->attempts ||
        (!request.head_sent && this->has_waiting_streams(request)))
        return {};
    const auto now = base::monotonic_now();
    if (this->drain_verdict(request, now))
        return {};
    auto excluded = request.tried;
    excluded.insert(avoided.begin(), avoided.end());
    auto found = choose_path(
        this->selector,
        *request.service,
        excluded,
        request.priority,
        this->random,
        now);
    if (found.parts.empty() ||
        // The present attempt ends before the next one gets its permit.
        (!request.head_sent &&
         has_limit(
             this->selector.permits,
             incarnation_of(this->selector, found.parts.front().server),
             now)) ||
        (!request.head_sent && !leaves_before_start(
                                   std::chrono::duration_cast<base::duration>(
                                       steady_now() - request.attempt_started),
                                   found.expected_wait)) ||
        !retry::take_retry(this->budget_of(request), now))
        return {};
    return std::move(found.parts);
}

// Cancels the attempt of a request that has not begun if another path would
// probably begin it sooner.
bool forwarder::leave_before_start(forwarding_request& request)
{
    std::set<wire::endpoint> avoided;
    for (const auto& part : request.parts)
        avoided.insert(part.address);
    request.retry_reserved = !this->reserve_attempt(request, avoided).empty();
    if (request.retry_reserved) {
        this->stats.left_paths.Increment();
        request.connection->cancel();
    }
    return request.retry_reserved;
}

bool forwarder::has_waiting_streams(const forwarding_request& request) const
{
    return this->waiting_streams.contains(request.service->name);
}

// When the wait for the first event of an attempt ends: shortly before the
// caller would leave, so that it can try again while an attempt is left. For a
// stream that has begun, `stall_watch` decides.
steady_time forwarder::first_event_limit(const forwarding_request& request)
{
    if (request.head_sent || !is_repeatable(*request.route) ||
        request.possible_runs >= request.route->attempts ||
        request.route->target_latency_ms == 0)
        return request.deadline;
    return std::min(
        request.deadline,
        request.attempt_started + caller_silence_limit(*request.route) -
            first_event_margin);
}

asio::awaitable<forwarder::attempt_result>
forwarder::stream_once(forwarding_request& request)
{
    if (request.takeover &&
        request.takeover->state == takeover_state::granted) {
        // The copy of the request ends here, not with the stream.
        {
            const auto granted = std::exchange(request.takeover, nullptr);
            request.connection = granted->next.connection;
            request.sent_to = granted->next.sent_to;
            request.tried.insert(
                granted->avoided.begin(), granted->avoided.end());
        }
        this->stats.resumed_streams.Increment();
        co_return co_await this->relay_events(request);
    }
    request.connection =
        this->pool.take(request.parts.front().address, allowed_reuse(request));
    auto to_send = this->make_backend_request(
        request, request.parts, request.parts.front().server);
    request.sent_to =
        incarnation_of(this->selector, request.parts.front().server);
    const auto connection = request.connection;
    const auto sent = co_await this->send_request(
        request, *connection, request.parts.front().server, std::move(to_send));
    if (sent.end != attempt_end::answered)
        co_return sent;
    request.awaits_server = true;
    const auto head = co_await this->read_answer_head(
        request, *connection, request.sent_to, first_event_limit(request));
    request.awaits_server = false;
    if (head.why.code == failure_code::deadline_exceeded)
        this->note_first_event(request);
    if (head.end != attempt_end::answered)
        co_return head;
    const bool has_events =
        request.connection->status() == 200 &&
        request.incoming.method() != boost::beast::http::verb::head;
    if (!has_events && !request.head_sent)
        co_return co_await this->relay_whole_answer(request);
    if (auto failed = this->check_stream_head(request))
        co_return std::move(*failed);
    co_return co_await this->relay_events(request);
}

// Why the answer whose head has arrived is no stream of the server's own.
std::optional<forwarder::attempt_result>
forwarder::check_stream_head(const forwarding_request& request) const
{
    if (request.connection->status() != 200)
        return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed,
            "server answered " + std::to_string(request.connection->status())));
    if (!this->has_servers_body(*request.connection))
        return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed, "answer without the server's mark"));
    return std::nullopt;
}

// Relays complete events until the stream ends. The answer to the caller begins
// with the first event. Fails if the stream breaks off; `stall_watch` cancels
// the connection of a stream that stalls.
asio::awaitable<forwarder::attempt_result>
forwarder::relay_events(forwarding_request& request)
{
    const auto headers = end_to_end_fields(request.connection->fields());
    event_buffer buffer;
    answer_share share(this->memory);
    const auto events_before = request.events.event_count;
    const auto broken_off = [&](base::verdict why) {
        auto result = failed_with<attempt_result>(std::move(why));
        result.partial_bytes = buffer.partial.size();
        return result;
    };
    while (!request.connection->complete()) {
        std::string bytes;
        request.awaits_server = true;
        const error_code failed = co_await request.connection->read_body(
            bytes, first_event_limit(request));
        request.awaits_server = false;
        if (request.takeover &&
            co_await this->is_replaced(
                request,
                !failed && (request.connection->complete() ||
                            holds_event(buffer, request.events, bytes))))
            co_return attempt_result{attempt_end::replaced, {}, {}};
        const auto events = take_events(buffer, request.events, bytes);
        if (!events.empty() && !request.head_sent) {
            request.head_sent = true;
            this->note_answer(request);
            this->note_first_event(request);
            this->stats.first_byte_seconds.Observe(
                ms_since(request.arrived) / 1000);
            const bool begun =
                co_await request.exchange.begin_stream(200, "", headers);
            if (!begun)
                co_return attempt_result{attempt_end::caller_left, {}, {}};
        }
        const bool written = co_await this->write_events(request, events);
        if (!written || request.caller_left)
            co_return attempt_result{attempt_end::caller_left, {}, {}};
        buffer.malformed |= !share.resize(buffer.partial.capacity());
        if (failed || buffer.malformed)
            co_return broken_off(base::may_have_run(
                steady_now() >= first_event_limit(request)
                    ? failure_code::deadline_exceeded
                    : failure_code::server_failed,
                buffer.malformed ? "bytes that are no event"
                                 : "stream broke off: " + failed.message()));
    }
    // Whether a stream that ends with its connection is complete shows only in
    // its events, and one that brings none shows nothing.
    const bool empty = request.events.event_count == events_before;
    if (empty && request.connection->ends_with_connection())
        co_return broken_off(base::may_have_run(
            failure_code::server_failed, "stream ended without an event"));
    if (!buffer.partial.empty() || !request.head_sent)
        co_return broken_off(base::may_have_run(
            failure_code::server_failed, "stream ended inside an event"));
    this->pool.keep(std::exchange(request.connection, nullptr));
    request.outcome = "200";
    const bool ended = co_await request.exchange.end_stream();
    if (!ended)
        request.outcome = "caller_left";
    co_return attempt_result{};
}

// Notes how long a new stream has waited for its first event until now. The
// engines of a data centre share what delays them; other servers do not.
void forwarder::note_first_event(const forwarding_request& request)
{
    if (!request.service->engine)
        return;
    gateway::note_first_event(
        this->selector.ended_waits,
        request.parts.front().data_centre,
        std::chrono::duration_cast<base::duration>(
            steady_now() - request.attempt_started),
        base::monotonic_now());
}

asio::awaitable<bool> forwarder::write_events(
    forwarding_request& request, const std::vector<std::string>& events)
{
    for (const auto& event : events) {
        const auto now = steady_now();
        if (request.last_event != steady_time{})
            this->stats.gap_seconds.Observe(
                std::chrono::duration<double>(now - request.last_event)
                    .count());
        request.last_event = now;
        this->stats.events.Increment();
        const bool written = co_await request.exchange.write_chunk(event);
        // A caller that reads slowly is not the server's silence.
        request.last_progress = steady_now();
        if (!written)
            co_return false;
    }
    co_return true;
}

} // namespace oleanderhinge::gateway
