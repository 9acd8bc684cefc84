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

// Timeout of path changes. Servers answer at once.
constexpr auto path_change_timeout = milliseconds(200);
// Time between two ticks.
constexpr auto tick_time = milliseconds(100);
// Time between two checks whether a request that has not begun leaves its path,
// and limit on the checks of one tick, each of which searches for a path.
constexpr auto start_check_interval = milliseconds(300);
constexpr int max_start_checks = 3;

bool may_run_again(const forwarding_request& request)
{
    return request.route->repeat != wire::repeat_rule::at_most_once &&
           request.possible_runs < request.route->attempts;
}

bool is_movable(const forwarding_request& request)
{
    return request.in_attempt && request.connection && !request.takeover &&
           !request.path_change_pending && !request.parts.empty() &&
           !request.caller_left;
}

} // namespace

base::time_point stall_watch::next_move(const forwarding_request& request) const
{
    return request.last_failed_move == base::time_point{}
               ? base::time_point{}
               : retry_time(
                     request.last_failed_move,
                     request.failed_move_generation !=
                         this->selector.generation);
}

void stall_watch::note_failed_move(forwarding_request& request)
{
    request.last_failed_move = base::monotonic_now();
    request.failed_move_generation = this->selector.generation;
}

void stall_watch::update_departures(base::time_point now)
{
    for (const auto& [id, server] : this->selector.servers.servers) {
        auto standing = standing_of(this->selector, id);
        if (standing == server_standing::leaving && !this->actions.move_early)
            standing = server_standing::sound;
        note_standing(this->departed, id, standing, now);
    }
    std::erase_if(this->departed, [this](const auto& item) {
        return !this->selector.servers.servers.contains(item.first);
    });
}

void stall_watch::move_streams(base::time_point now)
{
    this->update_departures(now);
    if (this->departed.empty())
        return;
    std::vector<request_pointer> held;
    std::vector<running_stream> streams;
    for (const auto& [id, request] : this->requests) {
        if (!is_movable(*request))
            continue;
        held.push_back(request);
        streams.push_back(
            {.parts = &request->parts,
             .begun = request->head_sent,
             .replaceable = may_run_again(*request),
             .events = request->events.event_count,
             .last_progress = to_base_time(request->last_progress),
             .next_trial = this->next_move(*request)});
    }
    for (const auto& move : plan_moves(streams, this->departed, tick_time, now))
        this->begin_move(held[move.stream], move);
}

void stall_watch::begin_move(
    const request_pointer& held, const planned_move& move)
{
    auto& request = *held;
    const auto away_from = request.parts[move.part].address;
    if (move.way == move_way::change_path)
        return this->begin_path_change(held, away_from, move.standing);
    if (move.standing == server_standing::lost) {
        this->leave_attempt(request, away_from);
        return;
    }
    if (!this->actions.take_over(request, {away_from}, takeover_cause::leaving))
        this->note_failed_move(request);
}

void stall_watch::check_starts(base::time_point now)
{
    int checks = 0;
    for (const auto& [id, request] : this->requests) {
        // How soon another server would begin is known of engines only.
        if (!is_movable(*request) || !request->service->engine ||
            !request->awaits_server || request->events.event_count != 0 ||
            request->head_sent || now < request->next_start_check ||
            !may_run_again(*request) ||
            now < to_base_time(request->attempt_started) + min_wait_for_start)
            continue;
        request->next_start_check = now + start_check_interval;
        if (this->actions.leave_before_start(*request))
            spdlog::info(
                "event=path_left request={} waited_ms={:.0f} from={}",
                request->metadata.id,
                ms_since(request->attempt_started),
                request->logged_path);
        if (++checks == max_start_checks)
            return;
    }
}

void stall_watch::begin_path_change(
    const request_pointer& held,
    const wire::endpoint& away_from,
    server_standing standing)
{
    held->path_change_pending = true;
    asio::co_spawn(
        this->io, this->change_path(held, away_from, standing), asio::detached);
}

// Asks the first server to continue the stream along another path.
asio::awaitable<net::http_outcome> stall_watch::request_change(
    const forwarding_request& request, const fleet::path& parts)
{
    const auto process = request.sent_to;
    auto call = this->protocol.make_path_change(request.metadata.id, parts);
    auto outcome = co_await this->client.call(
        parts.front().address,
        std::move(call),
        path_change_timeout,
        net::reuse::never);
    if (outcome.failure == net::http_failure::none)
        this->record_signals(process, outcome.answer);
    co_return outcome;
}

asio::awaitable<void> stall_watch::change_path(
    request_pointer held, wire::endpoint away_from, server_standing standing)
{
    auto& request = *held;
    const auto connection = request.connection;
    auto avoided = request.tried;
    avoided.insert(away_from);
    auto parts = choose_continuation(
        this->selector,
        *request.service,
        request.parts,
        avoided,
        base::monotonic_now());
    net::http_outcome outcome;
    if (!parts.empty())
        outcome = co_await this->request_change(request, parts);
    request.path_change_pending = false;
    // The attempt may have ended during the call.
    if (!request.in_attempt || request.connection != connection)
        co_return;
    const bool changed = !parts.empty() &&
                         outcome.failure == net::http_failure::none &&
                         outcome.answer.status < 300;
    if (!changed && !parts.empty())
        this->note_refused_part(outcome);
    const bool failed_before =
        to_base_time(request.last_progress) < request.last_failed_move;
    const bool left = !changed && standing == server_standing::lost &&
                      this->leave_attempt(request, away_from);
    if (!changed)
        this->note_failed_move(request);
    // Tried again and again until a server takes over the layers.
    if (parts.empty() && !left &&
        (standing == server_standing::leaving || failed_before))
        co_return;
    spdlog::info(
        "event=path_changed request={} away_from={}:{} cause={} parts={} "
        "outcome={} left={} paused_ms={:.0f}",
        request.metadata.id,
        away_from.address,
        away_from.port,
        standing == server_standing::lost ? "lost" : "leaving",
        parts.size(),
        parts.empty() ? "none"
        : changed     ? "changed"
                      : std::to_string(outcome.answer.status),
        left,
        ms_since(request.last_progress));
    if (!changed)
        co_return;
    this->stats.changed_paths.Increment();
    request.parts = std::move(parts);
    request.logged_path = fleet::describe(request.parts);
    request.last_progress = steady_now();
}

// The named server lacks the part or room for it: other streams and requests
// pass it by for a while.
void stall_watch::note_refused_part(const net::http_outcome& outcome)
{
    if (outcome.failure != net::http_failure::none)
        return;
    const auto server = this->protocol.parse_refused_part(outcome.answer.body);
    if (!server.address.empty())
        note_refusal(this->selector, server, base::monotonic_now());
}

} // namespace oleanderhinge::gateway
