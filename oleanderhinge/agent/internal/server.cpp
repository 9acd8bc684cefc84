// State of the backend server: probes, announcements and orders.
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

// Time between two probes of the backend server, until it serves and then.
constexpr std::chrono::milliseconds starting_probe{100};
constexpr std::chrono::milliseconds serving_probe{500};
// A serving engine may miss one probe while it is under load. One that takes
// no connection is lost at once.
constexpr unsigned probes_until_lost = 2;
// A larger announcement would not fit into wire::max_datagram and be dropped.
constexpr std::size_t max_adapter_bytes = 600;
constexpr std::size_t adapter_overhead = 8;
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

// The adapters that fit into one datagram, first ones first.
std::vector<std::string>
announced_adapters(const std::vector<std::string>& adapters)
{
    std::vector<std::string> fitting;
    std::size_t bytes = 0;
    for (const auto& name : adapters) {
        bytes += name.size() + adapter_overhead;
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
        timer.expires_after(serving ? serving_probe : starting_probe);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> runtime::probe_engine()
{
    {
        // The answer would describe the engine before or after the order.
        const std::lock_guard lock(this->status.mutex);
        if (this->status.reloading)
            co_return;
    }
    // A fresh connection also proves that the engine still accepts new ones.
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
    std::string fault;
    const auto info = base::handle(
        [&]() -> base::result<std::optional<backend_info>> {
            BOOST_LEAF_AUTO(found, to_backend_info(outcome));
            return std::optional(found);
        },
        [&](const base::error& e) {
            fault = e.detail;
            return std::optional<backend_info>();
        });
    if (info)
        this->backend_answered(*info);
    else
        this->backend_failed(
            fault, outcome.failure == net::http_failure::not_sent);
}

asio::awaitable<void> runtime::probe_service()
{
    // Any HTTP answer shows that the service runs; it need not serve "/".
    // A braced temporary in a co_await expression is destroyed twice by GCC 12.
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

void runtime::backend_failed(const std::string& detail, bool refused)
{
    {
        const std::lock_guard lock(this->status.mutex);
        if (!this->status.info)
            return;
        if (++this->status.failed_probes < probes_until_lost && !refused)
            return;
        this->status.info.reset();
        this->status.reason = detail;
    }
    this->update_state();
    this->feed_all(chain::engine_lost{detail});
}

// --- State ----------------------------------------------------------------

// Called by the owner of the status lock, or on the strand.
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
    chain::availability_changed intake;
    call_availability_changed call_intake;
    std::string text;
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
        intake.refusal = this->refusal();
        call_intake.refusal = this->call_refusal();
        if (s.info) {
            intake.layers = s.info->layers;
            intake.layer_count = s.info->layer_count;
        }
        if (before != s.state)
            text = to_string(s.state);
    }
    this->feed_all(intake);
    this->feed_all_calls(call_intake);
    if (!text.empty()) {
        this->events.record(
            event_kind::server_changed,
            this->options.server.value() + " is " + text);
        spdlog::info("server {} is {}", this->options.server.value(), text);
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
    a.load = this->load_now();
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
    a.highest_config = s.entries.highest_config;
    a.applied_order = s.orders.highest_applied;
    return a;
}

std::vector<wire::endpoint> runtime::announcement_targets(base::time_point now)
{
    const std::lock_guard lock(this->status.mutex);
    return membership::choose_announcement_targets(this->status.entries, now);
}

void runtime::announce()
{
    if (this->stopped)
        return;
    const auto content = this->make_announcement();
    for (const auto& to : this->announcement_targets(base::monotonic_now())) {
        this->datagrams.send(to, content);
        this->numbers.announcements.Increment();
    }
}

void runtime::on_datagram(wire::message content, const wire::endpoint& from)
{
    if (auto* ack = std::get_if<wire::announcement_ack>(&content))
        asio::post(this->strand, [this, held = std::move(*ack), from] {
            this->on_ack(held, from);
        });
    else
        this->numbers.unexpected_messages.Increment();
}

void runtime::on_ack(
    const wire::announcement_ack& ack, const wire::endpoint& from)
{
    if (ack.server != this->options.server)
        return;
    {
        const std::lock_guard lock(this->status.mutex);
        auto& s = this->status;
        // An answer to an announcement of a former incarnation.
        if (ack.sequence > s.sequence)
            return;
        membership::apply_ack(s.entries, ack, from, base::monotonic_now());
    }
    this->apply_shares(ack.shares);
    for (const auto& order : ack.order)
        this->on_order(order, std::chrono::milliseconds(ack.config_age_ms));
}

void runtime::apply_shares(const wire::rank_shares& shares)
{
    slot_outcomes outcomes;
    {
        // An entry node with an older configuration must not undo a change.
        const std::lock_guard lock(this->slot_mutex);
        if (shares.modified < this->slots.queue.shares.modified)
            return;
        outcomes = set_shares(this->slots, shares, base::monotonic_now());
    }
    this->deliver(outcomes);
}

} // namespace oleanderhinge::agent::internal
