#include "oleanderhinge/gateway/headers.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"
#include "oleanderhinge/net/request_length.hpp"

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

// Connecting to a server in another data centre takes 2 ms. A server without
// power does not answer at all.
constexpr auto connect_limit = milliseconds(300);
// Answers to other requests that may be skipped before the expected one.
constexpr int max_stray_answers = 2;

} // namespace

backend_request forwarder::make_backend_request(
    const forwarding_request& request,
    const fleet::path& parts,
    const base::backend_server_id& server) const
{
    backend_request to_send{request.incoming.base(), request.body};
    remove_connection_fields(to_send.base());
    to_send.version(11);
    outgoing_metadata metadata;
    metadata.time_left = left_until(request.deadline);
    metadata.server = server;
    metadata.customer = request.customer;
    if (request.service->engine)
        metadata.parts = parts;
    metadata.last_event = request.events.last_id;
    metadata.priority = request.priority;
    this->protocol.prepare_headers(to_send.base(), metadata);
    net::set_length(to_send);
    return to_send;
}

// Why no further attempt at the request may begin.
std::optional<base::verdict>
forwarder::attempt_verdict(forwarding_request& request)
{
    if (auto why = this->quarantine_verdict(request))
        return why;
    return this->drain_verdict(request, base::monotonic_now());
}

// Whether all servers of the attempt still accept requests.
bool forwarder::may_send(
    const forwarding_request& request,
    const base::backend_server_id& server,
    base::time_point now) const
{
    const auto accepts = [&](const base::backend_server_id& id) {
        return accepts_requests(this->selector, id, now);
    };
    return accepts(server) &&
           std::ranges::all_of(
               request.parts, accepts, &fleet::path_part::server);
}

// Connects if needed and sends the request. Success has the result `answered`,
// although no answer has been read yet and the body may still be written.
asio::awaitable<forwarder::attempt_result> forwarder::send_request(
    forwarding_request& request,
    upstream_connection& connection,
    const base::backend_server_id& server,
    backend_request to_send)
{
    ++request.attempts;
    this->stats.attempts.Increment();
    if (request.attempts > 1)
        this->stats.repeats.Increment();
    const auto limit = std::min(request.deadline, steady_now() + connect_limit);
    const error_code refused = co_await connection.connect(limit);
    if (refused)
        co_return failed_with<attempt_result>(
            base::not_run(
                failure_code::link_lost, "connect: " + refused.message()),
            connection.server());
    // During the connect, another request may have got a signal or taken the
    // last permit, a drain may have begun, and a takeover may have used the
    // last attempt.
    const auto now = base::monotonic_now();
    if (!this->may_send(request, server, now) ||
        (request.takeover &&
         request.possible_runs >= request.route->attempts) ||
        this->drain_verdict(request, now) ||
        !this->take_permit(request, server, connection.server(), now)) {
        --request.attempts;
        this->stats.withheld.Increment();
        co_return attempt_result{attempt_end::withheld, {}, {}};
    }
    ++request.possible_runs;
    const error_code failed =
        co_await connection.send(std::move(to_send), request.deadline);
    if (failed)
        co_return failed_with<attempt_result>(
            base::may_have_run(
                failure_code::link_lost, "send: " + failed.message()),
            connection.server());
    co_return attempt_result{};
}

// Reads the head of the answer to this request, and skips answers to others. An
// answer without an id counts only as the first one on a new connection. Fails
// if the server refused the request, or if there is no answer by `limit`.
asio::awaitable<forwarder::attempt_result> forwarder::read_answer_head(
    forwarding_request& request,
    upstream_connection& connection,
    const server_incarnation& sent_to,
    steady_time limit)
{
    for (int stray = 0;; ++stray) {
        const error_code failed = co_await connection.read_head(limit);
        // The caller of a stream leaves soon after `limit`, so the deadline
        // counts as passed. A plain call has part of its time left.
        const auto last = request.route->streaming ? limit : request.deadline;
        if (failed) {
            auto result = failed_with<attempt_result>(base::may_have_run(
                steady_now() >= last ? failure_code::deadline_exceeded
                                     : failure_code::link_lost,
                "answer: " + failed.message()));
            result.timed_out = failed == boost::beast::error::timeout;
            co_return result;
        }
        auto metadata = this->protocol.read_answer(
            connection.status(), connection.fields());
        const bool first_on_connection = stray == 0 && connection.fresh();
        const bool is_own = metadata.id == request.metadata.id ||
                            (metadata.id.empty() && first_on_connection);
        const bool ambiguous = metadata.mark == server_mark::ambiguous;
        // A late answer still shows that the server leaves, but the time that
        // it asked for and its limit may be over. One without an id may be that
        // to this request.
        if ((!is_own && !metadata.id.empty()) || ambiguous) {
            metadata.retry_after.clear();
            metadata.request_limit.clear();
        }
        this->signals.record(
            sent_to,
            connection.status(),
            metadata,
            is_own && !ambiguous ? std::optional(connection.sent_at())
                                 : std::nullopt,
            base::monotonic_now());
        if (is_own && ambiguous)
            co_return failed_with<attempt_result>(base::may_have_run(
                failure_code::server_failed, "marks of several answers"));
        if (is_own) {
            request.framing = connection.framing();
            if (!metadata.not_run)
                co_return attempt_result{};
            --request.possible_runs;
            // The server does not want the rest of the body.
            if (!connection.sent())
                connection.cancel();
            co_return failed_with<attempt_result>(
                base::not_run(
                    failure_code::server_failed,
                    "server refused with " +
                        std::to_string(connection.status())),
                metadata.at_fault.address.empty() ? connection.server()
                                                  : metadata.at_fault);
        }
        // An answer to another request: skip its body.
        if (this->log.try_take(base::monotonic_now()))
            spdlog::warn(
                "event=stray_answer request={} answers={} status={} from={}:{} "
                "reused={}",
                request.metadata.id,
                metadata.id,
                connection.status(),
                connection.server().address,
                connection.server().port,
                !connection.fresh());
        if (!connection.complete() &&
            (stray >= max_stray_answers ||
             !co_await this->skip_body(connection, limit)))
            co_return failed_with<attempt_result>(base::may_have_run(
                failure_code::server_failed, "answer to another request"));
    }
}

// Reads the rest of an answer and drops it. False if it does not end.
asio::awaitable<bool>
forwarder::skip_body(upstream_connection& connection, steady_time limit)
{
    std::size_t skipped = 0;
    while (!connection.complete() && skipped < max_answer_bytes) {
        std::string bytes;
        const error_code broken = co_await connection.read_body(bytes, limit);
        if (broken)
            break;
        skipped += bytes.size();
    }
    co_return connection.complete();
}

// Whether the body of a successful answer is the server's own, unchanged.
bool forwarder::has_servers_body(const upstream_connection& answer) const
{
    return this->protocol.read_answer(answer.status(), answer.fields()).mark ==
               server_mark::present &&
           answer.fields()[http::field::content_encoding].empty();
}

// Reads the rest of an answer and sends it to the caller unchanged.
asio::awaitable<forwarder::attempt_result>
forwarder::relay_whole_answer(forwarding_request& request)
{
    whole_answer answer(this->memory);
    const auto connection = request.connection;
    const auto read =
        co_await this->read_whole_answer(request, *connection, answer);
    if (read.end != attempt_end::answered)
        co_return read;
    request.connection = nullptr;
    co_return co_await this->send_whole_answer(request, connection, answer);
}

asio::awaitable<forwarder::attempt_result> forwarder::read_whole_answer(
    const forwarding_request& request,
    upstream_connection& connection,
    whole_answer& answer)
{
    const auto status = connection.status();
    const bool success = status >= 200 && status < 300;
    if (success && !this->has_servers_body(connection))
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed, "answer without the server's mark"));
    while (!connection.complete()) {
        const error_code failed =
            co_await connection.read_body(answer.body, request.deadline);
        if (answer.body.size() > max_answer_bytes ||
            !answer.share.resize(answer.body.capacity()))
            co_return failed_with<attempt_result>(base::may_have_run(
                failure_code::server_failed,
                "answer of more than " + std::to_string(answer.body.size()) +
                    " bytes"));
        if (failed)
            co_return failed_with<attempt_result>(base::may_have_run(
                steady_now() >= request.deadline
                    ? failure_code::deadline_exceeded
                    : failure_code::server_failed,
                "answer broke off: " + failed.message()));
    }
    if (connection.holds_second_answer(answer.body))
        co_return failed_with<attempt_result>(base::may_have_run(
            failure_code::server_failed,
            "another answer begins inside the body"));
    co_return attempt_result{};
}

// Sends a complete answer, whose connection may then serve another request.
asio::awaitable<forwarder::attempt_result> forwarder::send_whole_answer(
    forwarding_request& request,
    upstream_pointer connection,
    whole_answer& answer)
{
    const auto status = connection->status();
    request.body_bytes = answer.body.size();
    request.framing = connection->framing();
    auto headers = end_to_end_fields(connection->fields());
    if (status == 503)
        // The server's own value is meant for this gateway.
        for (auto& item : headers)
            if (boost::beast::iequals(item.name, "Retry-After"))
                item = make_retry_after(
                    this->retry_after(request, base::monotonic_now()));
    std::erase(request.call_connections, connection);
    this->pool.keep(std::move(connection));
    if (request.caller_left)
        co_return attempt_result{attempt_end::caller_left, {}, {}};
    request.outcome = std::to_string(status);
    this->stats.first_byte_seconds.Observe(ms_since(request.arrived) / 1000);
    const bool delivered = co_await request.exchange.respond(
        status, "", std::move(answer.body), std::move(headers));
    if (!delivered)
        request.outcome = "caller_left";
    co_return attempt_result{};
}

// Closes the connections of the failed attempts. If another attempt is allowed,
// it is taken from the retry budget.
bool forwarder::may_repeat(
    forwarding_request& request, const base::verdict& why, base::time_point now)
{
    cancel_attempts(request);
    request.connection = nullptr;
    if (request.possible_runs >= request.route->attempts)
        return false;
    if (std::exchange(request.retry_reserved, false))
        return true;
    if (!request.head_sent && this->has_waiting_streams(request))
        return false;
    return retry::may_retry(
               this->budget_of(request),
               why,
               is_repeatable(*request.route),
               // A stream that has begun is not limited by its number of
               // attempts here, so that it resumes while its caller waits.
               base::attempt_number{request.head_sent ? 1 : request.attempts},
               left_until(request.deadline),
               this->random,
               now)
        .retry;
}

} // namespace oleanderhinge::gateway
