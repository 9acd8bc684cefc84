// Detects stalled streams and moves them to other paths, and moves streams off
// servers that end soon or have failed, as `plan_moves` decides.
//
// If a stream makes no progress, the first server of its path is asked which
// server it waits for. That server is reported as suspected, and the first
// server is told to continue the stream along another path, which keeps the
// prompt that the remaining servers have read. If there is no such path or the
// first server does not change it, or if the stream stays silent although no
// server is known to be at fault, the attempt is cancelled, and the forwarder
// makes another one.
//
// State queries and path changes concern requests that run already and are no
// requests of callers, so a server that leaves or is in back-off still gets
// them. New parts of a path are never on such a server.
//
// An answer that has begun keeps its attempt until another one has begun to
// answer in its place. Its server is slow or silent but has not failed, and it
// may go on.
//
// Used on the gateway's thread only.
//
// Example:
//   stall_watch stalls(
//       io, protocol, selector, stats, signals, report_suspect, actions);
//   stalls.add(request); ... stalls.remove(request);
//   stalls.tick(); // ten times a second
#pragma once

#include "oleanderhinge/gateway/forwarding_request.hpp"
#include "oleanderhinge/gateway/metrics.hpp"
#include "oleanderhinge/gateway/path_change.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"
#include "oleanderhinge/gateway/signal_recorder.hpp"
#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{

// What the forwarder does with a running stream. Both return false if they do
// nothing, as there is no other path, attempt or retry.
struct stream_actions {
    // Begins another attempt that continues the stream, on a path without the
    // given servers, while the present one is kept.
    std::function<bool(
        forwarding_request&,
        const std::set<wire::endpoint>& avoided,
        takeover_cause cause)>
        take_over;
    // Ends the attempt of a request that has not begun, if another path would
    // begin it sooner.
    std::function<bool(forwarding_request&)> leave_before_start;
    // Streams leave a server when it announces its end, not when it ends.
    bool move_early = false;
};

class stall_watch
{
public:
    // `report_suspect` is called with a server that stalled requests wait for,
    // unless it is suspected already.
    stall_watch(
        boost::asio::io_context& io,
        const protocol_adapter& protocol,
        server_selector& selector,
        metrics& stats,
        signal_recorder& signals,
        std::function<void(const wire::endpoint&)> report_suspect,
        stream_actions actions);

    void add(const std::shared_ptr<forwarding_request>& request);
    void remove(const std::shared_ptr<forwarding_request>& request);
    // Updates `server_selector::first_event_waits` and checks for stalls.
    void tick();

private:
    using request_pointer = std::shared_ptr<forwarding_request>;

    boost::asio::awaitable<void>
    query_state(wire::endpoint first_server, server_incarnation process);
    void record_signals(
        const server_incarnation& process, const wire::response& answer);
    // Acts on what a first server reported to a query of `queried_at`.
    void on_stall(
        const stalled_request& stalled,
        const wire::endpoint& reported_by,
        steady_time queried_at);
    void
    handle_stall(const request_pointer& held, const wire::endpoint& waits_for);
    void note_suspicion(const stalled_request& stalled);
    void replace_if_silent(forwarding_request& request, steady_time now);
    bool
    leave_attempt(forwarding_request& request, const wire::endpoint& waits_for);
    void check_starts(base::time_point now);
    void move_streams(base::time_point now);
    void update_departures(base::time_point now);
    void begin_move(const request_pointer& held, const planned_move& move);
    void begin_path_change(
        const request_pointer& held,
        const wire::endpoint& away_from,
        server_standing standing);
    boost::asio::awaitable<void> change_path(
        request_pointer held,
        wire::endpoint away_from,
        server_standing standing);
    boost::asio::awaitable<net::http_outcome>
    request_change(const forwarding_request& request, const fleet::path& parts);
    void note_refused_part(const net::http_outcome& outcome);
    void note_failed_move(forwarding_request& request);
    base::time_point next_move(const forwarding_request& request) const;

    boost::asio::io_context& io;
    const protocol_adapter& protocol;
    server_selector& selector;
    metrics& stats;
    signal_recorder& signals;
    const std::function<void(const wire::endpoint&)> report_suspect;
    const stream_actions actions;
    net::http_client client;
    // By the id that their callers gave them, which need not be unique.
    std::multimap<std::string, request_pointer> requests;
    steady_time last_tick;
    departures departed;
    // Time of the last state query, by first server of a path.
    std::map<wire::endpoint, steady_time> last_query;
};

} // namespace oleanderhinge::gateway
