#include "oleanderhinge/agent/internal/runtime.hpp"

#include "oleanderhinge/base/random.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <sstream>

namespace oleanderhinge::agent::internal
{

namespace
{

// Limit of idle connections to the backend server that are kept open.
constexpr std::size_t max_idle_connections = 64;
// Precision of the time-outs of steps and queued work.
constexpr std::chrono::milliseconds tick_interval{50};
// Updating the busy links is not done at every tick, since it reads the records
// of all calls.
constexpr unsigned ticks_per_link_update = 5;

net::link_options
link_options_of(const agent_options& options, base::incarnation own)
{
    net::link_options to;
    to.cluster_secret = options.cluster_secret;
    to.self.sender = wire::role::agent;
    to.self.vm = options.vm;
    to.self.sender_incarnation = own;
    to.self.region = options.region;
    to.self.data_centre = options.data_centre;
    to.timing = net::timing_of(options.timing);
    return to;
}

} // namespace

runtime::runtime(
    asio::io_context& context,
    agent_options configured_options,
    timeline::hybrid_clock& clock,
    timeline::recorder& recorder,
    prometheus::Registry& registry)
    : own_incarnation(base::entropy_seed())
    , io(context)
    , options(std::move(configured_options))
    , events(recorder)
    , stats(registry)
    , strand(asio::make_strand(context))
    , slots(make_slot_pool(this->options.slots, base::entropy_seed()))
    , client(context, max_idle_connections)
    , links(
          context,
          clock,
          link_options_of(this->options, this->own_incarnation),
          {[this](auto id, const auto& peer) { this->on_opened(id, peer); },
           [this](auto id, auto m) { this->on_received(id, std::move(m)); },
           [this](auto id, auto reason, bool was_open) {
               this->on_closed(id, reason, was_open);
           }})
    , datagrams(
          context,
          clock,
          this->options.cluster_secret,
          [this](wire::message m, const wire::endpoint& from) {
              this->on_datagram(std::move(m), from);
          })
{
    auto& entries = this->status.entry_nodes.options;
    entries.server = this->options.server;
    entries.seeds = this->options.entry_nodes;
    entries.lease = this->options.timing.server_lease;
    for (auto& s : this->shards) {
        s.attempts = chain::make_attempt_table(
            {this->options.server, this->own_incarnation, {}, 0},
            this->options.execution);
        s.attempts.refusal = this->refusal();
        s.calls.server = this->options.server;
        s.calls.agent_incarnation = this->own_incarnation;
        s.calls.limits = this->options.calls;
        s.calls.refusal = this->call_refusal();
    }
}

runtime::~runtime()
{
    this->stop();
}

base::result<bound_endpoints> runtime::start()
{
    BOOST_LEAF_AUTO(link_port, this->links.listen(this->options.links));
    BOOST_LEAF_AUTO(
        datagram_port, this->datagrams.listen(this->options.announcements));
    this->bound_links = link_port;
    std::ostringstream detail;
    detail << "agent of " << this->options.server << " incarnation "
           << this->own_incarnation;
    this->events.record(timeline::event_kind::process_started, detail.str());
    asio::co_spawn(this->strand, this->watch_backend(), asio::detached);
    asio::co_spawn(this->strand, this->keep_announcing(), asio::detached);
    asio::co_spawn(this->io, this->keep_ticking(), asio::detached);
    return bound_endpoints{link_port, datagram_port};
}

void runtime::begin_drain()
{
    asio::post(this->strand, [this] {
        {
            const std::lock_guard lock(this->status.mutex);
            if (this->status.leaving)
                return;
            this->status.leaving = true;
        }
        this->events.record(
            timeline::event_kind::process_draining,
            "no new work is taken; work in progress goes on");
        this->update_state();
        this->refuses_new_work = true;
        std::vector<net::link_id> open;
        {
            const std::lock_guard lock(this->directory.mutex);
            for (const auto& [id, role] : this->directory.roles)
                open.push_back(id);
        }
        for (const auto id : open)
            this->links.send(id, wire::go_away{});
    });
}

void runtime::stop()
{
    if (this->stopped.exchange(true))
        return;
    this->events.record(timeline::event_kind::process_stopped, "stopped");
    this->links.shutdown();
    this->datagrams.shutdown();
}

bool runtime::idle() const
{
    for (const auto& s : this->shards) {
        const std::lock_guard lock(s.mutex);
        if (chain::open_attempts(s.attempts) > 0 || open_calls(s.calls) > 0)
            return false;
    }
    return true;
}

bool runtime::drained() const
{
    return this->refuses_new_work && this->idle();
}

net::readiness runtime::ready() const
{
    const std::lock_guard lock(this->status.mutex);
    return {
        this->status.state == wire::server_state::serving, this->status.reason};
}

void runtime::update_metrics()
{
    std::size_t attempts = 0;
    std::size_t calls = 0;
    for (const auto& s : this->shards) {
        const std::lock_guard lock(s.mutex);
        attempts += chain::open_attempts(s.attempts);
        calls += open_calls(s.calls);
    }
    const auto report = this->current_load();
    this->stats.attempts_open.Set(double(attempts));
    this->stats.calls_open.Set(double(calls));
    this->stats.slots_used.Set(report.in_progress);
    this->stats.slot_limit.Set(report.limit);
    this->stats.queued.Set(report.queued);
    this->stats.links.Set(double(this->links.size()));
    this->stats.serving.Set(this->ready().ready ? 1 : 0);
}

asio::awaitable<void> runtime::keep_ticking()
{
    asio::steady_timer timer(this->io);
    for (unsigned tick = 0; !this->stopped; ++tick) {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        this->apply_event_to_all(chain::ticked{});
        this->apply_call_event_to_all(call_ticked{});
        slot_outcomes outcomes;
        {
            const std::lock_guard lock(this->slot_mutex);
            outcomes = expire(this->slots, base::monotonic_now());
        }
        this->apply_slot_outcomes(outcomes);
        if (tick % ticks_per_link_update == 0)
            this->update_busy_links();
    }
}

// --- Slots ----------------------------------------------------------------

void runtime::apply_slot_outcomes(const slot_outcomes& outcomes)
{
    const bool model = this->options.kind == base::route_kind::model;
    for (const auto& o : outcomes) {
        const auto& [request, attempt] = o.key;
        if (model && o.refusal)
            this->apply_event(
                request, chain::slot_refused{request, attempt, *o.refusal});
        else if (model)
            this->apply_event(request, chain::slot_granted{request, attempt});
        else if (o.refusal)
            this->apply_call_event(
                request, call_slot_refused{request, attempt, *o.refusal});
        else
            this->apply_call_event(
                request, call_slot_granted{request, attempt});
    }
}

void runtime::observe_latency(base::duration latency)
{
    slot_outcomes outcomes;
    {
        const std::lock_guard lock(this->slot_mutex);
        outcomes =
            add_latency_sample(this->slots, latency, base::monotonic_now());
    }
    this->apply_slot_outcomes(outcomes);
}

wire::load_report runtime::current_load() const
{
    const std::lock_guard lock(this->slot_mutex);
    return load(this->slots);
}

} // namespace oleanderhinge::agent::internal

namespace oleanderhinge::agent
{

agent::agent(
    boost::asio::io_context& io,
    agent_options options,
    timeline::hybrid_clock& clock,
    timeline::recorder& events,
    prometheus::Registry& registry)
    : state(std::make_unique<internal::runtime>(
          io, std::move(options), clock, events, registry))
{
}

const char* version()
{
    return OLEANDERHINGE_VERSION;
}

agent::~agent() = default;

base::result<bound_endpoints> agent::start()
{
    return this->state->start();
}

void agent::begin_drain()
{
    this->state->begin_drain();
}

void agent::stop()
{
    this->state->stop();
}

void agent::update_metrics()
{
    this->state->update_metrics();
}

bool agent::drained() const
{
    return this->state->drained();
}

net::readiness agent::ready() const
{
    return this->state->ready();
}

base::incarnation agent::own_incarnation() const
{
    return this->state->own_incarnation;
}

} // namespace oleanderhinge::agent
