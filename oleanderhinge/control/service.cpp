#include "oleanderhinge/control/service.hpp"

#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

using timeline::event_kind;

namespace
{

// Interval at which the status of the log and the links are checked: a tenth of
// the time within which a new leader should be elected.
constexpr auto tick_interval = std::chrono::milliseconds(100);

// More than half of the leader's lease: members may have acted on it meanwhile.
constexpr base::duration min_logged_pause = std::chrono::milliseconds(400);

std::uint64_t to_ms(base::duration time)
{
    return std::uint64_t(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void service::impl::schedule()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](boost::system::error_code failed) {
        if (failed || this->stopped)
            return;
        this->tick(base::monotonic_now());
        this->schedule();
    });
}

void service::impl::log_pause(base::time_point now)
{
    const auto suspended = base::suspended_time();
    const auto late = now - this->last_tick - tick_interval;
    if (this->last_tick != base::time_point{} && late >= min_logged_pause)
        spdlog::warn(
            "event=process_paused late_ms={} suspended_ms={}",
            to_ms(late),
            to_ms(std::max(
                base::duration(0), suspended - this->suspended_before)));
    this->last_tick = now;
    this->suspended_before = suspended;
}

void service::impl::tick(base::time_point now)
{
    this->log_pause(now);
    const auto status = this->consensus.log->status();
    const bool had_quorum = this->watch.quorum;
    for (const auto& item : observe(this->watch, status, now)) {
        this->events.record(item.kind, item.detail);
        spdlog::info(
            "event={} detail=\"{}\"",
            timeline::to_string(item.kind),
            item.detail);
    }
    if (!had_quorum && status.has_quorum)
        spdlog::info("event=quorum_present leader={}", status.leader.value());
    if (status.has_quorum)
        this->without_leader_since = now;
    this->connect_peers(status, now);
    if (!this->open_links.empty())
        this->without_links_since = now;
    this->isolated = this->options.self_managed &&
                     is_isolated(status, this->without_links_since, now);
    // Without another member to redirect them to, subscribers are kept: they
    // would not come back by themselves.
    if (const auto alternatives = this->redirect_targets();
        !this->options.self_managed && this->config_lease_expired() &&
        !alternatives.empty())
        this->send(redirect_all(this->feed, alternatives));
    this->send_updates();
    if (now >= this->next_confirm) {
        this->next_confirm = now + this->options.confirm_interval;
        this->confirm_if_newest();
        if (this->options.self_managed)
            this->tell_group(status, now);
    }
    this->send_servers();
    this->propose_ends();
    this->answer_leaves(now);
    this->send_loads();
    this->request_loads(status, now);
    this->update_limits(status, now);
    this->place_layers(status, now);
    this->manage_group(status, now);
    if (now >= this->next_expire) {
        this->next_expire = now + this->options.expire_interval;
        fleet::expire(this->quarantine, now);
        if (status.role == replica::member_role::leader && status.has_quorum)
            this->propose_expire();
    }
}

void service::impl::connect_peers(
    const replica::log_status& status, base::time_point now)
{
    std::vector<net::link_id> dropped;
    const auto nodes = nodes_to_link(
        status,
        this->news,
        this->seeds,
        this->self,
        this->without_leader_since,
        now);
    this->outsiders.clear();
    if (status.role == replica::member_role::leader)
        for (const auto& node : nodes)
            if (std::find(status.members.begin(), status.members.end(), node) ==
                status.members.end())
                this->outsiders.insert(node.vm);
    for (const auto& peer : due(this->peers, nodes, now, dropped))
        connecting(this->peers, peer.vm, this->links.connect(peer.link));
    for (const auto link : dropped)
        this->links.close(link);
}

void service::impl::propose_expire()
{
    this->consensus.log->propose(
        control_state::encode(control_state::expire{
            this->options.wall_ms(),
            this->options.claims.retention_ms,
            to_ms(this->options.plan_retention)}),
        [](const replica::propose_result&) {});
}

net::readiness service::impl::readiness() const
{
    if (this->draining)
        return {false, "shutting down"};
    if (!this->consensus.log->status().has_quorum)
        return {false, "no quorum"};
    return {true, ""};
}

void service::impl::copy_gauges()
{
    this->numbers.set_gauges(this->state.read(sizes_of));
    this->numbers.set_gauges(
        this->consensus.log->status(),
        this->options.self_managed ? this->needed() : 0);
    this->numbers.set_gauges(this->links.counters());
    this->numbers.set_subscribers(this->subscribers);
    this->numbers.set_limited_servers(this->limited_servers);
    this->caller_numbers.update(this->admin);
}

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

void service::set_seeds(std::vector<replica::member> seeds)
{
    auto& running = *this->state;
    running.on_strand([&running, seeds = std::move(seeds)]() mutable {
        spdlog::info("event=reload seeds={}", seeds.size());
        running.seeds = std::move(seeds);
    });
}

void service::begin_drain()
{
    auto& running = *this->state;
    running.draining = true;
    running.events.record(event_kind::process_draining, "control");
    running.admin.drain();
    running.on_strand([&running] {
        running.send(redirect_all(running.feed, running.redirect_targets()));
    });
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
