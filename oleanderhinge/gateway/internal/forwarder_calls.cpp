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
    const bool hedged = this->may_hedge(request);
    if (hedged)
        retry::note_request(
            this->hedge_limit_of(request), base::monotonic_now());
    this->log_drain_decision(request);
    while (true) {
        if (const auto why = this->attempt_verdict(request))
            co_return co_await this->fail_request(request, *why);
        const auto to = choose_server(
            this->selector,
            request.service->name,
            request.tried,
            this->random,
            base::monotonic_now());
        if (!to)
            co_return co_await this->fail_without_server(
                request, "no server of the service is usable");
        auto attempt = this->make_call(request, *to);
        if (hedged)
            attempt = co_await this->call_with_hedge(request, attempt);
        else
            co_await this->call_once(request, *attempt);
        const auto& result = *attempt->result;
        if (result.end == attempt_end::answered)
            co_return (void) co_await this->send_whole_answer(
                request, std::move(attempt->connection), attempt->answer);
        if (result.end == attempt_end::withheld && !request.caller_left) {
            cancel_attempts(request);
            continue;
        }
        if (request.caller_left) {
            request.outcome = "caller_left";
            co_return;
        }
        if (!this->may_repeat_after_crash(request, result.why) ||
            !this->may_repeat(request, result.why, base::monotonic_now()))
            co_return co_await this->fail_request(request, result.why);
    }
}

forwarder::call_pointer
forwarder::make_call(forwarding_request& request, const chosen_server& to)
{
    auto made = std::make_shared<call_attempt>(this->memory);
    made->to = to;
    made->data_centre = data_centre_of(this->selector, to.id);
    made->connection = this->pool.take(to.address, allowed_reuse(request));
    made->sent_to = incarnation_of(this->selector, to.id);
    made->number = request.attempts + 1;
    made->started = steady_now();
    made->noted_start = base::monotonic_now();
    request.call_connections.push_back(made->connection);
    request.logged_path = to.id.value();
    request.tried.insert(to.address);
    return made;
}

// Makes the attempt, and records its result for the health of the server.
asio::awaitable<void>
forwarder::call_once(forwarding_request& request, call_attempt& attempt)
{
    // `send_whole_answer` takes the connection of the answered attempt.
    const auto connection = attempt.connection;
    note_started(this->selector, attempt.to.address);
    ++request.running_calls;
    attempt.result = co_await this->fetch_answer(request, attempt);
    --request.running_calls;
    note_ended(this->selector, attempt.to.address);
    const auto now = base::monotonic_now();
    const auto& result = *attempt.result;
    if (result.end == attempt_end::answered) {
        note_success(
            this->selector, attempt.to.address, ms_since(attempt.started), now);
        this->note_answer(request);
    }
    if (result.end != attempt_end::failed || attempt.cancelled)
        co_return;
    request.logged_path = attempt.to.id.value();
    this->log_attempt(request, result, connection, now);
    if (request.caller_left)
        co_return;
    if (result.why.state == base::execution::not_run &&
        result.why.code != failure_code::link_lost)
        note_error(this->selector, attempt.to.address, now);
    else
        note_failure(this->selector, attempt.to.address, now);
    co_await this->note_crash(
        request, result, attempt.to.address, attempt.number);
}

// Sends the request and reads the answer, which is not passed on yet.
asio::awaitable<forwarder::attempt_result>
forwarder::fetch_answer(forwarding_request& request, call_attempt& attempt)
{
    const bool repeatable = is_repeatable(*request.route);
    auto& connection = *attempt.connection;
    auto to_send = this->make_backend_request(request, {}, attempt.to.id);
    const auto sent = co_await this->send_request(
        request, connection, attempt.to.id, std::move(to_send));
    if (sent.end != attempt_end::answered)
        co_return sent;
    auto limit = request.deadline;
    const auto share = milliseconds(std::int64_t(
        double(left_until(request.deadline).count()) * attempt_time_share));
    // Without time for another attempt this one gets all of it.
    if (repeatable && request.attempts < request.route->attempts &&
        !this->drain_verdict(request, base::monotonic_now() + share))
        limit = steady_now() + share;
    const auto head = co_await this->read_answer_head(
        request, connection, attempt.sent_to, limit);
    if (head.end != attempt_end::answered)
        co_return head;
    const bool may_try_another =
        request.possible_runs < request.route->attempts &&
        request.attempts < request.route->attempts;
    if (repeatable && connection.status() >= 500 &&
        (may_try_another || request.running_calls > 1)) {
        // The answer of the last attempt is relayed.
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed,
            "server answered " + std::to_string(connection.status())));
    }
    co_return co_await this->read_whole_answer(
        request, connection, attempt.answer);
}

} // namespace oleanderhinge::gateway
