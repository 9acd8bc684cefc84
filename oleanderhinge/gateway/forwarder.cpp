#include "oleanderhinge/gateway/forwarder.hpp"

#include "oleanderhinge/gateway/internal/attempt.hpp"

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

// After a loss of power gateways are back before control has a leader, which
// takes up to two seconds. Until then, callers wait, and most of them have a
// single try left; those that come later are told when to come back.
constexpr auto longest_wait_for_table = milliseconds(2000);
constexpr auto without_table_retry_after = milliseconds(1000);
// Requests that wait for a table; each may hold a body.
constexpr std::size_t most_waiting_for_table = 200;
// When a refused caller may come back: after the time in which a path gets
// room or a server is back in use, spread so that callers do not return at
// once.
constexpr double least_retry_after_s = 0.3;
constexpr double retry_after_spread_s = 0.5;

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

} // namespace

forwarder::forwarder(
    asio::io_context& context,
    const dialect& dialect_in,
    server_selector& selector_in,
    metrics& numbers_in,
    forwarder_options chosen)
    : io(context)
    , speak(dialect_in)
    , selector(selector_in)
    , numbers(numbers_in)
    , pool(context)
    , options(std::move(chosen))
    , stalls(context, dialect_in, selector_in, numbers_in, options.suspect)
    , budget(retry::make_budget(options.retries, base::monotonic_now()))
    , random(options.seed)
{
}

void forwarder::share_budget(std::uint32_t gateways)
{
    const double share = std::max(gateways, 1U);
    retry::set_share(
        this->budget,
        this->options.retries.floor_per_second / share,
        std::max(1.0, this->options.retries.max_saved / share));
}

void forwarder::use(std::shared_ptr<const route_index> next)
{
    this->index = std::move(next);
    for (const auto& waiting : this->without_table)
        wake(*waiting);
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
        wake(*left);
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
    if (this->without_table.size() >= most_waiting_for_table)
        co_return;
    auto limit = r.arrived + longest_wait_for_table;
    if (r.facts.patience)
        limit = std::min(limit, r.arrived + *r.facts.patience / 2);
    const auto held = r.shared_from_this();
    this->without_table.insert(held);
    co_await pause_until(r, this->io, limit);
    this->without_table.erase(held);
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
