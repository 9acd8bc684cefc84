#include "oleanderhinge/gateway/internal/attempt.hpp"
#include "oleanderhinge/gateway/internal/takeover.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

// A takeover ends without an answer this long before the caller would leave.
constexpr auto takeover_margin = milliseconds(200);

const char* name_of(takeover_cause cause)
{
    return cause == takeover_cause::leaving ? "leaving" : "stalled";
}

const char* name_of(takeover_state state)
{
    switch (state) {
    case takeover_state::pending:
        return "failed";
    case takeover_state::granted:
        return "granted";
    case takeover_state::abandoned:
        return "abandoned";
    }
    return "unknown";
}

} // namespace

// Begins another attempt that continues the stream while the present one is
// kept. False if none can be made now.
bool forwarder::begin_takeover(
    forwarding_request& request,
    const std::set<wire::endpoint>& avoided,
    takeover_cause cause)
{
    if (request.takeover || !request.head_sent || request.caller_left)
        return false;
    auto parts = this->reserve_attempt(request, avoided);
    if (parts.empty())
        return false;
    request.takeover = std::make_shared<stream_takeover>(
        request, std::move(parts), cause, avoided);
    // Counts from now on, since the present attempt may fail meanwhile.
    ++request.attempts;
    ++request.possible_runs;
    this->stats.takeovers.Increment();
    asio::co_spawn(
        this->io, this->take_over(request.shared_from_this()), asio::detached);
    return true;
}

asio::awaitable<void>
forwarder::take_over(std::shared_ptr<forwarding_request> held)
{
    const auto takeover = held->takeover;
    auto& next = takeover->next;
    const auto& first = next.parts.front();
    note_started(this->selector, first.address);
    const auto connection = this->pool.take(first.address, allowed_reuse(next));
    next.connection = connection;
    next.sent_to = incarnation_of(this->selector, first.server);
    auto to_send = this->make_backend_request(next, next.parts, first.server);
    auto result = co_await this->send_request(
        next, *connection, first.server, std::move(to_send));
    if (result.end == attempt_end::answered) {
        const auto limit = std::min(
            next.deadline,
            std::max(next.last_event, held->last_event) +
                caller_silence_limit(*next.route) - takeover_margin);
        result = co_await this->read_answer_head(
            next, *connection, next.sent_to, limit);
    }
    if (result.end == attempt_end::answered)
        if (auto failed = this->check_stream_head(next))
            result = std::move(*failed);
    note_ended(this->selector, first.address);
    this->end_takeover(*held, *takeover, result);
}

// Replaces the present attempt if the next one has begun to answer.
void forwarder::end_takeover(
    forwarding_request& request,
    stream_takeover& takeover,
    const attempt_result& result)
{
    auto& next = takeover.next;
    const auto now = base::monotonic_now();
    if (takeover.state == takeover_state::pending &&
        result.end == attempt_end::answered)
        takeover.state = takeover_state::granted;
    if (this->log.try_take(now))
        spdlog::info(
            "event=stream_takeover request={} cause={} outcome={} from={} "
            "to={} detail=\"{}\" events={} paused_ms={:.0f}",
            request.metadata.id,
            name_of(takeover.cause),
            name_of(takeover.state),
            request.logged_path,
            fleet::describe(next.parts),
            result.why.detail,
            request.events.event_count,
            ms_since(request.last_event));
    cancel_wait(request);
    if (takeover.state == takeover_state::granted) {
        // Engines are suspected instead, when their state has been queried.
        if (takeover.cause == takeover_cause::stalled &&
            !request.service->engine)
            note_failure(this->selector, request.parts.front().address, now);
        if (request.connection)
            request.connection->cancel();
        return;
    }
    this->stats.failed_takeovers.Increment();
    if (next.possible_runs == 0)
        --request.possible_runs;
    if (takeover.state == takeover_state::pending &&
        result.end == attempt_end::failed) {
        this->note_fault(next, result);
        // A server that refused may have room by the next trial.
        if (result.why.state != base::execution::not_run)
            request.tried.insert(next.tried.begin(), next.tried.end());
    }
    next.connection->cancel();
    request.last_failed_move = now;
    request.failed_move_generation = this->selector.generation;
    request.takeover = nullptr;
}

// Waits for the end of the request's takeover, so that nothing more is taken
// from the present attempt meanwhile. True if the takeover replaces it. A
// present attempt that goes on ends the takeover instead, unless its server
// ends soon.
asio::awaitable<bool>
forwarder::is_replaced(forwarding_request& request, bool goes_on)
{
    const auto takeover = request.takeover;
    if (goes_on && takeover->state == takeover_state::pending &&
        (takeover->cause == takeover_cause::stalled ||
         request.connection->complete()))
        abandon_takeover(request);
    while (takeover->state == takeover_state::pending &&
           request.takeover == takeover)
        if (steady_now() >= request.deadline)
            abandon_takeover(request);
        else
            co_await wait_until(request, this->io, request.deadline);
    co_return takeover->state == takeover_state::granted;
}

} // namespace oleanderhinge::gateway
