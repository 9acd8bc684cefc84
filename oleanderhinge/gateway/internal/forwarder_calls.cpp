#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;
using std::chrono::milliseconds;

namespace
{

// Share of the remaining time that one attempt at a repeatable call may take,
// so that time is left for another server.
constexpr double call_share = 0.4;

} // namespace

asio::awaitable<void> forwarder::serve_call(forwarding_request& r)
{
    while (true) {
        const auto now = base::monotonic_now();
        const auto to = choose_server(
            this->selector, r.service->name, r.tried, this->random, now);
        if (!to) {
            const auto why = base::not_run(
                failure_code::no_server, "no server of the service is usable");
            co_return co_await this->give_up(r, why);
        }
        r.path = to->id.value();
        r.tried.insert(to->address);
        note_started(this->selector, to->address);
        const auto started = steady_now();
        const auto result = co_await this->call_once(r, *to);
        note_ended(this->selector, to->address);
        this->log_attempt(r, result, now);
        if (result.end == attempt_end::answered) {
            note_success(this->selector, to->address, ms_since(started), now);
            retry::note_success(this->budget);
            co_return;
        }
        if (result.end == attempt_end::caller_left || r.caller_left) {
            r.outcome = "caller_left";
            co_return;
        }
        if (result.why.state == base::execution::not_run &&
            result.why.code != failure_code::link_lost)
            note_error(this->selector, to->address, now);
        else
            note_failure(this->selector, to->address, base::monotonic_now());
        if (!this->may_repeat(r, result.why, base::monotonic_now()))
            co_return co_await this->give_up(r, result.why);
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

} // namespace oleanderhinge::gateway
