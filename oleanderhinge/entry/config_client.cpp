#include "oleanderhinge/entry/config_client.hpp"

#include <utility>

namespace oleanderhinge::entry
{

namespace
{

membership::peer_link to_peer(net::link_id link)
{
    return membership::peer_link{link.value()};
}

net::link_id to_link(membership::peer_link peer)
{
    return net::link_id{peer.value()};
}

// Types of messages in the distribution tree. claim_client also receives
// `subscribe_redirect`.
bool is_tree_message(const wire::message& content)
{
    return std::holds_alternative<wire::subscribe>(content) ||
           std::holds_alternative<wire::subscribe_redirect>(content) ||
           std::holds_alternative<wire::config_update>(content) ||
           std::holds_alternative<wire::config_confirm>(content);
}

} // namespace

config_client::config_client(
    net::link_table& table,
    config_client_options chosen,
    timeline::recorder& recorder)
    : links(table)
    , confirm_interval(chosen.confirm_interval)
    , events(recorder)
    , random(chosen.seed)
{
    this->view.options = chosen.view;
    this->tree.options = std::move(chosen.tree);
}

void config_client::tick(base::time_point now)
{
    membership::tree_actions todo;
    {
        const std::lock_guard lock(this->mutex);
        this->apply_view_actions(membership::tick(this->view, now));
        todo = membership::tick(this->tree, this->view, this->random, now);
        if (now - this->last_confirms >= this->confirm_interval) {
            this->last_confirms = now;
            auto confirms =
                membership::make_confirms(this->tree, this->view, now);
            todo.insert(
                todo.end(),
                std::make_move_iterator(confirms.begin()),
                std::make_move_iterator(confirms.end()));
        }
    }
    this->perform(todo, now);
}

void config_client::on_opened(net::link_id link, base::time_point now)
{
    membership::tree_actions todo;
    {
        const std::lock_guard lock(this->mutex);
        todo = membership::on_link_opened(
            this->tree, to_peer(link), this->view, this->random, now);
    }
    this->perform(todo, now);
}

bool config_client::on_message(
    net::link_id link, const wire::message& content, base::time_point now)
{
    if (!is_tree_message(content))
        return false;
    membership::tree_actions todo;
    {
        const std::lock_guard lock(this->mutex);
        const bool from_parent =
            membership::is_parent(this->tree, to_peer(link));
        // A redirect on another link belongs to claim_client.
        if (!from_parent && !std::holds_alternative<wire::subscribe>(content))
            return false;
        todo = this->handle_tree_message(link, content, now);
    }
    this->perform(todo, now);
    return true;
}

membership::tree_actions config_client::handle_tree_message(
    net::link_id link, const wire::message& content, base::time_point now)
{
    if (const auto* update = std::get_if<wire::config_update>(&content)) {
        const auto outcome = membership::apply_update(this->view, *update, now);
        this->apply_view_actions(outcome);
        return membership::after_update(
            this->tree, this->view, *update, outcome, this->random, now);
    }
    if (const auto* confirm = std::get_if<wire::config_confirm>(&content)) {
        const auto outcome =
            membership::apply_confirm(this->view, *confirm, now);
        this->apply_view_actions(outcome);
        return membership::after_confirm(
            this->tree, this->view, outcome, this->random, now);
    }
    if (const auto* other = std::get_if<wire::subscribe_redirect>(&content))
        return membership::on_redirect(
            this->tree, to_peer(link), *other, this->random, now);
    return membership::on_subscribe(
        this->tree,
        to_peer(link),
        std::get<wire::subscribe>(content),
        this->view,
        now);
}

void config_client::on_closed(net::link_id link, base::time_point now)
{
    membership::tree_actions todo;
    {
        const std::lock_guard lock(this->mutex);
        todo = membership::on_link_closed(
            this->tree, to_peer(link), this->view, this->random, now);
    }
    this->perform(todo, now);
}

void config_client::note_reported(base::revision reported, base::time_point now)
{
    const std::lock_guard lock(this->mutex);
    this->apply_view_actions(
        membership::note_reported_revision(this->view, reported, now));
}

void config_client::perform(
    const membership::tree_actions& actions, base::time_point now)
{
    std::vector<net::link_id> lost;
    for (const auto& action : actions) {
        if (const auto* c = std::get_if<membership::tree_connect>(&action)) {
            // Held during connect(), so that the tree knows the link before
            // the callbacks of the link run.
            const std::lock_guard lock(this->mutex);
            membership::note_connecting(
                this->tree, to_peer(this->links.connect(c->to)));
        } else if (
            const auto* s = std::get_if<membership::tree_send>(&action)) {
            // The link to a child that reads too slowly is closed; the child
            // then subscribes again.
            for (const auto& to : s->to)
                if (this->links.send(to_link(to), s->content) ==
                    net::send_status::full)
                    lost.push_back(to_link(to));
        } else if (
            const auto* d = std::get_if<membership::tree_close>(&action)) {
            this->links.close(to_link(d->link));
        }
    }
    for (const auto& link : lost) {
        this->links.close(link);
        this->on_closed(link, now);
    }
}

void config_client::apply_view_actions(
    const std::vector<membership::config_action>& actions)
{
    using timeline::event_kind;
    for (const auto& action : actions) {
        if (const auto* a = std::get_if<membership::config_applied>(&action)) {
            auto next = std::make_shared<active_configuration>();
            next->config = this->view.config;
            for (const auto& [id, customer] : next->config->customers)
                next->credentials.emplace(customer.credential_sha256, id);
            this->active = std::move(next);
            this->events.record(
                event_kind::config_applied,
                "revision " + std::to_string(a->to.value()));
        } else if (std::holds_alternative<membership::lease_lost>(action)) {
            this->events.record(event_kind::config_lease_lost, "");
        } else if (std::holds_alternative<membership::lease_regained>(action)) {
            this->events.record(event_kind::config_lease_regained, "");
        }
    }
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
