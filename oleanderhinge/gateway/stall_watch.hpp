// Finds streams that stand still and gets them going again.
//
// A stream without progress makes its gateway ask the first server of the path
// which server it waits for. That server is suspected, and the stream goes on
// along another path with the same first server, which keeps what the other
// parts have read. Where there is no such path or the first server does not
// change it, the attempt is ended, and the forwarder makes another.
//
// Used on the gateway's thread only.
//
// Example:
//   stall_watch stalls(io, speak, choice, numbers, suspect);
//   stalls.add(request); ... stalls.remove(request->facts.id);
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
    // `suspect` is called when work that depends on a server stands still.
    stall_watch(
        boost::asio::io_context& io,
        const dialect& speak,
        server_selector& selector,
        metrics& numbers,
        std::function<void(const wire::endpoint&)> suspect);

    void add(const std::shared_ptr<forwarding_request>& request);
    void remove(const std::string& id);
    // Notes the longest waits for first events, and looks for stalls.
    void tick();

private:
    using request_pointer = std::shared_ptr<forwarding_request>;

    boost::asio::awaitable<void> ask(wire::endpoint first);
    void on_stall(const stalled_request& stalled, steady_time asked);
    void note_suspicion(const stalled_request& stalled);
    boost::asio::awaitable<void>
    change_path(request_pointer request, wire::endpoint waits_for);

    boost::asio::io_context& io;
    const dialect& speak;
    server_selector& selector;
    metrics& numbers;
    const std::function<void(const wire::endpoint&)> suspect;
    net::http_client client;
    std::map<std::string, request_pointer> requests;
    // When the state of a first server was asked for last.
    std::map<wire::endpoint, steady_time> asked;
};

} // namespace oleanderhinge::gateway
