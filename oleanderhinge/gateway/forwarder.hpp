// Forwards requests of callers to backend servers and relays the answers.
//
// A failed request is sent again as often as its route, the retry budget and
// the verdict on the last attempt allow. A stream that breaks off is resumed on
// another path after its last complete event, within the same answer.
//
// Used on the gateway's thread only.
//
// Example:
//   forwarder forward(io, protocol, selector, quarantine, stats, options);
//   forward.set_table(std::make_shared<route_index>(table));
//   co_await forward.handle(request, exchange);
#pragma once

#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/gateway/answer_memory.hpp"
#include "oleanderhinge/gateway/forwarding_request.hpp"
#include "oleanderhinge/gateway/hedging.hpp"
#include "oleanderhinge/gateway/metrics.hpp"
#include "oleanderhinge/gateway/request_log.hpp"
#include "oleanderhinge/gateway/request_times.hpp"
#include "oleanderhinge/gateway/route_index.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"
#include "oleanderhinge/gateway/signal_recorder.hpp"
#include "oleanderhinge/gateway/stall_watch.hpp"
#include "oleanderhinge/gateway/upstream.hpp"
#include "oleanderhinge/retry/shared_budget.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{

// Memory that the process may use.
inline constexpr std::size_t default_memory_bytes = std::size_t(256) << 20;
// One part in so many of it is for answers.
inline constexpr std::size_t answer_memory_part = 4;

struct forwarder_options {
    // For each service.
    retry::shared_budget_options retries;
    // Second attempts beside the first, for each service; see `allows_hedges`.
    retry::shared_budget_options hedges{.request_share = 0, .slack = 0};
    std::uint64_t seed = 1;
    // Limit on the time for which a server gets no requests at its own wish.
    base::duration max_backoff = no_backoff_limit;
    // Streams leave a server when it announces its end, not when it ends.
    bool move_streams_early = false;
    // For answers that are not passed on yet, over all requests; in bytes.
    std::size_t answer_memory = default_memory_bytes / answer_memory_part;
    // Connections to servers, in use and idle.
    std::size_t max_connections = no_connection_limit;
    // Called when requests that depend on this server make no progress.
    std::function<void(const wire::endpoint&)> report_suspect;
    // Called with news about crashes, for the other gateways.
    std::function<void(const wire::crash_evidence&)> share_evidence;
    // Called with limits that servers have stated, for the other gateways.
    std::function<void(const wire::server_limits&)> share_limits;
};

class forwarder
{
public:
    forwarder(
        boost::asio::io_context& io,
        const protocol_adapter& protocol,
        server_selector& selector,
        fleet::crash_quarantine& quarantine,
        metrics& stats,
        forwarder_options options);

    // Uses a table for new requests and for those that wait for the first one.
    void set_table(std::shared_ptr<const route_index> index);

    // Detects stalled streams, closes idle connections, and ends back-offs and,
    // late in a drain, requests without an answer. Call it ten times a second.
    void tick();
    // Notes how many gateways share the retry budgets, as a member of control
    // counts them.
    void note_gateways(std::uint32_t count, base::time_point now);
    // Records limits of servers that control has relayed.
    void note_limits(const wire::server_limits& limits, base::time_point now);

    // Serves one request. If it fails, the caller gets an error answer, or a
    // closed connection if its stream has begun.
    boost::asio::awaitable<void>
    handle(net::http_request incoming, net::http_exchange& exchange);

    // From now on, makes no attempt at a request that would probably not end
    // before `end`, at which the process ends. Shortly before, ends those that
    // have no answer yet.
    void begin_drain(base::time_point end);

    // Ends the drain now: refuses new requests and ends those that have no
    // answer yet.
    void end_drain();

    // Idle connections to backend servers.
    std::size_t idle_connections() const { return this->pool.idle_count(); }
    // Bytes of answers that are not passed on yet.
    std::size_t answer_bytes() const { return this->memory.used; }
    // Requests that `handle` serves at present.
    std::size_t in_progress() const { return this->running.size(); }

private:
    struct attempt_result;
    struct whole_answer;
    struct call_attempt;
    using call_pointer = std::shared_ptr<call_attempt>;

    boost::asio::awaitable<void> serve(forwarding_request& request);
    boost::asio::awaitable<void> await_table(forwarding_request& request);
    std::optional<base::verdict> drain_verdict(
        const forwarding_request& request, base::time_point now) const;
    base::duration time_to_answer(
        const forwarding_request& request, base::time_point now) const;
    void log_drain_decision(const forwarding_request& request);
    void log_cut_answers();
    void note_end(const forwarding_request& request, base::time_point started);
    void end_unanswered();
    boost::asio::awaitable<void> serve_call(forwarding_request& request);
    boost::asio::awaitable<void> serve_stream(forwarding_request& request);
    call_pointer
    make_call(forwarding_request& request, const chosen_server& to);
    boost::asio::awaitable<void>
    call_once(forwarding_request& request, call_attempt& attempt);
    boost::asio::awaitable<attempt_result>
    fetch_answer(forwarding_request& request, call_attempt& attempt);
    void note_call_end(forwarding_request& request, call_attempt& attempt);
    bool may_hedge(const forwarding_request& request) const;
    boost::asio::awaitable<call_pointer>
    call_with_hedge(forwarding_request& request, call_pointer first);
    void start_call(
        forwarding_request& request,
        const call_pointer& attempt,
        const std::shared_ptr<boost::asio::steady_timer>& ended);
    call_pointer
    make_hedge(forwarding_request& request, const call_attempt& first);
    hedge_target
    find_hedge(forwarding_request& request, const call_attempt& first);
    void end_race(
        forwarding_request& request,
        const call_pointer& counting,
        const call_pointer& other,
        bool second_counts);
    hedge_terms terms_of(
        const forwarding_request& request, const call_attempt& attempt) const;
    boost::asio::awaitable<attempt_result>
    stream_once(forwarding_request& request);
    std::optional<attempt_result>
    check_stream_head(const forwarding_request& request) const;
    boost::asio::awaitable<attempt_result>
    attempt_stream(forwarding_request& request, fleet::path parts);
    void note_fault(forwarding_request& request, const attempt_result& result);
    boost::asio::awaitable<void> note_crash(
        forwarding_request& request,
        const attempt_result& result,
        const wire::endpoint& server,
        std::uint32_t attempt_number);
    void note_answer(forwarding_request& request);
    std::optional<base::verdict> attempt_verdict(forwarding_request& request);
    std::optional<base::verdict>
    quarantine_verdict(forwarding_request& request);
    bool may_repeat_after_crash(
        forwarding_request& request, const base::verdict& why) const;
    void share(const wire::crash_evidence& news) const;
    boost::asio::awaitable<bool>
    may_continue(forwarding_request& request, base::verdict why);
    boost::asio::awaitable<bool> wait_to_resume(forwarding_request& request);
    fleet::path reserve_attempt(
        forwarding_request& request, const std::set<wire::endpoint>& avoided);
    bool leave_before_start(forwarding_request& request);
    bool has_waiting_streams(const forwarding_request& request) const;
    bool begin_takeover(
        forwarding_request& request,
        const std::set<wire::endpoint>& avoided,
        takeover_cause cause);
    boost::asio::awaitable<void>
    take_over(std::shared_ptr<forwarding_request> held);
    void end_takeover(
        forwarding_request& request,
        stream_takeover& takeover,
        const attempt_result& result);
    boost::asio::awaitable<bool>
    is_replaced(forwarding_request& request, bool goes_on);
    boost::asio::awaitable<attempt_result> send_request(
        forwarding_request& request,
        upstream_connection& connection,
        const base::backend_server_id& server,
        backend_request to_send);
    bool may_send(
        const forwarding_request& request,
        const base::backend_server_id& server,
        base::time_point now) const;
    bool take_permit(
        forwarding_request& request,
        const base::backend_server_id& server,
        const wire::endpoint& address,
        base::time_point now);
    boost::asio::awaitable<attempt_result> read_answer_head(
        forwarding_request& request,
        upstream_connection& connection,
        const server_incarnation& sent_to,
        steady_time limit);
    boost::asio::awaitable<bool>
    skip_body(upstream_connection& connection, steady_time limit);
    static steady_time first_event_limit(const forwarding_request& request);
    bool has_servers_body(const upstream_connection& answer) const;
    boost::asio::awaitable<attempt_result>
    relay_events(forwarding_request& request);
    void note_first_event(const forwarding_request& request);
    boost::asio::awaitable<bool> write_events(
        forwarding_request& request, const std::vector<std::string>& events);
    boost::asio::awaitable<attempt_result>
    relay_whole_answer(forwarding_request& request);
    boost::asio::awaitable<attempt_result> read_whole_answer(
        const forwarding_request& request,
        upstream_connection& connection,
        whole_answer& answer);
    boost::asio::awaitable<attempt_result> send_whole_answer(
        forwarding_request& request,
        upstream_pointer connection,
        whole_answer& answer);
    boost::asio::awaitable<void>
    send_error(forwarding_request& request, const base::verdict& why);
    boost::asio::awaitable<void>
    fail_request(forwarding_request& request, const base::verdict& why);
    boost::asio::awaitable<void>
    fail_without_server(forwarding_request& request, const char* detail);
    bool
    is_limited(const forwarding_request& request, base::time_point now) const;
    std::chrono::milliseconds
    retry_after(const forwarding_request& request, base::time_point now);

    backend_request make_backend_request(
        const forwarding_request& request,
        const fleet::path& parts,
        const base::backend_server_id& server) const;
    bool may_repeat(
        forwarding_request& request,
        const base::verdict& why,
        base::time_point now);
    retry::shared_budget& budget_of(const forwarding_request& request);
    retry::shared_budget& hedge_limit_of(const forwarding_request& request);
    retry::shared_budget& budget_in(
        std::map<std::string, retry::shared_budget>& all,
        const std::string& service,
        const retry::shared_budget_options& options);
    void log_attempt(
        const forwarding_request& request,
        const attempt_result& result,
        const upstream_pointer& connection,
        base::time_point now);
    void log_answer(const forwarding_request& request);

    boost::asio::io_context& io;
    const protocol_adapter& protocol;
    server_selector& selector;
    fleet::crash_quarantine& quarantine;
    metrics& stats;
    upstream_pool pool;
    const forwarder_options options;
    gateway::answer_memory memory;
    signal_recorder signals;
    stall_watch stalls;
    std::shared_ptr<const route_index> index;
    // By service.
    std::map<std::string, retry::shared_budget> budgets;
    // By service.
    std::map<std::string, retry::shared_budget> hedge_limits;
    // By route.
    std::map<std::string, answer_times> call_times;
    retry::recent_maximum gateways;
    // Streams that have begun and wait for a retry, by service; none is zero.
    std::map<std::string, std::size_t> waiting_streams;
    // By service.
    std::map<std::string, request_times> durations;
    std::optional<base::time_point> drain_end;
    base::random_source random;
    request_log log;
    std::set<std::shared_ptr<forwarding_request>> running;
    // Requests that arrived before the first table.
    std::set<std::shared_ptr<forwarding_request>> table_waiters;
};

} // namespace oleanderhinge::gateway
