// The state of a control service and what it does with messages, calls and
// time.
//
// One file a subject: service.cpp has the timer, the management port and the
// life of the service; service_links, service_fleet, service_group,
// service_configuration and service_claims have the rest.
#pragma once

#include "oleanderhinge/control/admin_api.hpp"
#include "oleanderhinge/control/config_feed.hpp"
#include "oleanderhinge/control/fleet_watch.hpp"
#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/control/metrics.hpp"
#include "oleanderhinge/control/peer_table.hpp"
#include "oleanderhinge/control/replicated_state.hpp"
#include "oleanderhinge/control/service.hpp"
#include "oleanderhinge/control/status_watch.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>

namespace oleanderhinge::control
{

namespace asio = boost::asio;

// Members below `strand` are used on the strand only; the rest is thread-safe.
struct service::impl {
    impl(
        asio::io_context& context,
        timeline::hybrid_clock& clock,
        service_options chosen,
        const log_factory& make_log)
        : io(context)
        , options(std::move(chosen))
        , self(options.link.self.vm)
        , events(self, clock, options.timeline_events)
        , numbers(registry)
        , state([this] { this->on_strand([this] { this->publish_now(); }); })
        , strand(asio::make_strand(context))
        , timer(strand)
        , random(options.seed)
        , feed{.fanout = options.fanout, .subscribers = {}}
        , peers{.self = self, .peers = {}}
        , watch{.self = self}
        , links(context, clock, options.link, this->link_handlers())
        , consensus(make_log(this->state.machine(), this->sender()))
        , api(*consensus.log,
              state,
              events,
              numbers,
              {.self = self,
               .token = options.admin_token,
               .wall_ms = options.wall_ms,
               .new_plan_id = options.new_plan_id,
               .subscribers = [this] { return this->subscribers.load(); }})
        , admin(context, this->admin_limits(), this->admin_handler())
        , management(
              context,
              {},
              net::management_handler(
                  {.ready = [this] { return this->readiness(); },
                   .registry = this->registry,
                   .events = this->events,
                   .before_scrape = [this] { this->copy_gauges(); }}))
    {
    }

    template <class Function>
    void on_strand(Function&& function)
    {
        asio::post(this->strand, std::forward<Function>(function));
    }

    // --- Links (service_links.cpp)
    net::link_events link_handlers();
    consensus_sender sender();
    // This node's own link, else one that the member has opened: a new member
    // may not know yet where the others are.
    std::optional<net::link_id> link_of(const base::vm_id& vm) const;
    void on_opened(net::link_id link, const wire::hello& peer);
    void on_closed(net::link_id link, net::close_reason reason);
    void on_message(net::link_id link, wire::message&& content);

    // --- Backend servers (service_fleet.cpp)
    net::http_limits admin_limits() const;
    net::http_handler admin_handler();
    // Admin endpoint of the leader; port 0 if it is unknown or this node.
    wire::endpoint leader_endpoint() const;
    template <class Outcome>
    Outcome not_here() const
    {
        Outcome outcome;
        outcome.leader = this->leader_endpoint();
        if (outcome.leader.port != 0)
            outcome.state = operation_state::not_leader;
        return outcome;
    }

    void replace_forwarding(
        control_state::replace_forwarding command,
        std::function<void(replace_outcome)> done);
    static replace_outcome
    applied_replacement(const replica::propose_result& result);
    void read_forwarding(std::function<void(document_outcome)> done);
    void on_report(const wire::server_record& record, bool relayed);
    // A gateway tells one member, which tells everyone else.
    void on_suspicion(net::link_id from, const wire::server_suspicion& doubt);
    void send_servers();
    void place_layers(const replica::log_status& status, base::time_point now);
    void ask_for_loads(const replica::log_status& status, base::time_point now);
    void send_loads();

    // --- Membership (service_group.cpp)
    void on_join_request(const wire::join_request& asking);
    // The asking node may know none of the present members but this one.
    void forward_join_request(
        const replica::log_status& status, const wire::join_request& asking);
    void manage_group(const replica::log_status& status, base::time_point now);
    void send_group(net::link_id link);
    void send(const std::vector<outgoing>& messages);
    void count_subscribers();

    // --- Configuration (service_configuration.cpp)
    // Link endpoints of the other members, starting with another one at each
    // call, so that redirected subscribers spread.
    std::vector<wire::endpoint> others();
    void on_subscribe(net::link_id link, const wire::subscribe& wanted);
    bool without_quorum() const;
    void publish_now();
    // Confirms the present revision if this node knows it to be the newest.
    void confirm_round();
    void confirm_now(base::duration age);

    // --- Claims (service_claims.cpp)
    void on_claim(net::link_id link, const wire::claim_request& request);
    void on_outcome(net::link_id link, const wire::outcome_report& report);
    void
    redirect_unless_leader(net::link_id link, replica::propose_state result);

    // --- Timer (service.cpp)
    void schedule();
    void tick(base::time_point now);
    void connect_peers(const replica::log_status& status, base::time_point now);
    void propose_expire();

    // --- Management (service.cpp)
    net::readiness readiness() const;
    void copy_gauges();
    asio::io_context& io;
    const service_options options;
    const base::vm_id self;
    timeline::recorder events;
    prometheus::Registry registry;
    metrics numbers;
    replicated_state state;
    std::atomic<std::size_t> subscribers{0};
    std::atomic<bool> draining{false};
    std::atomic<bool> stopped{false};

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    base::random_source random;
    config_feed feed;
    peer_table peers;
    status_watch watch;
    std::map<net::link_id, wire::hello> known;
    fleet_watch fleet;
    wire::server_loads new_loads;
    member_reach reach;
    base::time_point without_leader_since = base::monotonic_now();
    base::time_point next_join;
    std::atomic<bool> removing{false};
    base::time_point next_confirm;
    base::time_point next_expire;
    std::uint64_t redirects = 0;

    net::link_table links;
    // Below everything that its callbacks use.
    consensus_port consensus;
    admin_api api;
    net::http_server admin;
    net::http_server management;
};

} // namespace oleanderhinge::control
