// Detects stalled streams and moves them to other paths.
//
// If a stream makes no progress, the first server of its path is asked which
// server it waits for. That server is reported as suspected, and the first
// server is told to continue the stream along another path, which keeps the
// prompt that the remaining servers have read. If there is no such path or the
// first server does not change it, the attempt is cancelled, and the forwarder
// makes another one.
//
// Used on the gateway's thread only.
//
// Example:
//   stall_watch stalls(io, protocol, selector, stats, report_suspect);
//   stalls.add(request); ... stalls.remove(request->metadata.id);
//   stalls.tick(); // ten times a second
#pragma once

#include "oleanderhinge/gateway/forwarding_request.hpp"
#include "oleanderhinge/gateway/metrics.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"
#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oleanderhinge::gateway
{

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
        std::function<void(const wire::endpoint&)> report_suspect);

    // Requests are identified by the id that their callers gave them.
    void add(const std::shared_ptr<forwarding_request>& request);
    void remove(const std::string& id);
    // Updates `server_selector::first_event_waits` and checks for stalls.
    void tick();

private:
    using request_pointer = std::shared_ptr<forwarding_request>;

    boost::asio::awaitable<void> query_state(wire::endpoint first_server);
    void on_stall(const stalled_request& stalled, steady_time queried_at);
    void note_suspicion(const stalled_request& stalled);
    boost::asio::awaitable<void>
    change_path(request_pointer held, wire::endpoint waits_for);

    boost::asio::io_context& io;
    const protocol_adapter& protocol;
    server_selector& selector;
    metrics& stats;
    const std::function<void(const wire::endpoint&)> report_suspect;
    net::http_client client;
    std::map<std::string, request_pointer> requests;
    // Time of the last state query, by first server of a path.
    std::map<wire::endpoint, steady_time> last_query;
};

} // namespace oleanderhinge::gateway
