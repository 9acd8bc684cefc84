#include "oleanderhinge/entry/config_client.hpp"

#include <utility>

namespace oleanderhinge::entry
{

config_client::config_client(
    net::link_table& table,
    config_client_options chosen,
    timeline::recorder& recorder)
    : links(table)
    , options(std::move(chosen))
    , events(recorder)
    , random(this->options.seed)
    , next_control(this->random.below(this->options.control.size()))
{
    this->view.options = this->options.view;
}

void config_client::tick(base::time_point now)
{
    std::optional<net::link_id> silent;
    {
        const std::lock_guard lock(this->mutex);
        this->note(membership::tick(this->view, now));
        if (this->parent &&
            now - this->last_confirm >= this->options.parent_silence) {
            silent = std::exchange(this->parent, std::nullopt);
            this->connect_at = now;
        }
        if (!this->parent && now >= this->connect_at)
            this->connect(now);
    }
    if (silent)
        this->links.close(*silent);
}

void config_client::connect(base::time_point now)
{
    wire::endpoint target;
    if (!this->candidates.empty()) {
        target = this->candidates.front();
        this->candidates.pop_front();
    } else if (!this->options.control.empty()) {
        const auto& control = this->options.control;
        target = control[this->next_control++ % control.size()];
    } else {
        return;
    }
    this->last_confirm = now;
    // connect() only starts the connection, so it cannot call back here.
    this->parent = this->links.connect(target);
}

void config_client::on_opened(net::link_id link)
{
    wire::subscribe message;
    {
        const std::lock_guard lock(this->mutex);
        if (this->parent != link)
            return;
        message.have = membership::revision_of(this->view);
        message.vm = this->options.vm;
        message.listen = this->options.listen;
    }
    this->links.send(link, message);
}

bool config_client::on_message(net::link_id link, const wire::message& content)
{
    const auto now = base::monotonic_now();
    bool leave = false;
    {
        const std::lock_guard lock(this->mutex);
        if (this->parent != link)
            return false;
        if (const auto* update = std::get_if<wire::config_update>(&content)) {
            leave =
                this->note(membership::apply_update(this->view, *update, now));
        } else if (
            const auto* confirm = std::get_if<wire::config_confirm>(&content)) {
            this->last_confirm = now;
            leave = this->note(
                membership::apply_confirm(this->view, *confirm, now));
        } else if (
            const auto* other =
                std::get_if<wire::subscribe_redirect>(&content)) {
            this->candidates.assign(
                other->parents.begin(), other->parents.end());
            leave = true;
        } else {
            return false;
        }
        if (leave) {
            this->parent.reset();
            this->connect_at = now;
        }
    }
    if (leave)
        this->links.close(link);
    return true;
}

void config_client::on_closed(net::link_id link, base::time_point now)
{
    const std::lock_guard lock(this->mutex);
    if (this->parent != link)
        return;
    this->parent.reset();
    // Jitter keeps the subscribers of a failed parent from coming back at
    // once.
    const auto delay = this->options.reconnect_delay;
    this->connect_at =
        now + delay +
        base::duration(this->random.below(std::uint64_t(delay.count())));
}

void config_client::note_reported(base::revision reported, base::time_point now)
{
    const std::lock_guard lock(this->mutex);
    this->note(membership::note_reported(this->view, reported, now));
}

bool config_client::note(const std::vector<membership::config_action>& actions)
{
    using timeline::event_kind;
    bool leave = false;
    for (const auto& action : actions) {
        if (const auto* a = std::get_if<membership::config_applied>(&action)) {
            this->rebuild_index();
            this->events.record(
                event_kind::config_applied,
                "revision " + std::to_string(a->to.value()));
        } else if (std::holds_alternative<membership::lease_lost>(action)) {
            this->events.record(event_kind::config_lease_lost, "");
        } else if (std::holds_alternative<membership::lease_regained>(action)) {
            this->events.record(event_kind::config_lease_regained, "");
        } else {
            // Changes are missing or the parent is behind; a new subscription
            // to another parent brings what is needed.
            leave = true;
        }
    }
    return leave;
}

void config_client::rebuild_index()
{
    auto next = std::make_shared<active_configuration>();
    next->config = this->view.config;
    for (const auto& [id, customer] : next->config->customers)
        next->credentials.emplace(customer.credential_sha256, id);
    this->active = std::move(next);
}

std::shared_ptr<const active_configuration> config_client::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->active;
}

membership::serve_decision
config_client::may_serve(const wire::route& route, base::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return membership::may_serve(this->view, route, now);
}

membership::config_readiness
config_client::readiness(base::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return membership::readiness(this->view, now);
}

base::revision config_client::revision() const
{
    const std::lock_guard lock(this->mutex);
    return membership::revision_of(this->view);
}

std::uint32_t config_client::age_ms(base::time_point now) const
{
    const std::lock_guard lock(this->mutex);
    return membership::age_ms(this->view, now);
}

} // namespace oleanderhinge::entry
