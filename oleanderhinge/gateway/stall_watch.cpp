#include "oleanderhinge/gateway/stall_watch.hpp"

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

// A stream without progress for this long counts as stalled. Events come every
// 40 ms, first events within 200 ms, and a gap of 250 ms makes an answer late.
constexpr auto stall_threshold = milliseconds(250);
// Shortest time between two state queries to the same server.
constexpr auto state_query_interval = milliseconds(300);
// Timeout of state queries. Servers answer at once.
constexpr auto state_query_timeout = milliseconds(200);
// Answers to both carry no id, so that on a kept connection a late copy of one
// could not be told from the next.
constexpr std::size_t kept_connections = 0;
// A stream that is silent for this many times the longest gap that its route
// allows, and at least for `min_silence`, is resumed on another path if there
// is one. Bytes that complete no event do not count.
constexpr int silence_gap_factor = 6;
constexpr auto min_silence = milliseconds(1500);
// A tick that is this late shows that the process was paused.
constexpr auto pause_threshold = milliseconds(1000);

bool is_stalled(const forwarding_request& request, steady_time now)
{
    return request.in_attempt && request.connection &&
           !request.path_change_pending && !request.takeover &&
           now >= request.last_progress + stall_threshold;
}

std::set<wire::endpoint> servers_of(const fleet::path& parts)
{
    std::set<wire::endpoint> servers;
    for (const auto& part : parts)
        servers.insert(part.address);
    return servers;
}

} // namespace

stall_watch::stall_watch(
    asio::io_context& context,
    const protocol_adapter& protocol_in,
    server_selector& selector_in,
    metrics& stats_in,
    signal_recorder& signals_in,
    std::function<void(const wire::endpoint&)> report_suspect_in,
    stream_actions actions_in)
    : io(context)
    , protocol(protocol_in)
    , selector(selector_in)
    , stats(stats_in)
    , signals(signals_in)
    , report_suspect(std::move(report_suspect_in))
    , actions(std::move(actions_in))
    , client(context, kept_connections, max_engine_state_bytes)
{
}

void stall_watch::add(const request_pointer& request)
{
    this->requests.emplace(request->metadata.id, request);
}

void stall_watch::remove(const request_pointer& request)
{
    const auto [begin, end] = this->requests.equal_range(request->metadata.id);
    const auto found = std::find_if(
        begin, end, [&](const auto& item) { return item.second == request; });
    if (found != end)
        this->requests.erase(found);
}

void stall_watch::tick()
{
    const auto now = steady_now();
    // What servers sent while this process was paused has not been read yet.
    const bool was_paused = now >= this->last_tick + pause_threshold;
    this->last_tick = now;
    this->selector.first_event_waits.clear();
    for (const auto& [id, request] : this->requests) {
        if (was_paused)
            request->last_progress = std::max(request->last_progress, now);
        if (request->in_attempt && request->connection &&
            request->events.event_count == 0) {
            auto& longest =
                this->selector.first_event_waits[request->connection->server()];
            longest = std::max(
                longest,
                std::chrono::duration_cast<base::duration>(
                    now - request->last_progress));
        }
        if (!is_stalled(*request, now))
            continue;
        this->replace_if_silent(*request, now);
        // Only engines know what their requests wait for.
        if (!request->service->engine)
            continue;
        auto& last = this->last_query[request->connection->server()];
        if (now < last + state_query_interval)
            continue;
        last = now;
        asio::co_spawn(
            this->io,
            this->query_state(request->connection->server(), request->sent_to),
            asio::detached);
    }
    const auto decided_at = base::monotonic_now();
    this->move_streams(decided_at);
    this->check_starts(decided_at);
}

void stall_watch::record_signals(
    const server_incarnation& process, const wire::response& answer)
{
    http_fields fields;
    for (const auto& item : answer.headers)
        fields.insert(item.name, item.value);
    this->signals.record(
        process,
        answer.status,
        this->protocol.read_answer(answer.status, fields),
        std::nullopt,
        base::monotonic_now());
}

asio::awaitable<void> stall_watch::query_state(
    wire::endpoint first_server, server_incarnation process)
{
    const auto started = steady_now();
    auto call = this->protocol.make_state_query();
    const auto outcome = co_await this->client.call(
        first_server, std::move(call), state_query_timeout, net::reuse::never);
    if (outcome.failure == net::http_failure::none) {
        this->record_signals(process, outcome.answer);
        for (const auto& stalled :
             this->protocol.parse_stalls(outcome.answer.body))
            this->on_stall(stalled, first_server, started);
        co_return;
    }
    // The first server does not answer, so its requests wait for it. Cancel the
    // attempt of one of them, which also reports the server.
    for (const auto& [id, request] : this->requests)
        if (is_stalled(*request, started) &&
            request->connection->server() == first_server) {
            this->on_stall({id, first_server}, first_server, started);
            break;
        }
}

void stall_watch::note_suspicion(const stalled_request& stalled)
{
    if (!fleet::suspect(
            this->selector.servers, stalled.waits_for, base::monotonic_now()))
        return;
    ++this->selector.generation;
    spdlog::warn(
        "event=server_suspected address={}:{} request={}",
        stalled.waits_for.address,
        stalled.waits_for.port,
        stalled.request);
    this->report_suspect(stalled.waits_for);
}

// A stream whose server is silent without a known reason.
void stall_watch::replace_if_silent(
    forwarding_request& request, steady_time now)
{
    const auto limit = std::max<milliseconds>(
        min_silence,
        silence_gap_factor * milliseconds(request.route->largest_gap_ms));
    if (request.head_sent && request.awaits_server &&
        now >= request.last_progress + limit &&
        base::monotonic_now() >= this->next_move(request) &&
        !this->actions.take_over(
            request, servers_of(request.parts), takeover_cause::stalled))
        this->note_failed_move(request);
}

// Ends the attempt, which waits for this server, or has another one continue
// the answer if it has begun. False if that is not possible now.
bool stall_watch::leave_attempt(
    forwarding_request& request, const wire::endpoint& waits_for)
{
    if (request.head_sent) {
        if (base::monotonic_now() < this->next_move(request))
            return false;
        const bool begun = this->actions.take_over(
            request, {waits_for}, takeover_cause::stalled);
        if (!begun)
            this->note_failed_move(request);
        return begun;
    }
    request.waits_for = waits_for;
    request.connection->cancel();
    return true;
}

void stall_watch::on_stall(
    const stalled_request& stalled,
    const wire::endpoint& reported_by,
    steady_time queried_at)
{
    if (stalled.waits_for.address.empty())
        return;
    this->note_suspicion(stalled);
    const auto [begin, end] = this->requests.equal_range(stalled.request);
    for (auto found = begin; found != end; ++found)
        // Skips a request that has made progress since the query, or whose
        // attempt at that server has ended.
        if (is_stalled(*found->second, queried_at) &&
            found->second->connection->server() == reported_by)
            this->handle_stall(found->second, stalled.waits_for);
}

void stall_watch::handle_stall(
    const request_pointer& held, const wire::endpoint& waits_for)
{
    auto& request = *held;
    if (request.parts.empty() || waits_for == request.parts.front().address) {
        this->leave_attempt(request, waits_for);
        return;
    }
    if (base::monotonic_now() >= this->next_move(request))
        this->begin_path_change(held, waits_for, server_standing::lost);
}

} // namespace oleanderhinge::gateway
