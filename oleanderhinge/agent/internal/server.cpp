// Probes the backend server, derives its state and announces it to entry nodes.
#include "oleanderhinge/agent/internal/runtime.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>

namespace oleanderhinge::agent::internal
{

using timeline::event_kind;

namespace
{

// Time between two probes of the backend server: while it does not answer, and
// while it does.
constexpr std::chrono::milliseconds starting_probe_interval{100};
constexpr std::chrono::milliseconds serving_probe_interval{500};
// An engine under load may miss one probe. An engine that accepts no connection
// is considered lost at once.
constexpr unsigned failed_probes_until_lost = 2;
// Limit of the adapter names, so that an announcement fits into
// `wire::max_datagram`; a larger one would be dropped.
constexpr std::size_t max_adapter_bytes = 600;
constexpr std::size_t adapter_overhead_bytes = 8;
const char* to_string(wire::server_state state)
{
    switch (state) {
    case wire::server_state::starting:
        return "starting";
    case wire::server_state::serving:
        return "serving";
    case wire::server_state::leaving:
        return "leaving";
    }
    return "unknown";
}

// The longest prefix of the list that fits into an announcement.
std::vector<std::string>
announced_adapters(const std::vector<std::string>& adapters)
{
    std::vector<std::string> fitting;
    std::size_t bytes = 0;
    for (const auto& name : adapters) {
        bytes += name.size() + adapter_overhead_bytes;
        if (bytes > max_adapter_bytes)
            break;
        fitting.push_back(name);
    }
    return fitting;
}

} // namespace

// --- Probes ---------------------------------------------------------------

asio::awaitable<void> runtime::watch_backend()
{
    asio::steady_timer timer(this->strand);
    while (!this->stopped) {
        if (this->options.kind == base::route_kind::model)
            co_await this->probe_engine();
        else
            co_await this->probe_service();
        bool serving = false;
        {
            const std::lock_guard lock(this->status.mutex);
            serving = this->status.info && this->status.failed_probes == 0;
        }
        timer.expires_after(
            serving ? serving_probe_interval : starting_probe_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> runtime::probe_engine()
{
    {
        // While an order is carried out, the answer may describe the engine
        // before or after it.
        const std::lock_guard lock(this->status.mutex);
        if (this->status.reloading)
            co_return;
    }
    // A new connection also checks that the engine still accepts connections.
    const auto outcome = co_await this->client.call(
        this->options.backend,
        info_request(),
        std::chrono::ceil<std::chrono::milliseconds>(
            this->options.control_limit),
        net::reuse::never);
    {
        const std::lock_guard lock(this->status.mutex);
        if (this->status.reloading)
            co_return;
    }
    std::string failure_detail;
    const auto info = base::handle(
        [&]() -> base::result<std::optional<backend_info>> {
            BOOST_LEAF_AUTO(found, to_backend_info(outcome));
            return std::optional(found);
        },
        [&](const base::error& e) {
            failure_detail = e.detail;
            return std::optional<backend_info>();
        });
    if (info)
        this->backend_answered(*info);
    else
        this->backend_failed(
            failure_detail, outcome.failure == net::http_failure::not_sent);
}

asio::awaitable<void> runtime::probe_service()
{
    // Any HTTP answer shows that the service runs; it need not serve "/".
    // The request is a variable since GCC 12 destroys a braced temporary in a
    // co_await expression twice.
    net::http_call request;
    const auto outcome = co_await this->client.call(
        this->options.backend,
        std::move(request),
        std::chrono::ceil<std::chrono::milliseconds>(
            this->options.control_limit),
        net::reuse::never);
    if (outcome.failure == net::http_failure::none)
        this->backend_answered({});
    else
        this->backend_failed(
            "no answer from the service: " + outcome.detail,
            outcome.failure == net::http_failure::not_sent);
}

void runtime::backend_answered(const backend_info& info)
{
    bool changed = false;
    {
        const std::lock_guard lock(this->status.mutex);
        this->status.failed_probes = 0;
        auto compared = info;
        compared.last_order.reset();
        changed = this->status.info != compared;
        this->status.info = compared;
        if (info.last_order)
            note_reported_number(this->status.orders, *info.last_order);
    }
    if (!changed)
        return;
    {
        const std::lock_guard lock(this->slot_mutex);
        set_batch_size(this->slots, info.batch_size);
    }
    this->update_state();
}

void runtime::backend_failed(const std::string& detail, bool unreachable)
{
    {
        const std::lock_guard lock(this->status.mutex);
        if (!this->status.info)
            return;
        if (++this->status.failed_probes < failed_probes_until_lost &&
            !unreachable)
            return;
        this->status.info.reset();
        this->status.reason = detail;
    }
    this->update_state();
    this->apply_event_to_all(chain::engine_lost{detail});
}

// --- State ----------------------------------------------------------------

// To be called with `status.mutex` held, or by the constructor.
std::optional<base::verdict> runtime::refusal() const
{
    using base::failure_code;
    if (this->status.leaving || this->status.draining_by_order)
        return base::not_run(
            failure_code::server_leaving, "the server takes no new work");
    if (!this->status.info || this->status.reloading)
        return base::not_run(failure_code::not_ready, this->status.reason);
    return {};
}

std::optional<base::verdict> runtime::call_refusal() const
{
    if (this->options.kind == base::route_kind::model)
        return base::not_run(
            base::failure_code::no_server, "the server is not a plain service");
    return this->refusal();
}

void runtime::update_state()
{
    chain::availability_changed availability;
    call_availability_changed call_availability;
    std::string new_state;
    {
        const std::lock_guard lock(this->status.mutex);
        auto& s = this->status;
        const auto before = s.state;
        if (s.leaving || s.draining_by_order)
            s.state = wire::server_state::leaving;
        else if (s.info && !s.reloading)
            s.state = wire::server_state::serving;
        else
            s.state = wire::server_state::starting;
        if (s.state == wire::server_state::serving)
            s.reason.clear();
        else if (s.state == wire::server_state::leaving)
            s.reason = "the server is leaving";
        availability.refusal = this->refusal();
        call_availability.refusal = this->call_refusal();
        if (s.info) {
            availability.layers = s.info->layers;
            availability.layer_count = s.info->layer_count;
        }
        if (before != s.state)
            new_state = to_string(s.state);
    }
    this->apply_event_to_all(availability);
    this->apply_call_event_to_all(call_availability);
    if (!new_state.empty()) {
        this->events.record(
            event_kind::server_changed,
            this->options.server.value() + " is " + new_state);
        spdlog::info(
            "server {} is {}", this->options.server.value(), new_state);
    }
    this->announce();
}

// --- Announcements --------------------------------------------------------

asio::awaitable<void> runtime::keep_announcing()
{
    asio::steady_timer timer(this->strand);
    while (!this->stopped) {
        this->announce();
        timer.expires_after(this->options.timing.announce_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

wire::announcement runtime::make_announcement()
{
    wire::announcement a;
    a.server = this->options.server;
    a.agent_incarnation = this->own_incarnation;
    a.vm = this->options.vm;
    a.region = this->options.region;
    a.data_centre = this->options.data_centre;
    a.agent = this->bound_links;
    a.kind = this->options.kind;
    a.service = this->options.service;
    a.load = this->current_load();
    const std::lock_guard lock(this->status.mutex);
    auto& s = this->status;
    a.sequence = ++s.sequence;
    a.state = s.state;
    if (s.info) {
        a.model = s.info->model;
        a.version = s.info->version;
        a.adapters = announced_adapters(s.info->adapters);
        a.layers = s.info->layers;
        a.layer_count = s.info->layer_count;
        a.accelerator = s.info->accelerator;
        a.speed_percent = s.info->speed_percent;
    }
    a.highest_config = s.entry_nodes.highest_config;
    a.applied_order = s.orders.highest_applied;
    return a;
}

std::vector<wire::endpoint> runtime::announcement_targets(base::time_point now)
{
    const std::lock_guard lock(this->status.mutex);
    return membership::choose_announcement_targets(
        this->status.entry_nodes, now);
}

void runtime::announce()
{
    if (this->stopped)
        return;
    const auto content = this->make_announcement();
    for (const auto& to : this->announcement_targets(base::monotonic_now())) {
        this->datagrams.send(to, content);
        this->stats.announcements.Increment();
    }
}

void runtime::on_datagram(wire::message content, const wire::endpoint& from)
{
    if (auto* ack = std::get_if<wire::announcement_ack>(&content))
        asio::post(this->strand, [this, received = std::move(*ack), from] {
            this->on_ack(received, from);
        });
    else
        this->stats.unexpected_messages.Increment();
}

void runtime::on_ack(
    const wire::announcement_ack& ack, const wire::endpoint& from)
{
    if (ack.server != this->options.server)
        return;
    {
        const std::lock_guard lock(this->status.mutex);
        auto& s = this->status;
        // It answers an announcement of an earlier incarnation.
        if (ack.sequence > s.sequence)
            return;
        membership::apply_ack(s.entry_nodes, ack, from, base::monotonic_now());
    }
    this->apply_shares(ack.shares);
    for (const auto& order : ack.order)
        this->on_order(order, std::chrono::milliseconds(ack.config_age_ms));
}

void runtime::apply_shares(const wire::rank_shares& shares)
{
    slot_outcomes outcomes;
    {
        // An entry node with an older configuration must not revert a change.
        const std::lock_guard lock(this->slot_mutex);
        if (shares.modified < this->slots.queue.shares.modified)
            return;
        outcomes = set_shares(this->slots, shares, base::monotonic_now());
    }
    this->apply_slot_outcomes(outcomes);
}

} // namespace oleanderhinge::agent::internal
