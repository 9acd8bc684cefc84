#include "oleanderhinge/control/service.hpp"

#include "oleanderhinge/control/admin_api.hpp"
#include "oleanderhinge/control/config_feed.hpp"
#include "oleanderhinge/control/fleet_watch.hpp"
#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/control/metrics.hpp"
#include "oleanderhinge/control/peer_table.hpp"
#include "oleanderhinge/control/replicated_state.hpp"
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
using timeline::event_kind;

namespace
{

// Interval at which status and links are looked at. A tenth of the time in
// which a new leader is due.
constexpr auto tick_interval = std::chrono::milliseconds(100);

std::uint32_t whole_ms(base::duration age)
{
    return std::uint32_t(
        std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

std::uint64_t ms_of(base::duration time)
{
    return std::uint64_t(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

const char* operation_name(operation_state state)
{
    switch (state) {
    case operation_state::done:
        return "done";
    case operation_state::elsewhere:
        return "elsewhere";
    case operation_state::unavailable:
        return "unavailable";
    }
    return "unknown";
}

// What the time line says about a recorded outcome.
const char* outcome_name(const wire::outcome_report& report)
{
    return report.failure.code == base::failure_code::none
               ? "answered"
               : base::to_string(report.failure.state);
}

} // namespace

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

    // --- Links ------------------------------------------------------------

    net::link_events link_handlers()
    {
        return {
            .opened =
                [this](net::link_id link, const wire::hello& peer) {
                    this->on_strand(
                        [this, link, peer] { this->on_opened(link, peer); });
                },
            .received =
                [this](net::link_id link, wire::message content) {
                    this->on_strand(
                        [this, link, content = std::move(content)]() mutable {
                            this->on_message(link, std::move(content));
                        });
                },
            .closed =
                [this](net::link_id link, net::close_reason reason, bool) {
                    this->on_strand([this, link, reason] {
                        this->on_closed(link, reason);
                    });
                }};
    }

    consensus_sender sender()
    {
        return [this](const base::vm_id& to, wire::consensus_message content) {
            this->on_strand([this, to, content = std::move(content)] {
                if (const auto link = this->link_of(to))
                    this->links.send(*link, content);
            });
        };
    }

    // This node's own link, else one that the member has opened: a new member
    // may not know yet where the others are.
    std::optional<net::link_id> link_of(const base::vm_id& vm) const
    {
        if (const auto own = link_to(this->peers, vm))
            return own;
        for (const auto& [link, peer] : this->known)
            if (peer.sender == wire::role::control && peer.vm == vm)
                return link;
        return std::nullopt;
    }

    void on_opened(net::link_id link, const wire::hello& peer)
    {
        if (peer.sender == wire::role::agent ||
            !opened(this->peers, link, peer.vm)) {
            spdlog::warn(
                "event=link_refused peer={} reason=\"unexpected peer\"",
                peer.vm.value());
            this->links.close(link);
            return;
        }
        this->known.insert_or_assign(link, peer);
        // A silent link between members delays elections, so the short limits
        // apply to it all the time.
        if (peer.sender == wire::role::control)
            this->links.set_busy(link, true);
        this->events.record(event_kind::link_opened, peer.vm.value());
        spdlog::info("event=link_opened peer={}", peer.vm.value());
    }

    void on_closed(net::link_id link, net::close_reason reason)
    {
        closed(this->peers, link, base::monotonic_now(), this->random);
        forget(this->feed, link);
        this->count_subscribers();
        const auto found = this->known.find(link);
        if (found == this->known.end())
            return;
        this->events.record(
            event_kind::link_closed,
            found->second.vm.value() + ": " + net::to_string(reason));
        spdlog::info(
            "event=link_closed peer={} reason={}",
            found->second.vm.value(),
            net::to_string(reason));
        this->known.erase(found);
    }

    void on_message(net::link_id link, wire::message&& content)
    {
        const auto peer = this->known.find(link);
        if (peer == this->known.end())
            return;
        if (auto* consensus_part =
                std::get_if<wire::consensus_message>(&content)) {
            if (peer->second.sender == wire::role::control &&
                this->consensus.receive)
                this->consensus.receive(
                    peer->second.vm, std::move(*consensus_part));
        } else if (
            const auto* wanted = std::get_if<wire::subscribe>(&content)) {
            this->on_subscribe(link, *wanted);
        } else if (
            const auto* claim = std::get_if<wire::claim_request>(&content)) {
            this->on_claim(link, *claim);
        } else if (
            const auto* report = std::get_if<wire::outcome_report>(&content)) {
            this->on_outcome(link, *report);
        } else if (
            const auto* batch = std::get_if<wire::server_batch>(&content)) {
            if (peer->second.sender == wire::role::control)
                for (const auto& record : batch->records)
                    this->on_report(record, true);
        } else if (
            const auto* doubt = std::get_if<wire::server_suspicion>(&content)) {
            this->on_suspicion(link, *doubt);
        } else if (
            const auto* asking = std::get_if<wire::join_request>(&content)) {
            if (peer->second.sender == wire::role::control)
                this->on_join_request(*asking);
        }
    }

    // --- Backend servers --------------------------------------------------

    net::http_limits admin_limits() const
    {
        net::http_limits limits;
        // The largest forwarding table is 4 MiB.
        limits.body_bytes = std::size_t(5) << 20;
        return limits;
    }

    net::http_handler admin_handler()
    {
        auto own = this->api.handler();
        if (!this->options.extend_admin)
            return own;
        return this->options.extend_admin(
            {.replace_forwarding =
                 [this](auto command, auto done) {
                     this->replace_forwarding(
                         std::move(command), std::move(done));
                 },
             .read_forwarding =
                 [this](auto done) { this->read_forwarding(std::move(done)); },
             .report_server =
                 [this](wire::server_record record) {
                     this->on_strand([this, record = std::move(record)] {
                         this->on_report(record, false);
                     });
                 }},
            std::move(own));
    }

    // Admin endpoint of the leader; port 0 if it is unknown or this node.
    wire::endpoint leader_endpoint() const
    {
        const auto status = this->consensus.log->status();
        for (const auto& item : status.members)
            if (item.vm == status.leader && item.vm != this->self)
                return item.admin;
        return {};
    }

    template <class Outcome>
    Outcome not_here() const
    {
        Outcome outcome;
        outcome.leader = this->leader_endpoint();
        if (outcome.leader.port != 0)
            outcome.state = operation_state::elsewhere;
        return outcome;
    }

    void replace_forwarding(
        control_state::replace_forwarding command,
        std::function<void(replace_outcome)> done)
    {
        const auto version = command.table.version;
        this->consensus.log->propose(
            control_state::encode(command),
            [this, version, done = std::move(done)](
                const replica::propose_result& result) {
                replace_outcome outcome;
                if (result.state == replica::propose_state::not_leader)
                    outcome = this->not_here<replace_outcome>();
                else if (result.state == replica::propose_state::applied)
                    outcome = applied_replacement(result);
                spdlog::info(
                    "event=replace_forwarding version={} outcome={} "
                    "version_in_force={} index={}",
                    version,
                    operation_name(outcome.state),
                    outcome.reply.version_in_force,
                    result.index.value());
                done(outcome);
            });
    }

    static replace_outcome
    applied_replacement(const replica::propose_result& result)
    {
        return base::handle(
            [&]() -> base::result<replace_outcome> {
                BOOST_LEAF_AUTO(
                    reply, control_state::decode_reply(result.reply));
                const auto* replaced =
                    std::get_if<control_state::replace_reply>(&reply);
                if (replaced == nullptr)
                    return base::fail(
                        base::error_code::malformed, "another reply");
                return replace_outcome{operation_state::done, {}, *replaced};
            },
            [](const base::error& failure) -> replace_outcome {
                spdlog::error(
                    "event=replace_forwarding reply is unreadable: {}",
                    failure.detail);
                return {};
            });
    }

    void read_forwarding(std::function<void(document_outcome)> done)
    {
        const auto status = this->consensus.log->status();
        if (status.role != replica::member_role::leader)
            return done(this->not_here<document_outcome>());
        this->consensus.log->read_barrier(
            [this, done = std::move(done)](replica::barrier_result result) {
                document_outcome outcome;
                if (result.ok)
                    outcome =
                        this->state.read([](const control_state::state& from) {
                            return document_outcome{
                                operation_state::done,
                                {},
                                from.config.forwarding.version,
                                from.forwarding_document};
                        });
                done(outcome);
            });
    }

    void on_report(const wire::server_record& record, bool relayed)
    {
        const auto outcome =
            report(this->fleet, record, relayed, base::monotonic_now());
        if (outcome != fleet::report_outcome::changed)
            return;
        spdlog::info(
            "event=server_changed server={} state={} address={}:{} "
            "layers={}-{} started_ms={} sequence={} age_ms={} relayed={}",
            record.id.value(),
            int(record.state),
            record.address,
            record.port,
            record.layers.first.value(),
            record.layers.end.value(),
            record.started_ms,
            record.sequence,
            record.age_ms,
            relayed);
        this->send_servers();
    }

    // A gateway tells one member, which tells everyone else.
    void on_suspicion(net::link_id from, const wire::server_suspicion& doubt)
    {
        const auto now = base::monotonic_now();
        if (!fleet::suspect(
                this->fleet.servers,
                doubt.server,
                now - std::chrono::milliseconds(doubt.age_ms)))
            return;
        spdlog::warn(
            "event=server_suspected address={}:{} age_ms={} from={}",
            doubt.server.address,
            doubt.server.port,
            doubt.age_ms,
            this->known[from].vm.value());
        for (const auto& [link, peer] : this->known)
            if (link != from && (peer.sender == wire::role::entry ||
                                 link_to(this->peers, peer.vm) == link))
                this->links.send(link, doubt);
    }

    void send_servers()
    {
        const auto batches = take_changes(this->fleet, base::monotonic_now());
        if (batches.for_gateways.records.empty())
            return;
        for (const auto& [link, peer] : this->known) {
            if (peer.sender == wire::role::entry)
                this->links.send(link, batches.for_gateways);
            else if (
                !batches.for_members.records.empty() &&
                link_to(this->peers, peer.vm) == link)
                this->links.send(link, batches.for_members);
        }
    }

    void place_layers(const replica::log_status& status, base::time_point now)
    {
        if (!this->options.give_order)
            return;
        const bool leads =
            status.role == replica::member_role::leader && status.quorum;
        const auto orders =
            this->state.read([&](const control_state::state& from) {
                return plan_orders(
                    this->fleet,
                    from.config.forwarding,
                    from.places,
                    leads,
                    now);
            });
        if (leads)
            for (auto& record : due_records(this->fleet)) {
                spdlog::info(
                    "event=record_places service={} servers={}",
                    record.service,
                    record.places.size());
                this->consensus.log->propose(
                    control_state::encode(record),
                    [](const replica::propose_result& result) {
                        if (result.state != replica::propose_state::applied)
                            spdlog::warn(
                                "event=record_places_failed state={}",
                                int(result.state));
                    });
            }
        for (const auto& order : orders) {
            spdlog::info(
                "event=order server={} layers={}-{} term={}",
                order.server.value(),
                order.layers.first.value(),
                order.layers.end.value(),
                status.current_term.value());
            this->options.give_order(order, [order](order_result result) {
                if (result != order_result::accepted)
                    spdlog::warn(
                        "event=order_failed server={} result={}",
                        order.server.value(),
                        result == order_result::refused ? "refused"
                                                        : "unknown");
            });
        }
    }

    void ask_for_loads(const replica::log_status& status, base::time_point now)
    {
        if (!this->options.read_load)
            return;
        const bool leads =
            status.role == replica::member_role::leader && status.quorum;
        const auto due =
            this->state.read([&](const control_state::state& from) {
                return due_for_load(
                    this->fleet, from.config.forwarding, leads, now);
            });
        for (const auto& server : due)
            this->options.read_load(
                {server.address, server.port},
                [this, id = server.id](std::optional<wire::engine_load> load) {
                    if (load)
                        this->on_strand([this, id, load = *load] {
                            if (fleet::note_load(this->fleet.servers, id, load))
                                this->fleet.changed.insert(id);
                            this->new_loads.items.push_back({id, load});
                        });
                });
    }

    void send_loads()
    {
        if (this->new_loads.items.empty())
            return;
        for (const auto& [link, peer] : this->known)
            if (peer.sender == wire::role::entry)
                this->links.send(link, this->new_loads);
        this->new_loads.items.clear();
    }

    // --- Membership -------------------------------------------------------

    void on_join_request(const wire::join_request& asking)
    {
        const auto status = this->consensus.log->status();
        if (!should_add(status, asking.vm)) {
            this->forward_join_request(status, asking);
            return;
        }
        spdlog::info("event=member_adding vm={}", asking.vm.value());
        this->consensus.log->add_member(
            {asking.vm, asking.link, asking.admin, true},
            [asking](const replica::propose_result& result) {
                spdlog::info(
                    "event=member_added vm={} applied={}",
                    asking.vm.value(),
                    result.state == replica::propose_state::applied);
            });
    }

    // The asking node may know none of the present members but this one.
    void forward_join_request(
        const replica::log_status& status, const wire::join_request& asking)
    {
        if (status.leader.value().empty() || status.leader == this->self ||
            status.leader == asking.vm)
            return;
        if (const auto link = link_to(this->peers, status.leader))
            this->links.send(*link, asking);
    }

    void manage_group(const replica::log_status& status, base::time_point now)
    {
        if (!this->options.self_managed)
            return;
        observe_links(
            this->reach,
            status,
            this->self,
            [this](const base::vm_id& vm) {
                return this->link_of(vm).has_value();
            },
            now);
        if (status.quorum)
            this->without_leader_since = now;
        if (now >= this->next_join &&
            asks_for_admission(
                status, this->self, this->without_leader_since, now)) {
            this->next_join = now + admission_interval;
            const wire::join_request asking{
                this->self,
                this->options.link_listen,
                this->options.admin_listen};
            for (const auto& [link, peer] : this->known)
                if (peer.sender == wire::role::control)
                    this->links.send(link, asking);
        }
        if (const auto vm = member_to_remove(
                this->reach,
                status,
                wanted_members(this->options.tolerated_losses),
                now);
            vm && !this->removing) {
            this->removing = true;
            spdlog::info("event=member_removing vm={}", vm->value());
            this->consensus.log->remove_member(
                *vm, [this, vm](const replica::propose_result& result) {
                    spdlog::info(
                        "event=member_removed vm={} applied={}",
                        vm->value(),
                        result.state == replica::propose_state::applied);
                    this->removing = false;
                });
        }
    }

    void send_group(net::link_id link)
    {
        wire::control_group group;
        for (const auto& item : this->consensus.log->status().members)
            if (item.link.port != 0)
                group.members.push_back(item.link);
        for (const auto& [other, peer] : this->known)
            if (peer.sender == wire::role::entry)
                ++group.gateways;
        this->links.send(link, group);
    }

    void send(const std::vector<outgoing>& messages)
    {
        for (const auto& message : messages) {
            if (std::holds_alternative<wire::config_update>(message.content))
                this->numbers.updates_sent.Increment(double(message.to.size()));
            if (std::holds_alternative<wire::subscribe_redirect>(
                    message.content))
                this->numbers.subscribers_redirected.Increment(
                    double(message.to.size()));
            for (const auto link : message.to)
                if (this->links.send(link, message.content) ==
                    net::send_status::full) {
                    // It subscribes again and then gets the newest revision.
                    this->numbers.slow_subscribers_closed.Increment();
                    this->links.close(link);
                }
        }
        this->count_subscribers();
    }

    void count_subscribers()
    {
        this->subscribers = this->feed.subscribers.size();
    }

    // --- Configuration ----------------------------------------------------

    // Link endpoints of the other members, starting with another one at each
    // call, so that redirected subscribers spread.
    std::vector<wire::endpoint> others()
    {
        std::vector<wire::endpoint> found;
        for (const auto& item : this->consensus.log->status().members)
            if (item.vm != this->self && item.link.port != 0)
                found.push_back(item.link);
        if (!found.empty())
            std::rotate(
                found.begin(),
                found.begin() +
                    std::ptrdiff_t(this->redirects++ % found.size()),
                found.end());
        return found;
    }

    void on_subscribe(net::link_id link, const wire::subscribe& wanted)
    {
        // Gateways subscribe to every member, so that each can tell them of
        // servers.
        const auto alternatives = this->options.self_managed
                                      ? std::vector<wire::endpoint>{}
                                      : this->others();
        if (this->without_quorum() && !alternatives.empty()) {
            this->send({{{link}, wire::subscribe_redirect{alternatives}}});
            return;
        }
        this->send(this->state.read([&](const control_state::state& from) {
            return subscribe(this->feed, link, wanted, from, alternatives);
        }));
        if (this->options.self_managed) {
            this->send_group(link);
            this->links.send(
                link, all_servers(this->fleet, base::monotonic_now()));
        }
        this->confirm_round();
    }

    bool without_quorum() const
    {
        return quorum_lost_for(
            this->watch, this->options.config_lease, base::monotonic_now());
    }

    void publish_now()
    {
        this->send(this->state.read([this](const control_state::state& from) {
            return publish(this->feed, from);
        }));
    }

    // Confirms the present revision if this node knows it to be the newest.
    void confirm_round()
    {
        if (this->feed.subscribers.empty())
            return;
        const auto status = this->consensus.log->status();
        if (!status.quorum)
            return;
        if (status.role != replica::member_role::leader) {
            if (status.applied == status.committed)
                this->confirm_now(
                    std::chrono::milliseconds(status.lease_age_ms));
            return;
        }
        // The barrier proves that this node still led after `asked`, and that
        // the state holds every change that was acknowledged before.
        const auto asked = base::monotonic_now();
        this->consensus.log->read_barrier(
            [this, asked](replica::barrier_result result) {
                if (result.ok)
                    this->on_strand([this, asked] {
                        this->confirm_now(base::monotonic_now() - asked);
                    });
            });
    }

    void confirm_now(base::duration age)
    {
        this->send(this->state.read([&](const control_state::state& from) {
            return confirm(this->feed, from, whole_ms(age));
        }));
    }

    // --- Claims -----------------------------------------------------------

    void on_claim(net::link_id link, const wire::claim_request& request)
    {
        this->consensus.log->propose(
            control_state::encode(to_command(
                request, this->options.claims, this->options.wall_ms())),
            [this, link, request](const replica::propose_result& result) {
                const auto reply = to_reply(request.correlation, result);
                this->numbers.count_claim(reply.state);
                if (reply.state == wire::claim_state::granted)
                    this->events.record(
                        event_kind::claim_granted,
                        request.request,
                        "route " + request.route.value());
                this->links.send(link, reply);
                this->redirect_unless_leader(link, result.state);
            });
    }

    void on_outcome(net::link_id link, const wire::outcome_report& report)
    {
        const auto done = [this,
                           link,
                           correlation = report.correlation,
                           request = report.request,
                           outcome = outcome_name(report)](
                              const replica::propose_result& result) {
            const auto ack = to_ack(correlation, result);
            if (ack.stored) {
                this->numbers.outcomes_stored.Increment();
                this->events.record(
                    event_kind::claim_finished, request, outcome);
            } else {
                this->numbers.outcomes_refused.Increment();
            }
            this->links.send(link, ack);
            this->redirect_unless_leader(link, result.state);
        };
        this->consensus.log->propose(
            control_state::encode(to_command(report, this->options.claims)),
            done);
    }

    void
    redirect_unless_leader(net::link_id link, replica::propose_state result)
    {
        if (result != replica::propose_state::not_leader)
            return;
        const auto status = this->consensus.log->status();
        for (const auto& item : status.members)
            if (item.vm == status.leader && item.vm != this->self)
                this->links.send(link, wire::subscribe_redirect{{item.link}});
    }

    // --- Timer ------------------------------------------------------------

    void schedule()
    {
        this->timer.expires_after(tick_interval);
        this->timer.async_wait([this](boost::system::error_code failed) {
            if (failed || this->stopped)
                return;
            this->tick(base::monotonic_now());
            this->schedule();
        });
    }

    void tick(base::time_point now)
    {
        const auto status = this->consensus.log->status();
        const bool had_quorum = this->watch.quorum;
        for (const auto& item : observe(this->watch, status, now)) {
            this->events.record(item.kind, item.detail);
            spdlog::info(
                "event={} detail=\"{}\"",
                timeline::to_string(item.kind),
                item.detail);
        }
        if (!had_quorum && status.quorum)
            spdlog::info(
                "event=quorum_present leader={}", status.leader.value());
        this->connect_peers(status, now);
        // Without another node to name, subscribers stay: they would not come
        // back by themselves.
        if (const auto alternatives = this->others();
            !this->options.self_managed && this->without_quorum() &&
            !alternatives.empty())
            this->send(dismiss(this->feed, alternatives));
        if (now >= this->next_confirm) {
            this->next_confirm = now + this->options.confirm_interval;
            this->confirm_round();
            if (this->options.self_managed)
                for (const auto& [link, subscriber] : this->feed.subscribers)
                    this->send_group(link);
        }
        this->send_servers();
        this->send_loads();
        this->ask_for_loads(status, now);
        this->place_layers(status, now);
        this->manage_group(status, now);
        if (now >= this->next_expire) {
            this->next_expire = now + this->options.expire_interval;
            if (status.role == replica::member_role::leader && status.quorum)
                this->propose_expire();
        }
    }

    void connect_peers(const replica::log_status& status, base::time_point now)
    {
        std::vector<net::link_id> dropped;
        // A fresh log learns its members from its peers.
        const auto& members = status.members.empty()
                                  ? this->options.initial_members
                                  : status.members;
        for (const auto& peer : due(this->peers, members, now, dropped))
            connecting(this->peers, peer.vm, this->links.connect(peer.link));
        for (const auto link : dropped)
            this->links.close(link);
    }

    void propose_expire()
    {
        this->consensus.log->propose(
            control_state::encode(control_state::expire{
                this->options.wall_ms(),
                this->options.claims.retention_ms,
                ms_of(this->options.plan_retention)}),
            [](const replica::propose_result&) {});
    }

    // --- Management -------------------------------------------------------

    net::readiness readiness() const
    {
        if (this->draining)
            return {false, "shutting down"};
        if (!this->consensus.log->status().quorum)
            return {false, "no quorum"};
        return {true, ""};
    }

    void copy_gauges()
    {
        this->numbers.show(this->state.read(sizes_of));
        this->numbers.show(this->consensus.log->status());
        this->numbers.show(this->links.counters());
        this->numbers.show_subscribers(this->subscribers);
    }

    asio::io_context& io;
    const service_options options;
    const base::vm_id self;
    timeline::recorder events;
    prometheus::Registry registry;
    metrics numbers;
    replicated_state state;
    std::atomic<std::size_t> subscribers{0};
    std::atomic<bool> draining{false};
    std::atomic<bool> handing_over{false};
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

service::service(
    asio::io_context& io,
    timeline::hybrid_clock& clock,
    service_options options,
    const log_factory& make_log)
    : state(std::make_unique<impl>(io, clock, std::move(options), make_log))
{
}

service::~service() = default;

base::result<service_endpoints> service::start()
{
    auto& running = *this->state;
    const auto& options = running.options;
    BOOST_LEAF_AUTO(link, running.links.listen(options.link_listen));
    BOOST_LEAF_AUTO(admin, running.admin.listen(options.admin_listen));
    BOOST_LEAF_AUTO(
        management, running.management.listen(options.management_listen));
    running.events.record(event_kind::process_started, "control");
    running.on_strand([&running] { running.schedule(); });
    return service_endpoints{link, admin, management};
}

void service::begin_drain()
{
    auto& running = *this->state;
    running.draining = true;
    running.events.record(event_kind::process_draining, "control");
    running.admin.drain();
    running.on_strand(
        [&running] { running.send(dismiss(running.feed, running.others())); });
}

bool service::drained() const
{
    return this->state->admin.active() == 0;
}

void service::stop()
{
    auto& running = *this->state;
    running.stopped = true;
    running.events.record(event_kind::process_stopped, "control");
    running.on_strand([&running] { running.timer.cancel(); });
    running.admin.shutdown();
    running.management.shutdown();
    running.links.shutdown();
}

} // namespace oleanderhinge::control
