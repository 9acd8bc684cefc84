// Forwards requests of callers to backend servers and relays the answers.
//
// A request is sent on as often as its route, the retry budget and the verdict
// on the last attempt allow. A stream that breaks off is continued on another
// path after its last whole event, within the same answer.
//
// Used on the gateway's thread only.
//
// Example:
//   forwarder forward(io, speak, choice, numbers, options);
//   forward.use(std::make_shared<route_index>(table));
//   co_await forward.handle(request, exchange);
#pragma once

#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/gateway/forwarding_request.hpp"
#include "oleanderhinge/gateway/metrics.hpp"
#include "oleanderhinge/gateway/request_log.hpp"
#include "oleanderhinge/gateway/route_index.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"
#include "oleanderhinge/gateway/stall_watch.hpp"
#include "oleanderhinge/gateway/upstream.hpp"
#include "oleanderhinge/retry/budget.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{

struct forwarder_options {
    retry::budget_options retries;
    std::uint64_t seed = 1;
    // Called when work that depends on a server stands still.
    std::function<void(const wire::endpoint&)> suspect;
};

class forwarder
{
public:
    forwarder(
        boost::asio::io_context& io,
        const dialect& speak,
        server_selector& selector,
        metrics& numbers,
        forwarder_options options);

    // Puts a table in force for new requests.
    void use(std::shared_ptr<const route_index> index);

    // Looks for streams that stand still. Call it ten times a second.
    void tick() { this->stalls.tick(); }
    // Retries are shared by this many gateways.
    void share_budget(std::uint32_t gateways);

    boost::asio::awaitable<void>
    handle(net::http_request request, net::http_exchange& exchange);

    std::size_t in_progress() const { return this->active; }

private:
    struct attempt_result;

    boost::asio::awaitable<void> serve(forwarding_request& r);
    boost::asio::awaitable<void> await_table(forwarding_request& r);
    boost::asio::awaitable<void> serve_call(forwarding_request& r);
    boost::asio::awaitable<void> serve_stream(forwarding_request& r);
    boost::asio::awaitable<attempt_result>
    call_once(forwarding_request& r, const chosen_server& to);
    boost::asio::awaitable<attempt_result> stream_once(forwarding_request& r);
    boost::asio::awaitable<attempt_result>
    attempt_stream(forwarding_request& r, fleet::path parts);
    void note_fault(forwarding_request& r, const attempt_result& result);
    boost::asio::awaitable<bool>
    may_go_on(forwarding_request& r, base::verdict why);
    boost::asio::awaitable<bool> pause_stream(forwarding_request& r);
    boost::asio::awaitable<attempt_result>
    open(forwarding_request& r, net::http_request to_send);
    boost::asio::awaitable<attempt_result>
    read_answer_head(forwarding_request& r, steady_time limit);
    boost::asio::awaitable<attempt_result> relay(forwarding_request& r);
    boost::asio::awaitable<bool>
    write_events(forwarding_request& r, const std::vector<std::string>& events);
    boost::asio::awaitable<attempt_result> pass_on(forwarding_request& r);
    boost::asio::awaitable<void>
    refuse(forwarding_request& r, const base::verdict& why);
    boost::asio::awaitable<void>
    give_up(forwarding_request& r, const base::verdict& why);

    net::http_request outgoing(
        const forwarding_request& r,
        const fleet::path& parts,
        const base::backend_server_id& server) const;
    bool may_repeat(
        forwarding_request& r, const base::verdict& why, base::time_point now);
    void log_attempt(
        const forwarding_request& r,
        const attempt_result& result,
        base::time_point now);
    void log_answer(const forwarding_request& r);

    boost::asio::io_context& io;
    const dialect& speak;
    server_selector& selector;
    metrics& numbers;
    upstream_pool pool;
    const forwarder_options options;
    stall_watch stalls;
    std::shared_ptr<const route_index> index;
    retry::budget budget;
    base::random_source random;
    request_log log;
    std::size_t active = 0;
    // Requests that wait for the first table.
    std::set<std::shared_ptr<forwarding_request>> without_table;
};

} // namespace oleanderhinge::gateway
