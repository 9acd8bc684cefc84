// The state of the control service and its handlers of messages, admin calls
// and timer ticks.
//
// The functions are defined in one file per subject: service.cpp (timer,
// management port, start and stop), service_links.cpp, service_fleet.cpp,
// service_ends.cpp, service_limits.cpp, service_group.cpp,
// service_configuration.cpp and service_claims.cpp.
#pragma once

#include "oleanderhinge/control/admin_api.hpp"
#include "oleanderhinge/control/admin_limits.hpp"
#include "oleanderhinge/control/config_feed.hpp"
#include "oleanderhinge/control/fleet_watch.hpp"
#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/control/limit_relay.hpp"
#include "oleanderhinge/control/metrics.hpp"
#include "oleanderhinge/control/peer_table.hpp"
#include "oleanderhinge/control/permit_issuer.hpp"
#include "oleanderhinge/control/replicated_state.hpp"
#include "oleanderhinge/control/server_ends.hpp"
#include "oleanderhinge/control/service.hpp"
#include "oleanderhinge/control/status_watch.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/crash_quarantine.hpp"
#include "oleanderhinge/net/caller_metrics.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <limits>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace oleanderhinge::control
{

namespace asio = boost::asio;

// The data members from `timer` to `redirects` are used on the strand only,
// except the atomic ones. The other members are
// thread-safe.
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
        , state([this] {
            this->on_strand([this] {
                this->send_updates();
                this->take_ends();
            });
        })
        , strand(asio::make_strand(context))
        , timer(strand)
        , random(options.seed)
        , feed{
              // Every gateway of a self-managed group subscribes to every
              // member; none is redirected.
              .fanout = options.self_managed
                            ? std::numeric_limits<std::size_t>::max()
                            : options.fanout,
              .subscribers = {},
              .bulk_rate = options.bulk_rate,
              .random = base::random_source(options.seed)}
        , peers{.self = self, .peers = {}}
        , watch{.self = self}
        , seeds(options.initial_members)
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
        , admin(context, admin_limits(), this->admin_handler())
        , management(
              context,
              net::management_limits(),
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
    // Returns the open link of this node to `vm`, else one that `vm` has
    // opened; empty without either. A new member may not know the endpoints of
    // the others yet, so this node may have only the link that it has opened.
    std::optional<net::link_id> link_of(const base::vm_id& vm) const;
    void on_opened(net::link_id link, const wire::hello& peer);
    void on_closed(net::link_id link, net::close_reason reason);
    void on_message(net::link_id link, wire::message&& content);

    // --- Backend servers (service_fleet.cpp)
    net::http_handler admin_handler();
    // Returns the admin endpoint of the leader; the port is 0 if the leader is
    // unknown or is this node.
    wire::endpoint leader_endpoint() const;
    // Returns the outcome of an operation on a node that does not lead:
    // `not_leader` with the endpoint of the leader, or `unavailable` if that is
    // unknown.
    template <class Outcome>
    Outcome not_leader_outcome() const
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
    // `done` gets whether the log holds the end.
    void
    on_leave(const wire::server_record& notice, std::function<void(bool)> done);
    // Proposes the ends that the log lacks, on the leader.
    void propose_ends();
    // Takes new ends from the log and answers the servers that wait for them.
    void take_ends();
    void answer_leaves(base::time_point now);
    // A gateway reports a suspected server to one member. Each member that did
    // not know of it relays the suspicion to all other gateways and members.
    void
    on_suspicion(net::link_id from, const wire::server_suspicion& suspicion);
    // Relays what is new about crashes: from a gateway to all others and to the
    // members, from a member to gateways only, so that nothing returns. Needs
    // no leader.
    void
    on_crash_evidence(net::link_id from, const wire::crash_evidence& received);
    // Sends all crashes to a peer that has connected.
    void send_crashes(net::link_id to);
    void send_records(
        const std::vector<net::link_id>& to, const wire::server_batch& records);
    void send_servers();
    void place_layers(const replica::log_status& status, base::time_point now);
    load_duty duty_for_loads(const replica::log_status& status) const;
    void request_loads(const replica::log_status& status, base::time_point now);
    void send_loads();

    // --- Limits of servers (service_limits.cpp)
    void on_server_limits(net::link_id from, const wire::server_limits& stated);
    void log_limit(
        const wire::server_limit& stated,
        const base::vm_id& from,
        base::time_point now);
    void send_limits(net::link_id to, base::time_point now);
    // The leader sends limits and permits; other members only keep the limits.
    void update_limits(const replica::log_status& status, base::time_point now);

    // --- Membership (service_group.cpp)
    void on_join_request(const wire::join_request& request);
    // Relays the request to the leader, since the requesting node may know no
    // member but this one.
    void forward_join_request(
        const replica::log_status& status, const wire::join_request& request);
    void manage_group(const replica::log_status& status, base::time_point now);
    // Says whether the group bears the losses that the settings name.
    void observe_size(const replica::log_status& status);
    std::size_t needed() const
    {
        return needed_members(this->options.tolerated_losses);
    }
    // The message about the group for gateways and for nodes that are not
    // members.
    wire::control_group group(base::time_point now) const;
    // Sends it to these, once a second.
    void tell_group(const replica::log_status& status, base::time_point now);
    // Keeps what other threads ask of a node that is not a member.
    void
    update_reserve(const replica::log_status& status, base::time_point now);
    // The links to gateways.
    std::vector<net::link_id> gateway_links() const;
    // The links that this node has opened to other members.
    std::vector<net::link_id> member_links() const;
    // Both.
    std::vector<net::link_id> gateway_and_member_links() const;
    void send(const std::vector<outgoing>& messages);
    void count_subscribers();

    // --- Configuration (service_configuration.cpp)
    // Returns the link endpoints of the other members. Each call starts with
    // the next one, so that redirected subscribers are spread over the members.
    std::vector<wire::endpoint> redirect_targets();
    void on_subscribe(net::link_id link, const wire::subscribe& request);
    // Returns true if there has been no quorum for longer than `config_lease`.
    bool config_lease_expired() const;
    void send_updates();
    // Confirms the present revision to the subscribers if this node has
    // evidence that it is the newest committed one: a read barrier on the
    // leader, or the lease of the leader on a follower.
    void confirm_if_newest();
    // Sends the confirmation. `age` is the time since the revision was known to
    // be the newest.
    void send_confirmation(base::duration age);

    // --- Claims (service_claims.cpp)
    void on_claim(net::link_id link, const wire::claim_request& request);
    void on_outcome(net::link_id link, const wire::outcome_report& report);
    void
    redirect_unless_leader(net::link_id link, replica::propose_state result);

    // --- Timer (service.cpp)
    void schedule();
    // Logs that the process or its VM was paused: what waits in the sockets is
    // older than it seems.
    void log_pause(base::time_point now);
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
    net::caller_metrics caller_numbers{registry, "oleanderhinge_control"};
    replicated_state state;
    std::atomic<std::size_t> subscribers{0};
    std::atomic<bool> draining{false};
    std::atomic<bool> stopped{false};

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    base::random_source random;
    config_feed feed;
    peer_table peers;
    // Seeds that are not members, to which the leader has links.
    std::set<base::vm_id> outsiders;
    status_watch watch;
    // The peer's hello for each open link.
    std::map<net::link_id, wire::hello> open_links;
    fleet_watch fleet;
    server_ends ends;
    struct waiting_leave {
        base::backend_server_id id;
        std::uint64_t started_ms = 0;
        base::time_point limit;
        std::function<void(bool)> done;
        bool recorded = false;
    };
    // Servers that wait for the acknowledgment of their end.
    std::vector<waiting_leave> leaves;
    fleet::crash_quarantine quarantine;
    limit_relay limits;
    permit_issuer permits;
    std::atomic<std::size_t> limited_servers{0};
    // Changes of limits logged and left out since the start of the second.
    base::time_point limit_log_start;
    std::size_t limits_logged = 0;
    std::size_t limits_unlogged = 0;
    // Numbers of servers that the other members use.
    std::map<net::link_id, fleet::peer_numbering> peer_numbers;
    member_reach reach;
    group_news news;
    // True while this node would campaign although it has been removed: what it
    // sends then only disturbs the members.
    bool stands_aside = false;
    std::optional<std::size_t> last_missing;
    base::time_point without_leader_since = base::monotonic_now();
    base::time_point without_links_since = base::monotonic_now();
    std::atomic<bool> isolated{false};
    // Members of the settings.
    std::vector<replica::member> seeds;
    base::time_point next_join;
    std::atomic<bool> adding{false};
    std::atomic<bool> removing{false};
    base::time_point last_tick;
    // `base::suspended_time` at the last tick.
    base::duration suspended_before{0};
    base::time_point next_confirm;
    base::time_point next_expire;
    std::uint64_t redirects = 0;

    // Admin endpoints of the members while this node is a reserve, and the
    // calls sent there so far.
    mutable std::mutex reserve_mutex;
    std::vector<wire::endpoint> reserve_targets;
    mutable std::atomic<std::uint64_t> reserve_redirects{0};

    net::link_table links;
    // Declared after the members that its callbacks use, so that it is
    // destroyed before them.
    consensus_port consensus;
    admin_api api;
    net::http_server admin;
    net::http_server management;
};

} // namespace oleanderhinge::control
