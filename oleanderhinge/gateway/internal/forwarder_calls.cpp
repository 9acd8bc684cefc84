#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;
using std::chrono::milliseconds;

namespace
{

// Share of the remaining time that an attempt at a repeatable call may take, so
// that time is left for an attempt at another server.
constexpr double attempt_time_share = 0.4;

} // namespace

asio::awaitable<void> forwarder::serve_call(forwarding_request& request)
{
    while (true) {
        if (const auto why = this->attempt_verdict(request))
            co_return co_await this->fail_request(request, *why);
        const auto now = base::monotonic_now();
        const auto to = choose_server(
            this->selector,
            request.service->name,
            request.tried,
            this->random,
            now);
        if (!to)
            co_return co_await this->fail_without_server(
                request, "no server of the service is usable");
        request.logged_path = to->id.value();
        request.tried.insert(to->address);
        note_started(this->selector, to->address);
        const auto started = steady_now();
        const auto result = co_await this->call_once(request, *to);
        note_ended(this->selector, to->address);
        this->log_attempt(request, result, now);
        if (result.end == attempt_end::answered) {
            note_success(this->selector, to->address, ms_since(started), now);
            this->note_answer(request);
            co_return;
        }
        if (result.end == attempt_end::withheld && !request.caller_left)
            continue;
        if (result.end == attempt_end::caller_left || request.caller_left) {
            request.outcome = "caller_left";
            co_return;
        }
        if (result.why.state == base::execution::not_run &&
            result.why.code != failure_code::link_lost)
            note_error(this->selector, to->address, now);
        else
            note_failure(this->selector, to->address, base::monotonic_now());
        co_await this->note_crash(request, result, to->address);
        if (!this->may_repeat_after_crash(request, result.why) ||
            !this->may_repeat(request, result.why, base::monotonic_now()))
            co_return co_await this->fail_request(request, result.why);
    }
}

asio::awaitable<forwarder::attempt_result>
forwarder::call_once(forwarding_request& request, const chosen_server& to)
{
    const bool repeatable = is_repeatable(*request.route);
    request.connection = this->pool.take(to.address, allowed_reuse(request));
    auto to_send = this->make_backend_request(request, {}, to.id);
    const auto sent =
        co_await this->send_request(request, to.id, std::move(to_send));
    if (sent.end != attempt_end::answered)
        co_return sent;
    auto limit = request.deadline;
    const auto share = milliseconds(std::int64_t(
        double(left_until(request.deadline).count()) * attempt_time_share));
    // Without time for another attempt this one gets all of it.
    if (repeatable && request.attempts < request.route->attempts &&
        !this->drain_verdict(request, base::monotonic_now() + share))
        limit = steady_now() + share;
    const auto head = co_await this->read_answer_head(request, limit);
    if (head.end != attempt_end::answered)
        co_return head;
    if (repeatable && request.connection->status() >= 500 &&
        request.possible_runs < request.route->attempts &&
        request.attempts < request.route->attempts) {
        // Try another server; the answer of the last attempt is relayed.
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed,
            "server answered " + std::to_string(request.connection->status())));
    }
    co_return co_await this->relay_whole_answer(request);
}

} // namespace oleanderhinge::gateway
