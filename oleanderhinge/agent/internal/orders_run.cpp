// Orders to the backend server.
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

// Attempts in progress may go on for this long before an order changes what
// the engine holds.
constexpr std::chrono::seconds order_wait{10};
constexpr std::chrono::milliseconds order_poll{20};

std::string order_text(const wire::server_order& order)
{
    std::ostringstream out;
    out << "order " << order.number;
    if (!order.model.value().empty())
        out << " model " << order.model << " version " << order.version
            << " layers " << order.layers.first << "-" << order.layers.end;
    if (order.draining)
        out << " draining";
    return out.str();
}

// Whether the order changes what the engine holds.
bool changes(const backend_info& info, const wire::server_order& order)
{
    if (order.model.value().empty())
        return false;
    return info.model != order.model || info.version != order.version ||
           info.layers != order.layers ||
           (!order.adapter.empty() &&
            std::ranges::find(info.adapters, order.adapter) ==
                info.adapters.end());
}

} // namespace

void runtime::on_order(const wire::server_order& order, base::duration age)
{
    if (order.server != this->options.server)
        return;
    order_decision decision = order_decision::old_number;
    {
        const std::lock_guard lock(this->status.mutex);
        // Without the engine's own number, an order could be older than one
        // that a former incarnation of this agent gave it.
        if (!this->status.info)
            return;
        decision = admit_order(
            this->status.orders,
            order.number,
            age,
            this->options.timing.config_lease);
        const auto fresh_until =
            base::monotonic_now() + this->options.timing.config_lease - age;
        auto& known = this->status.order_fresh_until;
        if (decision == order_decision::carry_out)
            known = fresh_until;
        else if (this->status.orders.running == order.number)
            known = std::max(known, fresh_until);
    }
    if (decision == order_decision::carry_out) {
        asio::co_spawn(
            this->strand, this->carry_out_order(order), asio::detached);
    } else if (decision == order_decision::old_configuration) {
        this->numbers.orders_refused.Increment();
        this->events.record(
            event_kind::order_refused,
            order_text(order) + ": the configuration is too old");
    }
}

asio::awaitable<void> runtime::carry_out_order(wire::server_order order)
{
    bool loads = false;
    {
        const std::lock_guard lock(this->status.mutex);
        loads = this->options.kind == base::route_kind::model &&
                (!this->status.info || changes(*this->status.info, order));
        this->status.draining_by_order = order.draining;
        this->status.reloading = loads;
        if (loads)
            this->status.reason = "an order changes what the engine holds";
    }
    this->update_state();
    if (loads)
        co_await this->wait_for_idle();
    auto outcome = order_outcome::applied;
    if (!this->order_is_fresh())
        outcome = order_outcome::unanswered;
    else if (this->options.kind == base::route_kind::model)
        outcome = co_await this->post_order(order);
    {
        const std::lock_guard lock(this->status.mutex);
        finish_order(this->status.orders, order.number, outcome);
        this->status.reloading = false;
        // What the engine holds now is asked anew.
        if (loads)
            this->status.info.reset();
    }
    const bool applied = outcome == order_outcome::applied;
    (applied ? this->numbers.orders_applied : this->numbers.orders_refused)
        .Increment();
    auto text = order_text(order);
    if (outcome == order_outcome::refused)
        text += ": the engine refused it";
    else if (outcome == order_outcome::unanswered)
        text += ": the engine did not answer";
    this->events.record(
        applied ? event_kind::order_applied : event_kind::order_refused, text);
    spdlog::info(
        "{}: {}",
        this->options.server.value(),
        applied ? text + " applied" : text);
    if (loads)
        co_await this->probe_engine();
    this->update_state();
}

// The wait for attempts in progress may outlast the configuration that the
// order came from. Entry nodes repeat the order while it is in force, which
// renews it; otherwise it is given up and may be sent again.
bool runtime::order_is_fresh() const
{
    const std::lock_guard lock(this->status.mutex);
    return base::monotonic_now() < this->status.order_fresh_until;
}

asio::awaitable<order_outcome> runtime::post_order(wire::server_order order)
{
    const auto answer = co_await this->client.call(
        this->options.backend,
        order_request(order),
        std::chrono::ceil<std::chrono::milliseconds>(
            this->options.control_limit),
        net::reuse::never);
    if (answer.failure != net::http_failure::none ||
        answer.answer.status >= 500)
        co_return order_outcome::unanswered;
    co_return answer.answer.status < 300 ? order_outcome::applied
                                         : order_outcome::refused;
}

asio::awaitable<void> runtime::wait_for_idle()
{
    asio::steady_timer timer(this->strand);
    const auto limit = base::monotonic_now() + order_wait;
    while (!this->idle() && base::monotonic_now() < limit) {
        timer.expires_after(order_poll);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace oleanderhinge::agent::internal
