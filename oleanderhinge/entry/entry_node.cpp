#include "oleanderhinge/entry/entry_node.hpp"

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/net/descriptors.hpp"
#include "oleanderhinge/net/management.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::entry
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(50);
constexpr std::size_t kept_events = 16384;
// Memory of all requests that arrive or are served, in bytes.
constexpr std::size_t caller_memory = std::size_t(24) << 20;
// A request is kept as text and parsed.
constexpr std::size_t parsing_cost = 3;

net::http_limits caller_limits()
{
    net::http_limits limits;
    limits.memory = caller_memory;
    limits.serving_cost = parsing_cost;
    limits.max_connections = std::min(
        limits.max_connections,
        net::split_descriptors(net::descriptor_limit()).callers);
    return limits;
}

} // namespace

entry_node::entry_node(boost::asio::io_context& context, entry_options chosen)
    : io(context)
    , options(std::move(chosen))
    , self(base::entropy_seed())
    , events(this->options.vm, this->clock, kept_events)
    , counters(this->registry)
    , caller_counters(this->registry, "oleanderhinge_entry")
    , links(
          context,
          this->clock,
          this->make_link_options(),
          this->make_link_events())
    , udp(context,
          this->clock,
          this->options.cluster_secret,
          [this](const wire::message& content, const wire::endpoint& from) {
              this->on_datagram(content, from);
          })
    , routes(this->options.here, base::entropy_seed(), base::monotonic_now())
    , servers(
          this->make_server_options(),
          this->routes,
          this->events,
          [this](const wire::endpoint& to, const wire::message& content) {
              this->udp.send(to, content);
          })
    , agents(this->links)
    , config(this->links, this->make_config_options(), this->events)
    , claims(this->links, this->options.control)
    , requests(
          this->agents,
          this->routes,
          {[this](const wire::claim_request& m) { this->claims.send(m); },
           [this](const wire::outcome_report& m) { this->claims.send(m); }},
          this->counters,
          this->events,
          this->self)
    , api(this->config,
          this->requests,
          {.max_in_progress = this->options.max_in_progress,
           .token_stall = this->options.times.token_stall})
    , callers(
          context,
          caller_limits(),
          [this](net::http_request request, net::http_exchange& exchange) {
              return this->api.handle(std::move(request), exchange);
          })
    , management(
          context,
          net::management_limits(),
          net::management_handler(
              {.ready = [this] { return this->readiness(); },
               .registry = this->registry,
               .events = this->events,
               .before_scrape = [this] { this->update_gauges(); }}))
    , timer(context)
{
}

net::link_options entry_node::make_link_options() const
{
    net::link_options result;
    result.cluster_secret = this->options.cluster_secret;
    result.self.sender = wire::role::entry;
    result.self.vm = this->options.vm;
    result.self.sender_incarnation = this->self;
    result.self.region = this->options.here.region;
    result.self.data_centre = this->options.here.data_centre;
    result.timing = net::timing_of(this->options.times);
    return result;
}

net::link_events entry_node::make_link_events()
{
    return {
        [this](net::link_id link, const wire::hello& peer) {
            this->events.record(
                timeline::event_kind::link_opened, peer.vm.value());
            this->config.on_opened(link, base::monotonic_now());
        },
        [this](net::link_id link, const wire::message& content) {
            this->on_link_message(link, content);
        },
        [this](net::link_id link, net::close_reason reason, bool was_open) {
            this->on_link_closed(link, reason, was_open);
        }};
}

config_client_options entry_node::make_config_options() const
{
    const auto& times = this->options.times;
    config_client_options result;
    result.tree.self = this->options.vm;
    result.tree.listen = this->options.link;
    result.tree.roots = this->options.control;
    result.tree.fan_out = this->options.fanout;
    result.view.lease = times.config_lease;
    result.confirm_interval = times.config_confirm_interval;
    result.seed = base::entropy_seed();
    return result;
}

server_discovery_options entry_node::make_server_options() const
{
    const auto& times = this->options.times;
    server_discovery_options result;
    result.directory.server_lease = times.server_lease;
    result.registrar.vm = this->options.vm;
    result.registrar.self = this->options.announce;
    result.registrar.interval = times.announce_interval;
    result.registrar.server_lease = times.server_lease;
    result.peers.self = {this->options.vm, this->options.announce};
    result.peers.own_incarnation = this->self;
    result.peers.data_centre = this->options.here.data_centre;
    result.peers.seeds = this->options.peers;
    result.peers.interval = times.announce_interval;
    result.peers.lease = times.server_lease;
    return result;
}

base::result<void> entry_node::start()
{
    BOOST_LEAF_CHECK(this->links.listen(this->options.link));
    BOOST_LEAF_CHECK(this->udp.listen(this->options.announce));
    BOOST_LEAF_CHECK(this->callers.listen(this->options.callers));
    BOOST_LEAF_CHECK(this->management.listen(this->options.management));
    this->events.record(timeline::event_kind::process_started, "entry");
    spdlog::info(
        "event=started role=entry vm={} callers={}:{}",
        this->options.vm.value(),
        this->options.callers.address,
        this->options.callers.port);
    this->schedule_tick();
    return {};
}

net::process_options entry_node::process_options()
{
    net::process_options result;
    result.threads = this->options.threads;
    result.drain_limit = this->options.times.drain_limit;
    result.begin_drain = [this] {
        this->draining = true;
        this->events.record(timeline::event_kind::process_draining, "");
        spdlog::info("event=draining vm={}", this->options.vm.value());
        this->callers.drain();
        this->servers.leave();
    };
    result.drained = [this] {
        return this->callers.active() == 0 && this->requests.in_progress() == 0;
    };
    result.stop = [this] {
        this->stopped = true;
        this->events.record(timeline::event_kind::process_stopped, "");
        spdlog::info("event=stopped vm={}", this->options.vm.value());
        this->callers.shutdown();
        this->management.shutdown();
        this->links.shutdown();
        this->udp.shutdown();
    };
    return result;
}

void entry_node::on_link_message(
    net::link_id link, const wire::message& content)
{
    if (this->config.on_message(link, content, base::monotonic_now()))
        return;
    if (this->claims.on_message(link, content))
        return;
    this->requests.dispatch(content);
}

void entry_node::on_link_closed(
    net::link_id link, net::close_reason reason, bool was_open)
{
    this->config.on_closed(link, base::monotonic_now());
    this->claims.on_closed(link);
    const auto lost = this->agents.on_closed(link);
    if (!lost.agent.address.empty() || was_open)
        this->events.record(
            timeline::event_kind::link_closed,
            std::string(net::to_string(reason)) + " " + lost.agent.address +
                ":" + std::to_string(lost.agent.port));
    this->requests.on_link_lost(lost, was_open);
}

void entry_node::on_datagram(
    const wire::message& content, const wire::endpoint& from)
{
    const auto now = base::monotonic_now();
    if (const auto* message = std::get_if<wire::announcement>(&content))
        this->on_announcement(*message, from);
    else if (const auto* batch = std::get_if<wire::directory_update>(&content))
        this->servers.on_batch(*batch, from, now);
    else if (
        const auto* heartbeat = std::get_if<wire::entry_heartbeat>(&content))
        this->servers.on_heartbeat(*heartbeat, now);
}

void entry_node::on_announcement(
    const wire::announcement& message, const wire::endpoint& from)
{
    const auto now = base::monotonic_now();
    this->servers.on_announcement(message, now);
    this->config.note_reported(this->servers.highest_config(), now);

    wire::announcement_ack ack;
    ack.server = message.server;
    ack.sequence = message.sequence;
    ack.entry = this->options.vm;
    ack.entry_nodes = this->servers.endpoints_for_ack(message.sequence);
    ack.config = this->config.revision();
    ack.config_age_ms = this->config.age_ms(now);
    if (const auto active = this->config.current()) {
        ack.shares = active->config->shares;
        const auto& orders = active->config->orders;
        const auto found = orders.find(message.server);
        if (found != orders.end() &&
            found->second.number > message.applied_order)
            ack.order.push_back(found->second);
    }
    this->udp.send(from, ack);
}

void entry_node::schedule_tick()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](boost::system::error_code failed) {
        if (failed || this->stopped)
            return;
        this->tick();
        this->schedule_tick();
    });
}

void entry_node::tick()
{
    const auto now = base::monotonic_now();
    this->config.tick(now);
    this->requests.tick();
    this->servers.tick(now);
}

void entry_node::update_gauges()
{
    const auto now = base::monotonic_now();
    this->counters.requests_in_progress.Set(
        double(this->requests.in_progress()));
    this->counters.links.Set(double(this->links.size()));
    this->counters.servers.Set(double(this->servers.size()));
    this->counters.config_revision.Set(double(this->config.revision().value()));
    this->counters.config_age_seconds.Set(this->config.age_ms(now) / 1000.0);
    this->caller_counters.update(this->callers);
    const auto link_totals = this->links.counters();
    this->counters.link_bytes_sent.Set(double(link_totals.bytes_sent));
    this->counters.link_bytes_received.Set(double(link_totals.bytes_received));
    const auto udp_totals = this->udp.counters();
    this->counters.udp_bytes_sent.Set(double(udp_totals.bytes_sent));
    this->counters.udp_bytes_received.Set(double(udp_totals.bytes_received));
    this->counters.udp_refused.Set(double(udp_totals.refused));
}

net::readiness entry_node::readiness() const
{
    if (this->draining)
        return {false, "shutting down"};
    const auto state = this->config.readiness(base::monotonic_now());
    return {state.ready, state.reason};
}

} // namespace oleanderhinge::entry
