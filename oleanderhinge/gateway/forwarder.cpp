#include "oleanderhinge/gateway/forwarder.hpp"

#include "oleanderhinge/gateway/headers.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::failure_code;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace
{

// A connection to a server one data centre away takes 2 ms; a server without
// power does not answer at all.
constexpr auto connect_limit = milliseconds(300);
// Share of the remaining time that one attempt at a repeatable call may take,
// so that time is left for another server.
constexpr double call_share = 0.4;
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
// After a loss of power gateways are back before control has a leader, which
// takes up to two seconds. Until then, callers wait, and most of them have a
// single try left; those that come later are told when to come back.
constexpr auto longest_wait_for_table = milliseconds(2000);
constexpr auto without_table_retry_after = milliseconds(1000);
constexpr auto table_check_interval = milliseconds(20);
// Requests that wait for a table; each may hold a body.
constexpr std::size_t most_waiting_for_table = 200;
// Answers to other requests that are skipped on one connection.
constexpr int most_stray_answers = 2;
// When a refused caller may come back: after the time in which a path gets
// room or a server is back in use, spread so that callers do not return at
// once.
constexpr double least_retry_after_s = 0.3;
constexpr double retry_after_spread_s = 0.5;

steady_time steady_now()
{
    return std::chrono::steady_clock::now();
}

milliseconds left_until(steady_time limit)
{
    return std::max(
        std::chrono::duration_cast<milliseconds>(limit - steady_now()),
        milliseconds(0));
}

double ms_since(steady_time start)
{
    return std::chrono::duration<double, std::milli>(steady_now() - start)
        .count();
}

// 503 promises that the request has not run and will not; other failures of
// the gateway promise nothing.
unsigned status_of(const base::verdict& why)
{
    if (why.state == base::execution::not_run &&
        why.code != failure_code::unauthenticated &&
        why.code != failure_code::unknown_route)
        return 503;
    const auto status = base::http_status(why);
    return why.state != base::execution::not_run && status == 503 ? 502
                                                                  : status;
}

bool is_repeatable(const wire::forwarding_route& route)
{
    return route.repeat != wire::repeat_rule::at_most_once;
}

} // namespace

enum class attempt_end : std::uint8_t { answered, failed, caller_left };

struct forwarder::attempt_result {
    attempt_end end = attempt_end::answered;
    base::verdict why;
    // The server that is known to be at fault; empty address: unknown.
    wire::endpoint at_fault;
};

namespace
{

template <class Result>
Result failed_with(base::verdict why, wire::endpoint at_fault = {})
{
    return {attempt_end::failed, std::move(why), std::move(at_fault)};
}

} // namespace

forwarder::forwarder(
    asio::io_context& context,
    const dialect& dialect_in,
    server_choice& choice_in,
    metrics& numbers_in,
    forwarder_options chosen)
    : io(context)
    , speak(dialect_in)
    , choice(choice_in)
    , numbers(numbers_in)
    , pool(context)
    , options(std::move(chosen))
    , stalls(context, dialect_in, choice_in, numbers_in, options.suspect)
    , budget(retry::make_budget(options.retries, base::monotonic_now()))
    , random(options.seed)
{
}

void forwarder::share_budget(std::uint32_t gateways)
{
    const double share = std::max(gateways, 1U);
    this->budget.options.floor_per_second =
        this->options.retries.floor_per_second / share;
    this->budget.options.max_saved =
        std::max(1.0, this->options.retries.max_saved / share);
}

void forwarder::use(std::shared_ptr<const route_index> next)
{
    this->index = std::move(next);
    this->numbers.table_version.Set(double(this->index->table().version));
}

asio::awaitable<void>
forwarder::handle(net::http_request request, net::http_exchange& exchange)
{
    ++this->active;
    this->numbers.in_progress.Set(double(this->active));
    // Shared, since the callback may outlive this coroutine.
    const auto held =
        std::make_shared<forwarding_request>(std::move(request), exchange);
    auto& r = *held;
    r.index = this->index;
    r.arrived = steady_now();
    r.facts = this->speak.read_request(r.request.base());
    exchange.watch_client([weak = std::weak_ptr(held)] {
        const auto left = weak.lock();
        if (!left)
            return;
        left->caller_left = true;
        if (left->line)
            left->line->cancel();
    });
    co_await this->serve(r);
    --this->active;
    this->numbers.in_progress.Set(double(this->active));
    this->log_answer(r);
}

// Waits a little for the first table.
asio::awaitable<void> forwarder::await_table(forwarding_request& r)
{
    if (this->waiting_for_table >= most_waiting_for_table)
        co_return;
    auto limit = r.arrived + longest_wait_for_table;
    if (r.facts.patience)
        limit = std::min(limit, r.arrived + *r.facts.patience / 2);
    ++this->waiting_for_table;
    while (!this->index && !r.caller_left && steady_now() < limit) {
        asio::steady_timer timer(
            this->io, std::min(limit, steady_now() + table_check_interval));
        error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    --this->waiting_for_table;
    r.index = this->index;
}

asio::awaitable<void> forwarder::serve(forwarding_request& r)
{
    if (!r.index) {
        co_await this->await_table(r);
        if (r.caller_left) {
            r.outcome = "caller_left";
            co_return;
        }
    }
    if (!r.index) {
        const auto why = base::not_run(
            failure_code::not_ready,
            "no configuration yet",
            without_table_retry_after);
        co_return co_await this->refuse(r, why);
    }
    r.route = r.index->find_route(
        std::string_view(r.request[http::field::host]),
        std::string_view(r.request.target()));
    if (r.route == nullptr) {
        const auto why = base::not_run(
            failure_code::unknown_route, "no route matches host and path");
        co_return co_await this->refuse(r, why);
    }
    r.priority = r.route->priority;
    if (r.index->table().needs_keys && !r.route->anonymous) {
        const auto* customer = r.index->find_customer(r.facts.key);
        if (customer == nullptr) {
            const auto why =
                base::not_run(failure_code::unauthenticated, "unknown key");
            co_return co_await this->refuse(r, why);
        }
        r.customer = customer->id;
        r.priority = customer->priority.value_or(r.route->priority);
    }
    const auto limit = milliseconds(r.route->timeout_ms);
    r.deadline = r.arrived + std::min(r.facts.patience.value_or(limit), limit);
    const auto& name = pick_target(*r.route, this->random);
    r.service = r.index->find_service(name);
    if (!r.route->streaming || !r.service->engine)
        co_return co_await this->serve_call(r);
    this->stalls.add(r.shared_from_this());
    co_await this->serve_stream(r);
    this->stalls.remove(r.facts.id);
}

asio::awaitable<void> forwarder::serve_call(forwarding_request& r)
{
    while (true) {
        const auto now = base::monotonic_now();
        const auto to = choose_server(
            this->choice, r.service->name, r.tried, this->random, now);
        if (!to) {
            const auto why = base::not_run(
                failure_code::no_server, "no server of the service is usable");
            co_return co_await this->give_up(r, why);
        }
        r.path = to->id.value();
        r.tried.insert(to->address);
        note_started(this->choice, to->address);
        const auto started = steady_now();
        const auto result = co_await this->call_once(r, *to);
        note_ended(this->choice, to->address);
        this->log_attempt(r, result, now);
        if (result.end == attempt_end::answered) {
            note_success(this->choice, to->address, ms_since(started), now);
            retry::note_success(this->budget);
            co_return;
        }
        if (result.end == attempt_end::caller_left || r.caller_left) {
            r.outcome = "caller_left";
            co_return;
        }
        if (result.why.state == base::execution::not_run &&
            result.why.code != failure_code::link_lost)
            note_error(this->choice, to->address, now);
        else
            note_failure(this->choice, to->address, base::monotonic_now());
        if (!this->may_repeat(r, result.why, base::monotonic_now()))
            co_return co_await this->give_up(r, result.why);
    }
}

asio::awaitable<void> forwarder::serve_stream(forwarding_request& r)
{
    while (true) {
        auto found = choose_path(
            this->choice,
            *r.service,
            r.tried,
            r.priority,
            this->random,
            base::monotonic_now());
        if (found.parts.empty()) {
            if (co_await this->pause_stream(r))
                continue;
            const auto why =
                found.full
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
    note_started(this->choice, first);
    r.progress = steady_now();
    r.waits_for = {};
    r.in_attempt = true;
    auto result = co_await this->stream_once(r);
    r.in_attempt = false;
    if (result.end == attempt_end::failed && !r.waits_for.address.empty())
        result.at_fault = r.waits_for;
    note_ended(this->choice, first);
    this->log_attempt(r, result, started);
    if (result.end == attempt_end::answered) {
        retry::note_success(this->budget);
        for (const auto& part : r.parts)
            this->choice.health[part.address].failures_in_a_row = 0;
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
        note_refusal(this->choice, result.at_fault, base::monotonic_now());
    else
        note_failure(this->choice, result.at_fault, base::monotonic_now());
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
    asio::steady_timer timer(this->io, stream_pause);
    error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    // Memory comes free at servers that have refused.
    r.tried.clear();
    co_return !r.caller_left;
}

net::http_request forwarder::outgoing(
    const forwarding_request& r,
    const fleet::path& parts,
    const base::backend_server_id& server) const
{
    net::http_request to = r.request;
    remove_connection_fields(to.base());
    to.version(11);
    outgoing_facts facts;
    facts.time_left = left_until(r.deadline);
    facts.server = server;
    facts.customer = r.customer;
    facts.parts = parts;
    facts.last_event = r.events.last_id;
    facts.priority = r.priority;
    this->speak.prepare(to.base(), facts);
    to.prepare_payload();
    return to;
}

// Sends the request; on success `r.line` awaits the answer.
asio::awaitable<forwarder::attempt_result>
forwarder::open(forwarding_request& r, net::http_request to_send)
{
    ++r.attempts;
    this->numbers.attempts.Increment();
    if (r.attempts > 1)
        this->numbers.repeats.Increment();
    const auto limit = std::min(r.deadline, steady_now() + connect_limit);
    const error_code refused = co_await r.line->connect(limit);
    if (refused)
        co_return failed_with<attempt_result>(
            base::not_run(
                failure_code::link_lost, "connect: " + refused.message()),
            r.line->server());
    ++r.runs;
    const error_code failed = co_await r.line->send(to_send, r.deadline);
    if (failed)
        co_return failed_with<attempt_result>(
            base::may_have_run(
                failure_code::link_lost, "send: " + failed.message()),
            r.line->server());
    co_return attempt_result{};
}

// Reads up to the head of this request's answer. A refusal of the server and
// an answer that is not the server's own end the attempt.
asio::awaitable<forwarder::attempt_result>
forwarder::read_answer_head(forwarding_request& r, steady_time limit)
{
    for (int stray = 0;; ++stray) {
        const error_code failed = co_await r.line->read_head(limit);
        // The caller of a stream leaves soon after this limit, so another
        // attempt would be in vain; a call has a share of its time left.
        const auto last = r.route->streaming ? limit : r.deadline;
        if (failed)
            co_return failed_with<attempt_result>(base::may_have_run(
                steady_now() >= last ? failure_code::deadline_exceeded
                                     : failure_code::link_lost,
                "answer: " + failed.message()));
        const auto facts =
            this->speak.read_answer(r.line->status(), r.line->fields());
        if (facts.id.empty() || facts.id == r.facts.id) {
            if (!facts.not_run)
                co_return attempt_result{};
            --r.runs;
            co_return failed_with<attempt_result>(
                base::not_run(
                    failure_code::server_failed,
                    "server refused with " + std::to_string(r.line->status())),
                facts.at_fault.address.empty() ? r.line->server()
                                               : facts.at_fault);
        }
        // An answer to an earlier request on this connection.
        std::string skipped;
        while (stray < most_stray_answers && !r.line->complete() &&
               skipped.size() < largest_answer) {
            const error_code broken =
                co_await r.line->read_body(skipped, limit);
            if (broken)
                break;
        }
        if (!r.line->complete())
            co_return failed_with<attempt_result>(base::may_have_run(
                failure_code::server_failed, "answer to another request"));
    }
}

asio::awaitable<forwarder::attempt_result>
forwarder::call_once(forwarding_request& r, const chosen_server& to)
{
    const bool repeatable = is_repeatable(*r.route);
    const auto reuse = repeatable ? net::reuse::allowed : net::reuse::never;
    r.line = this->pool.take(to.address, reuse);
    auto request = this->outgoing(r, {}, to.id);
    const auto sent = co_await this->open(r, std::move(request));
    if (sent.end != attempt_end::answered)
        co_return sent;
    auto limit = r.deadline;
    if (repeatable && r.attempts < r.route->attempts)
        limit = steady_now() +
                milliseconds(std::int64_t(
                    double(left_until(r.deadline).count()) * call_share));
    const auto head = co_await this->read_answer_head(r, limit);
    if (head.end != attempt_end::answered)
        co_return head;
    if (repeatable && r.line->status() >= 500 && r.runs < r.route->attempts &&
        r.attempts < r.route->attempts) {
        // Another server may do better; the last answer is passed on.
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed,
            "server answered " + std::to_string(r.line->status())));
    }
    co_return co_await this->pass_on(r);
}

// Reads the rest of an answer and gives it to the caller as it is.
asio::awaitable<forwarder::attempt_result>
forwarder::pass_on(forwarding_request& r)
{
    std::string body;
    while (!r.line->complete()) {
        const error_code failed = co_await r.line->read_body(body, r.deadline);
        if (failed || body.size() > largest_answer)
            co_return failed_with<attempt_result>(base::may_have_run(
                steady_now() >= r.deadline ? failure_code::deadline_exceeded
                                           : failure_code::server_failed,
                "answer broke off: " + failed.message()));
    }
    const auto status = r.line->status();
    const auto facts = this->speak.read_answer(status, r.line->fields());
    const bool success = status >= 200 && status < 300;
    const bool encoded =
        !r.line->fields()[http::field::content_encoding].empty();
    if (success && (!facts.sealed || encoded))
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed, "answer without the server's mark"));
    auto headers = end_to_end_fields(r.line->fields());
    this->pool.keep(std::exchange(r.line, nullptr));
    if (r.caller_left)
        co_return attempt_result{attempt_end::caller_left, {}, {}};
    r.outcome = std::to_string(status);
    this->numbers.first_byte_seconds.Observe(ms_since(r.arrived) / 1000);
    const bool delivered = co_await r.exchange.respond(
        status, "", std::move(body), std::move(headers));
    if (!delivered)
        r.outcome = "caller_left";
    co_return attempt_result{};
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

bool forwarder::may_repeat(
    forwarding_request& r, const base::verdict& why, base::time_point now)
{
    if (r.line) {
        r.line->cancel();
        r.line = nullptr;
    }
    if (r.runs >= r.route->attempts)
        return false;
    return retry::may_retry(
               this->budget,
               why,
               is_repeatable(*r.route),
               // A stream that has begun goes on while its caller waits.
               base::attempt_number{r.head_sent ? 1 : r.attempts},
               left_until(r.deadline),
               this->random,
               now)
        .retry;
}

// Ends a request that no server will answer.
asio::awaitable<void>
forwarder::give_up(forwarding_request& r, const base::verdict& why)
{
    // Earlier attempts may have run although the last one has not.
    base::verdict whole = why;
    if (r.runs > 0 && whole.state == base::execution::not_run)
        whole = base::may_have_run(why.code, why.detail);
    if (whole.state == base::execution::not_run)
        whole.retry_after = milliseconds(std::int64_t(
            1000 * (least_retry_after_s +
                    retry_after_spread_s * this->random.unit())));
    if (r.head_sent) {
        // The connection closes without the end of the stream.
        r.outcome = r.caller_left ? "caller_left" : "broken_off";
        co_return;
    }
    co_await this->refuse(r, whole);
}

asio::awaitable<void>
forwarder::refuse(forwarding_request& r, const base::verdict& why)
{
    const auto status = status_of(why);
    std::vector<wire::header> headers;
    if (why.retry_after.count() > 0) {
        auto seconds = std::to_string(double(why.retry_after.count()) / 1000);
        seconds.resize(seconds.find('.') + 3);
        headers.push_back({"Retry-After", std::move(seconds)});
    }
    r.outcome = std::to_string(status) + "/" + base::to_string(why.code);
    auto body = net::problem_json(why);
    co_await r.exchange.respond(
        status,
        "application/problem+json",
        std::move(body),
        std::move(headers));
}

void forwarder::log_attempt(
    const forwarding_request& r,
    const attempt_result& result,
    base::time_point now)
{
    if (result.end != attempt_end::failed || !this->log.allows(now))
        return;
    spdlog::warn(
        "event=attempt_failed request={} attempt={} runs={} to={} "
        "execution={} code={} detail=\"{}\" at_fault={} after_ms={:.0f} "
        "events={}",
        r.facts.id,
        r.attempts,
        r.runs,
        r.path,
        base::to_string(result.why.state),
        base::to_string(result.why.code),
        result.why.detail,
        result.at_fault.address,
        ms_since(r.arrived),
        r.events.taken);
}

void forwarder::log_answer(const forwarding_request& r)
{
    this->numbers.count_answer(r.outcome);
    if (!this->log.allows(base::monotonic_now()))
        return;
    if (const auto dropped = this->log.take_dropped()) {
        this->numbers.log_lines_dropped.Increment(double(dropped));
        spdlog::warn("event=log_lines_dropped count={}", dropped);
    }
    spdlog::info(
        "event=answer request={} route={} customer={} version={} outcome={} "
        "attempts={} to={} events={} last_event={} took_ms={:.0f}",
        r.facts.id,
        r.route == nullptr ? "" : r.route->name,
        r.customer.value(),
        r.index ? r.index->table().version : 0,
        r.outcome,
        r.attempts,
        r.path,
        r.events.taken,
        r.events.last_id,
        ms_since(r.arrived));
}

} // namespace oleanderhinge::gateway
