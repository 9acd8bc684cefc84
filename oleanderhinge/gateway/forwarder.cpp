#include "oleanderhinge/gateway/forwarder.hpp"

#include "oleanderhinge/gateway/headers.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"
#include "oleanderhinge/gateway/internal/takeover.hpp"
#include "oleanderhinge/gateway/limited_servers.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
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

constexpr auto no_table_retry_after = milliseconds(1000);
// Time before the end of a drain for the answers to requests that are ended.
constexpr auto drain_answer_time = milliseconds(300);
// Retry-After of refused requests: the time in which memory comes free on a
// path or an ejected server is used again. It is randomised, so that callers do
// not all return at the same time.
constexpr double min_retry_after_s = 0.3;
constexpr double retry_after_spread_s = 0.5;
// Limit on the Retry-After of callers while all servers are in back-off, since
// others may start meanwhile.
constexpr auto max_backoff_retry_after = std::chrono::seconds(30);

// 503 guarantees that the request has not run and will not run. A failed
// request that may have run gets another status.
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

} // namespace

forwarder::forwarder(
    asio::io_context& context,
    const protocol_adapter& protocol_in,
    server_selector& selector_in,
    fleet::crash_quarantine& quarantine_in,
    metrics& stats_in,
    forwarder_options options_in)
    : io(context)
    , protocol(protocol_in)
    , selector(selector_in)
    , quarantine(quarantine_in)
    , stats(stats_in)
    , pool(context, options_in.max_connections)
    , options(std::move(options_in))
    , memory{.limit = options.answer_memory}
    , signals(
          selector_in,
          stats_in,
          {.max_backoff = options.max_backoff,
           .seed = options.seed,
           .share_limits = options.share_limits})
    , stalls(
          context,
          protocol_in,
          selector_in,
          stats_in,
          signals,
          options.report_suspect,
          {.take_over =
               [this](auto& request, const auto& avoided, auto cause) {
                   return this->begin_takeover(request, avoided, cause);
               },
           .leave_before_start =
               [this](auto& request) {
                   return this->leave_before_start(request);
               },
           .move_early = options.move_streams_early})
    , random(options.seed)
{
}

void forwarder::tick()
{
    const auto now = base::monotonic_now();
    this->signals.tick(now);
    this->stalls.tick();
    this->pool.drop_idle(steady_now());
    if (this->drain_end && now + drain_answer_time >= *this->drain_end)
        this->end_unanswered();
}

void forwarder::note_gateways(std::uint32_t count, base::time_point now)
{
    retry::note(this->gateways, count, now);
    this->selector.gateways = retry::maximum(this->gateways);
    for (auto* all : {&this->budgets, &this->hedge_limits})
        for (auto& [service, budget] : *all)
            retry::set_gateways(budget, retry::maximum(this->gateways));
}

retry::shared_budget& forwarder::budget_of(const forwarding_request& request)
{
    return this->budget_in(
        this->budgets, request.service->name, this->options.retries);
}

retry::shared_budget&
forwarder::hedge_limit_of(const forwarding_request& request)
{
    return this->budget_in(
        this->hedge_limits, request.service->name, this->options.hedges);
}

retry::shared_budget& forwarder::budget_in(
    std::map<std::string, retry::shared_budget>& all,
    const std::string& service,
    const retry::shared_budget_options& limits)
{
    if (const auto found = all.find(service); found != all.end())
        return found->second;
    auto made = retry::make_shared_budget(limits, base::monotonic_now());
    retry::set_gateways(made, retry::maximum(this->gateways));
    return all.emplace(service, made).first->second;
}

void forwarder::set_table(std::shared_ptr<const route_index> next)
{
    this->index = std::move(next);
    const auto is_removed = [this](const auto& item) {
        return this->index->find_service(item.first) == nullptr;
    };
    std::erase_if(this->budgets, is_removed);
    std::erase_if(this->hedge_limits, is_removed);
    std::erase_if(this->call_times, [this](const auto& item) {
        return std::ranges::find(
                   this->index->table().routes,
                   item.first,
                   &wire::forwarding_route::name) ==
               this->index->table().routes.end();
    });
    std::erase_if(this->durations, is_removed);
    for (const auto& waiting : this->table_waiters)
        cancel_wait(*waiting);
    this->stats.table_version.Set(double(this->index->table().version));
}

asio::awaitable<void>
forwarder::handle(net::http_request incoming, net::http_exchange& exchange)
{
    // Shared, since the callback may outlive this coroutine.
    const auto held =
        std::make_shared<forwarding_request>(std::move(incoming), exchange);
    auto& request = *held;
    this->running.insert(held);
    this->stats.in_progress.Set(double(this->running.size()));
    request.index = this->index;
    request.arrived = steady_now();
    request.metadata = this->protocol.read_request(request.incoming.base());
    request.events.last_id = request.metadata.last_event;
    exchange.watch_client([weak = std::weak_ptr(held)] {
        const auto left = weak.lock();
        if (!left)
            return;
        left->caller_left = true;
        cancel_wait(*left);
        abandon_takeover(*left);
        cancel_attempts(*left);
    });
    co_await this->serve(request);
    abandon_takeover(request);
    // The body may still be written.
    cancel_attempts(request);
    this->running.erase(held);
    this->stats.in_progress.Set(double(this->running.size()));
    this->log_answer(request);
}

asio::awaitable<void> forwarder::serve(forwarding_request& request)
{
    if (!request.index) {
        co_await this->await_table(request);
        if (request.caller_left) {
            request.outcome = "caller_left";
            co_return;
        }
    }
    if (!request.index) {
        const auto why = base::not_run(
            failure_code::not_ready,
            "no configuration yet",
            no_table_retry_after);
        co_return co_await this->send_error(request, why);
    }
    request.route = request.index->find_route(
        std::string_view(request.incoming[http::field::host]),
        std::string_view(request.incoming.target()));
    if (request.route == nullptr) {
        const auto why = base::not_run(
            failure_code::unknown_route, "no route matches host and path");
        co_return co_await this->send_error(request, why);
    }
    request.priority = request.route->priority;
    if (request.index->table().needs_keys && !request.route->anonymous) {
        const auto* customer =
            request.index->find_customer(request.metadata.key);
        if (customer == nullptr) {
            const auto why =
                base::not_run(failure_code::unauthenticated, "unknown key");
            co_return co_await this->send_error(request, why);
        }
        request.customer = customer->id;
        request.priority = customer->priority.value_or(request.route->priority);
    }
    const auto limit = milliseconds(request.route->timeout_ms);
    request.deadline =
        request.arrived +
        std::min(request.metadata.caller_timeout.value_or(limit), limit);
    const auto& name = pick_target(*request.route, this->random);
    request.service = request.index->find_service(name);
    retry::note_request(this->budget_of(request), base::monotonic_now());
    const auto started = base::monotonic_now();
    note_request_started(this->durations[name], started);
    note_arrival(this->selector.permits, name, started);
    if (request.route->streaming) {
        this->stalls.add(request.shared_from_this());
        co_await this->serve_stream(request);
        this->stalls.remove(request.shared_from_this());
    } else {
        co_await this->serve_call(request);
    }
    this->note_end(request, started);
}

// Ends a request for which no further attempt is made.
asio::awaitable<void>
forwarder::fail_request(forwarding_request& request, const base::verdict& why)
{
    // An earlier attempt may have run even if the last one has not.
    base::verdict overall = why;
    if (request.possible_runs > 0 && overall.state == base::execution::not_run)
        overall = base::may_have_run(why.code, why.detail);
    if (request.head_sent) {
        // The exchange closes the connection without ending the stream, which
        // shows the caller that the answer is incomplete.
        request.outcome = request.caller_left ? "caller_left" : "broken_off";
        co_return;
    }
    if (overall.state == base::execution::not_run &&
        overall.retry_after.count() == 0)
        overall.retry_after = this->retry_after(request, base::monotonic_now());
    co_await this->send_error(request, overall);
}

// Ends a request for which there is no server or path.
asio::awaitable<void>
forwarder::fail_without_server(forwarding_request& request, const char* detail)
{
    const auto now = base::monotonic_now();
    auto why = base::not_run(failure_code::no_server, detail);
    if (this->is_limited(request, now)) {
        this->stats.limit_refusals.Increment();
        why = base::not_run(
            failure_code::overloaded, "the limits of all servers are used up");
    } else if (backoff_end(this->selector, *request.service, now))
        why = base::not_run(
            failure_code::overloaded,
            "all servers of the service asked for a pause");
    co_await this->fail_request(request, why);
}

// The Retry-After of a refused request: the next place among those that wait
// for permits if all servers lack one, or the end of the first back-off, within
// `max_backoff_retry_after`, if all servers are in one.
milliseconds
forwarder::retry_after(const forwarding_request& request, base::time_point now)
{
    const auto end = backoff_end(this->selector, *request.service, now);
    std::chrono::duration<double> wait =
        end ? std::chrono::duration<double>(
                  std::min<base::duration>(*end - now, max_backoff_retry_after))
            : std::chrono::duration<double>(min_retry_after_s);
    if (this->is_limited(request, now))
        wait = retry_wait(
            this->selector.permits,
            request.service->name,
            limited_servers(this->selector, *request.service, now),
            this->selector.gateways,
            this->random,
            now);
    const std::chrono::duration<double> spread(
        retry_after_spread_s * this->random.unit());
    return std::chrono::ceil<milliseconds>(wait + spread);
}

asio::awaitable<void>
forwarder::send_error(forwarding_request& request, const base::verdict& why)
{
    const auto status = status_of(why);
    std::vector<wire::header> headers;
    if (why.retry_after.count() > 0)
        headers.push_back(make_retry_after(why.retry_after));
    request.outcome = std::to_string(status) + "/" + base::to_string(why.code);
    auto body = net::problem_json(why);
    co_await request.exchange.respond(
        status,
        "application/problem+json",
        std::move(body),
        std::move(headers));
}

void forwarder::log_attempt(
    const forwarding_request& request,
    const attempt_result& result,
    const upstream_pointer& connection,
    base::time_point now)
{
    if (result.end != attempt_end::failed || !this->log.try_take(now))
        return;
    spdlog::warn(
        "event=attempt_failed request={} attempt={} runs={} to={} "
        "execution={} code={} detail=\"{}\" at_fault={} reused={} "
        "after_ms={:.0f} events={} partial_bytes={}",
        request.metadata.id,
        request.attempts,
        request.possible_runs,
        request.logged_path,
        base::to_string(result.why.state),
        base::to_string(result.why.code),
        result.why.detail,
        result.at_fault.address,
        connection && !connection->fresh(),
        ms_since(request.arrived),
        request.events.event_count,
        result.partial_bytes);
}

void forwarder::log_answer(const forwarding_request& request)
{
    this->stats.count_answer(request.outcome);
    if (!this->log.try_take(base::monotonic_now()))
        return;
    if (const auto dropped = this->log.take_dropped()) {
        this->stats.log_lines_dropped.Increment(double(dropped));
        spdlog::warn("event=log_lines_dropped count={}", dropped);
    }
    spdlog::info(
        "event=answer request={} route={} customer={} version={} outcome={} "
        "attempts={} hedge={} to={} framing={} body_bytes={} events={} "
        "last_event={} answer_tokens={} "
        "took_ms={:.0f}",
        request.metadata.id,
        request.route == nullptr ? "" : request.route->name,
        request.customer.value(),
        request.index ? request.index->table().version : 0,
        request.outcome,
        request.attempts,
        request.hedge,
        request.logged_path,
        request.framing,
        request.body_bytes,
        request.events.event_count,
        request.events.last_id,
        request.metadata.answer_tokens.value_or(0),
        ms_since(request.arrived));
}

} // namespace oleanderhinge::gateway
