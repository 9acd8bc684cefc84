// Implementation of agent/agent.hpp: connects the state machines of an agent to
// links, datagrams and HTTP.
//
// Attempts and calls are kept in shards by request, each with its own lock. An
// event is applied while the lock of its shard is held; the actions are carried
// out after its release. The state of the backend server changes on one strand
// only.
#pragma once

#include "oleanderhinge/agent/agent.hpp"
#include "oleanderhinge/agent/backend.hpp"
#include "oleanderhinge/agent/calls.hpp"
#include "oleanderhinge/agent/internal/metrics.hpp"
#include "oleanderhinge/agent/options.hpp"
#include "oleanderhinge/agent/orders.hpp"
#include "oleanderhinge/agent/slots.hpp"
#include "oleanderhinge/membership/agent_view.hpp"
#include "oleanderhinge/net/http_client.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/net/udp_endpoint.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::agent::internal
{

namespace asio = boost::asio;

inline constexpr std::size_t shard_count = 8;

struct shard {
    mutable std::mutex mutex;
    chain::attempt_table attempts;
    call_table calls;
};

// Links to other processes.
struct link_directory {
    std::mutex mutex;
    // Role of the peer, for each link whose handshake is complete.
    std::map<net::link_id, wire::role> roles;
    // Links that this agent opened to the agents of other stages, by endpoint
    // and by link.
    std::map<wire::endpoint, net::link_id> stage_links;
    std::map<net::link_id, wire::endpoint> stage_endpoints;
    std::map<net::link_id, base::time_point> last_used;
    // Links that are marked as busy in the link table, which detects a silent
    // peer sooner on them.
    std::set<net::link_id> busy_links;
};

// State of the backend server. Changed on the strand only.
struct server_status {
    mutable std::mutex mutex;
    wire::server_state state = wire::server_state::starting;
    // Empty until the backend server has answered a probe; reset when it is
    // lost and after an order that changed the engine.
    std::optional<backend_info> info;
    // Why the server is not serving.
    std::string reason = "the backend server has not answered yet";
    // Set by `begin_drain`.
    bool leaving = false;
    // The last order was to drain the server.
    bool draining_by_order = false;
    // An order that changes the engine's model, layers or adapters is being
    // carried out.
    bool reloading = false;
    unsigned failed_probes = 0;
    // Sequence number of the last announcement.
    std::uint64_t sequence = 0;
    order_guard orders;
    // End of the configuration lease of the running order. The order is given
    // up if it has not been sent to the engine by then.
    base::time_point order_valid_until;
    // Entry nodes to announce to, and the highest configuration revision that
    // they have stated.
    membership::agent_view entry_nodes;
};

class runtime
{
public:
    runtime(
        asio::io_context& context,
        agent_options configured_options,
        timeline::hybrid_clock& clock,
        timeline::recorder& recorder,
        prometheus::Registry& registry);
    ~runtime();

    base::result<bound_endpoints> start();
    void begin_drain();
    void stop();
    void update_metrics();
    bool drained() const;
    net::readiness ready() const;

    const base::incarnation own_incarnation;

private:
    // links.cpp
    void on_opened(net::link_id id, const wire::hello& peer);
    void on_received(net::link_id id, wire::message content);
    void on_closed(net::link_id id, net::close_reason reason, bool was_open);
    void handle_entry_message(net::link_id id, wire::message content);
    void handle_agent_message(net::link_id id, wire::message content);
    net::link_id find_or_open_stage_link(const wire::endpoint& to);
    void remove_stage_link(const wire::endpoint& to, net::link_id id);
    void send(chain::peer_link to, const wire::message& content);
    void update_busy_links();

    // attempts.cpp
    shard& shard_of(const base::request_id& request);
    void
    apply_event(const base::request_id& request, const chain::event& input);
    void apply_event_to_all(const chain::event& input);
    void carry_out(const chain::request_slot& a);
    void carry_out(const chain::release_slot& a);
    void carry_out(const chain::run_step& a);
    void carry_out(const chain::free_engine_state& a);
    void carry_out(const chain::forward_step& a);
    void carry_out(const chain::acknowledge& a);
    void carry_out(const chain::refuse_step& a);
    void carry_out(const chain::send_token& a);
    void carry_out(chain::grant_attempt a);
    void carry_out(chain::refuse_attempt a);
    void carry_out(const chain::fail_attempt& a);
    void carry_out(chain::confirm_close a);
    void carry_out(const chain::record_fenced& a);
    asio::awaitable<void> run_on_engine(chain::run_step step);
    asio::awaitable<void> free_state_on_engine(chain::free_engine_state what);

    // calls_run.cpp
    void
    apply_call_event(const base::request_id& request, const call_event& input);
    void apply_call_event_to_all(const call_event& input);
    void carry_out(const request_call_slot& a);
    void carry_out(const release_call_slot& a);
    void carry_out(run_call a);
    void carry_out(send_result a);
    asio::awaitable<void> run_on_service(run_call what);

    // Slots, in runtime.cpp.
    void apply_slot_outcomes(const slot_outcomes& outcomes);
    void observe_latency(base::duration latency);
    wire::load_report current_load() const;

    // server.cpp; on the strand, unless stated otherwise.
    asio::awaitable<void> watch_backend();
    asio::awaitable<void> probe_engine();
    asio::awaitable<void> probe_service();
    void backend_answered(const backend_info& info);
    void backend_failed(const std::string& detail, bool unreachable);
    std::optional<base::verdict> refusal() const;
    std::optional<base::verdict> call_refusal() const;
    void update_state();
    asio::awaitable<void> keep_announcing();
    void announce();
    std::vector<wire::endpoint> announcement_targets(base::time_point now);
    wire::announcement make_announcement();
    void on_datagram(wire::message content, const wire::endpoint& from);
    void on_ack(const wire::announcement_ack& ack, const wire::endpoint& from);
    void apply_shares(const wire::rank_shares& shares);

    // orders_run.cpp; on the strand.
    void on_order(const wire::server_order& order, base::duration age);
    asio::awaitable<void> carry_out_order(wire::server_order order);
    asio::awaitable<order_outcome> post_order(wire::server_order order);
    bool order_is_valid() const;
    asio::awaitable<void> wait_for_idle();

    asio::awaitable<void> keep_ticking();
    bool idle() const;

    asio::io_context& io;
    const agent_options options;
    timeline::recorder& events;
    metrics stats;
    asio::strand<asio::io_context::executor_type> strand;
    std::array<shard, shard_count> shards;
    mutable std::mutex slot_mutex;
    slot_pool slots;
    link_directory directory;
    server_status status;
    std::atomic<bool> refuses_new_work{false};
    std::atomic<bool> stopped{false};
    wire::endpoint bound_links;
    net::http_client client;
    net::link_table links;
    net::udp_endpoint datagrams;
};

} // namespace oleanderhinge::agent::internal
