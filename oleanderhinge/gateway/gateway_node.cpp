#include "oleanderhinge/gateway/gateway_node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(100);
constexpr std::size_t timeline_capacity = 4096;
// Callers reuse connections that were idle for up to 12 s.
constexpr auto caller_idle_limit = std::chrono::seconds(20);
// The largest request body that callers of the platform send.
constexpr std::size_t max_body_bytes = std::size_t(4) << 20;
constexpr std::size_t max_caller_connections = 2000;
// One part in so many of the memory is for requests of callers.
constexpr std::size_t caller_memory_part = 4;

} // namespace

gateway_node::gateway_node(
    boost::asio::io_context& context,
    gateway_settings options_in,
    protocol_adapter protocol_in)
    : io(context)
    , options(std::move(options_in))
    , protocol(std::move(protocol_in))
    , process_incarnation(base::entropy_seed())
    , events(this->options.vm, this->clock, timeline_capacity)
    , stats(this->registry)
    , links(context, this->clock, this->link_options(), this->link_events())
    , control(this->links, this->control_options(), this->make_control_events())
    , forward(
          context,
          this->protocol,
          this->selector,
          this->quarantine,
          this->stats,
          {.retries = this->options.retries,
           .hedges = this->options.hedges,
           .seed = base::entropy_seed(),
           .max_backoff = this->options.max_backoff,
           .move_streams_early = this->options.move_streams_early,
           .answer_memory = this->options.memory / answer_memory_part,
           .max_connections = this->descriptors().servers,
           .report_suspect =
               [this](const wire::endpoint& server) {
                   this->control.report_suspicion(server);
               },
           .share_evidence =
               [this](const wire::crash_evidence& news) {
                   this->control.send_evidence(news);
               },
           .share_limits =
               [this](const wire::server_limits& limits) {
                   this->control.send_limits(limits);
               }})
    , caller_numbers(this->registry, "oleanderhinge_gateway")
    , callers(
          context,
          this->caller_limits(),
          [this](net::http_request request, net::http_exchange& exchange) {
              return this->forward.handle(std::move(request), exchange);
          })
    , management(
          context,
          net::management_limits(),
          net::management_handler(this->management_options()))
    , timer(context)
    , leave_timer(context)
{
    this->selector.home = this->options.data_centre;
}

net::link_options gateway_node::link_options() const
{
    net::link_options result;
    result.cluster_secret = this->options.cluster_secret;
    result.self.sender = wire::role::entry;
    result.self.vm = this->options.vm;
    result.self.sender_incarnation = this->process_incarnation;
    result.self.region = this->options.region;
    result.self.data_centre = this->options.data_centre;
    result.timing = net::timing_of(this->options.times);
    return result;
}

net::link_events gateway_node::link_events()
{
    return {
        .opened =
            [this](net::link_id link, const wire::hello&) {
                this->control.on_opened(link, base::monotonic_now());
            },
        .received =
            [this](net::link_id link, wire::message content) {
                this->control.on_message(
                    link, std::move(content), base::monotonic_now());
            },
        .closed =
            [this](net::link_id link, net::close_reason reason, bool) {
                this->control.on_closed(link, reason, base::monotonic_now());
            }};
}

control_client_options gateway_node::control_options() const
{
    control_client_options result;
    result.vm = this->options.vm;
    result.seeds = this->options.seeds;
    result.view.lease = this->options.times.config_lease;
    result.seed = base::entropy_seed();
    return result;
}

control_events gateway_node::make_control_events()
{
    return {
        .configuration =
            [this](const std::shared_ptr<const wire::configuration>& config) {
                if (config->forwarding.version != 0)
                    this->forward.set_table(std::make_shared<route_index>(
                        std::shared_ptr<const wire::forwarding_table>(
                            config, &config->forwarding)));
            },
        .servers =
            [this](const wire::server_batch& batch) {
                this->on_servers(batch);
            },
        .refreshed =
            [this](const base::backend_server_id& id, base::time_point heard) {
                fleet::refresh(this->selector.servers, id, heard);
            },
        .load =
            [this](
                const base::backend_server_id& id,
                const wire::engine_load& load) {
                if (fleet::note_load(this->selector.servers, id, load))
                    ++this->selector.generation;
            },
        .suspicion =
            [this](const wire::server_suspicion& suspicion) {
                const auto seen = base::monotonic_now() -
                                  std::chrono::milliseconds(suspicion.age_ms);
                if (fleet::suspect(
                        this->selector.servers, suspicion.server, seen))
                    ++this->selector.generation;
            },
        .evidence =
            [this](const wire::crash_evidence& received) {
                return this->on_evidence(received);
            },
        .all_crashes =
            [this] {
                return fleet::all_crashes(
                    this->quarantine, base::monotonic_now());
            },
        .limits =
            [this](const wire::server_limits& limits, base::time_point now) {
                this->forward.note_limits(limits, now);
            },
        .all_limits =
            [this](base::time_point now) {
                return fleet::all_limits(this->selector.permits.limits, now);
            },
        .demand =
            [this](base::time_point now) {
                return report_demand(this->selector.permits, now);
            },
        .grant =
            [this](const wire::permit_grant& grant, base::time_point now) {
                note_grant(this->selector.permits, grant, now);
            },
        .gateways =
            [this](std::uint32_t gateway_count, base::time_point now) {
                this->forward.note_gateways(gateway_count, now);
            }};
}

net::descriptor_parts gateway_node::descriptors() const
{
    return net::split_descriptors(
        std::min(this->options.descriptors, net::descriptor_limit()));
}

net::http_limits gateway_node::caller_limits() const
{
    net::http_limits limits;
    limits.body_bytes = max_body_bytes;
    limits.idle_timeout = caller_idle_limit;
    limits.max_connections =
        std::min(max_caller_connections, this->descriptors().callers);
    limits.memory = this->options.memory / caller_memory_part;
    // The forwarder counts them.
    limits.counts_answers = false;
    // Relayed answers carry only header fields of the backend server.
    limits.names_itself = false;
    return limits;
}

net::management_options gateway_node::management_options()
{
    return {
        .ready = [this] { return this->readiness(); },
        .registry = this->registry,
        .events = this->events,
        .before_scrape =
            [this] {
                this->stats.servers.Set(
                    double(this->selector.servers.servers.size()));
                this->stats.excluded_servers.Set(double(
                    count_excluded(this->selector, base::monotonic_now())));
                this->stats.quarantined_parts.Set(
                    double(fleet::quarantined_parts(
                        this->quarantine, base::monotonic_now())));
                this->stats.idle_connections.Set(
                    double(this->forward.idle_connections()));
                this->stats.answer_bytes.Set(
                    double(this->forward.answer_bytes()));
                this->stats.control_nodes.Set(
                    double(this->control.known_nodes()));
                this->stats.control_links.Set(
                    double(this->control.open_links()));
                this->caller_numbers.update(this->callers);
            }};
}

void gateway_node::on_servers(const wire::server_batch& batch)
{
    const auto now = base::monotonic_now();
    for (const auto& record : batch.records) {
        if (apply_record(this->selector, record, now) !=
            fleet::report_outcome::changed)
            continue;
        spdlog::info(
            "event=server_changed server={} service={} state={} address={}:{} "
            "layers={}-{} sequence={} age_ms={}",
            record.id.value(),
            record.service,
            int(record.state),
            record.address,
            record.port,
            record.layers.first.value(),
            record.layers.end.value(),
            record.sequence,
            record.age_ms);
    }
}

wire::crash_evidence
gateway_node::on_evidence(const wire::crash_evidence& received)
{
    const auto now = base::monotonic_now();
    const auto before = fleet::quarantined_parts(this->quarantine, now);
    auto effect = fleet::apply(this->quarantine, received, now);
    if (const auto parts = fleet::quarantined_parts(this->quarantine, now);
        parts != before)
        spdlog::warn(
            "event=quarantine_changed parts={} before={} crashes={} "
            "answered={}",
            parts,
            before,
            received.crashes.size(),
            received.answered.size());
    return effect.reply;
}

base::result<void> gateway_node::start()
{
    BOOST_LEAF_ASSIGN(
        this->listening, this->callers.listen(this->options.listen));
    BOOST_LEAF_CHECK(this->management.listen(this->options.management));
    for (const auto& address : this->options.metrics) {
        auto page = std::make_unique<net::http_server>(
            this->io,
            net::management_limits(),
            net::management_handler(this->management_options()));
        BOOST_LEAF_CHECK(page->listen(address));
        this->metrics_pages.push_back(std::move(page));
    }
    spdlog::info(
        "event=started role=gateway vm={} data_centre={} callers={}:{}",
        this->options.vm.value(),
        this->options.data_centre.value(),
        this->listening.address,
        this->listening.port);
    this->schedule_tick();
    return {};
}

void gateway_node::reload(const gateway_settings& changed)
{
    spdlog::info("event=reload seeds={}", changed.seeds.size());
    this->control.set_seeds(changed.seeds);
}

void gateway_node::schedule_tick()
{
    this->control.tick(base::monotonic_now());
    this->forward.tick();
    fleet::expire(this->quarantine, base::monotonic_now());
    forget_old_servers(this->selector);
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](boost::system::error_code failed) {
        if (!failed && !this->stopped)
            this->schedule_tick();
    });
}

net::readiness gateway_node::readiness() const
{
    if (this->draining)
        return {false, "shutting down"};
    if (!this->control.has_confirmed_configuration())
        return {false, "no confirmed configuration"};
    return {true, ""};
}

void gateway_node::begin_drain()
{
    spdlog::info(
        "event=draining vm={} in_progress={} connections={}",
        this->options.vm.value(),
        this->forward.in_progress(),
        this->callers.connections());
    this->draining = true;
    this->forward.begin_drain(
        base::monotonic_now() + this->options.times.drain_limit);
    this->callers.stop_keeping();
    this->leave_timer.expires_after(this->options.leave_time);
    this->leave_timer.async_wait([this](boost::system::error_code) {
        this->accepting_stopped = true;
        this->callers.drain();
    });
}

net::process_options gateway_node::process_options()
{
    net::process_options result;
    result.threads = 1;
    result.drain_limit = this->options.times.drain_limit;
    result.begin_drain = [this] { this->begin_drain(); };
    result.drained = [this] {
        return this->accepting_stopped && this->callers.connections() == 0;
    };
    result.stop = [this] {
        spdlog::info("event=stopped vm={}", this->options.vm.value());
        this->stopped = true;
        this->timer.cancel();
        this->forward.end_drain();
        this->callers.shutdown();
        this->management.shutdown();
        for (const auto& page : this->metrics_pages)
            page->shutdown();
        this->links.shutdown();
    };
    return result;
}

} // namespace oleanderhinge::gateway
