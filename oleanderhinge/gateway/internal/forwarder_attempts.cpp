#include "oleanderhinge/gateway/headers.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"

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

// A connection to a server one data centre away takes 2 ms; a server without
// power does not answer at all.
constexpr auto connect_limit = milliseconds(300);
// Answers to other requests that are skipped on one connection.
constexpr int most_stray_answers = 2;

} // namespace

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

} // namespace oleanderhinge::gateway
