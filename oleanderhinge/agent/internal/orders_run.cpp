// Receives orders from entry nodes and passes them on to the backend server.
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

// Attempts in progress get this long to end before an order changes the
// engine's model, layers or adapters.
constexpr std::chrono::seconds max_idle_wait{10};
constexpr std::chrono::milliseconds idle_poll_interval{20};

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

// Whether the order changes the engine's model, version, layers or adapters.
bool changes_engine(const backend_info& info, const wire::server_order& order)
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
        // Until the engine has reported the number of its last order, a
        // received order may be older than one that an earlier incarnation of
        // this agent passed on.
        if (!this->status.info)
            return;
        decision = admit_order(
            this->status.orders,
            order.number,
            age,
            this->options.timing.config_lease);
        const auto lease_end =
            base::monotonic_now() + this->options.timing.config_lease - age;
        auto& valid_until = this->status.order_valid_until;
        if (decision == order_decision::carry_out)
            valid_until = lease_end;
        else if (this->status.orders.running == order.number)
            valid_until = std::max(valid_until, lease_end);
    }
    if (decision == order_decision::carry_out) {
        asio::co_spawn(
            this->strand, this->carry_out_order(order), asio::detached);
    } else if (decision == order_decision::old_configuration) {
        this->stats.orders_refused.Increment();
        this->events.record(
            event_kind::order_refused,
            order_text(order) + ": the configuration is too old");
    }
}

asio::awaitable<void> runtime::carry_out_order(wire::server_order order)
{
    bool reloads_engine = false;
    {
        const std::lock_guard lock(this->status.mutex);
        reloads_engine =
            this->options.kind == base::route_kind::model &&
            (!this->status.info || changes_engine(*this->status.info, order));
        this->status.draining_by_order = order.draining;
        this->status.reloading = reloads_engine;
        if (reloads_engine)
            this->status.reason = "an order changes what the engine holds";
    }
    this->update_state();
    if (reloads_engine)
        co_await this->wait_for_idle();
    auto outcome = order_outcome::applied;
    if (!this->order_is_valid())
        outcome = order_outcome::unanswered;
    else if (this->options.kind == base::route_kind::model)
        outcome = co_await this->post_order(order);
    {
        const std::lock_guard lock(this->status.mutex);
        finish_order(this->status.orders, order.number, outcome);
        this->status.reloading = false;
        // The engine's state has changed and must be queried again.
        if (reloads_engine)
            this->status.info.reset();
    }
    const bool applied = outcome == order_outcome::applied;
    (applied ? this->stats.orders_applied : this->stats.orders_refused)
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
    if (reloads_engine)
        co_await this->probe_engine();
    this->update_state();
}

// Whether the configuration lease of the running order has not expired. It may
// expire during the wait for attempts in progress. Entry nodes repeat a valid
// order, which renews its lease; an expired order is given up, and is admitted
// if it is received again.
bool runtime::order_is_valid() const
{
    const std::lock_guard lock(this->status.mutex);
    return base::monotonic_now() < this->status.order_valid_until;
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
    const auto limit = base::monotonic_now() + max_idle_wait;
    while (!this->idle() && base::monotonic_now() < limit) {
        timer.expires_after(idle_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace oleanderhinge::agent::internal
