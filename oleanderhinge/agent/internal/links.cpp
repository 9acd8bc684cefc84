// Links to entry nodes and to the agents of other stages.
#include "oleanderhinge/agent/internal/runtime.hpp"

namespace oleanderhinge::agent::internal
{

namespace
{

// Time for which a link is marked as busy after a message was received or a
// step was sent on it, so that a silent peer is detected while steps are in
// progress.
constexpr std::chrono::seconds busy_after_use{2};

chain::peer_link to_peer(net::link_id id)
{
    return chain::peer_link(id.value());
}

} // namespace

void runtime::on_opened(net::link_id id, const wire::hello& peer)
{
    this->events.record(
        timeline::event_kind::link_opened, "to " + peer.vm.value());
    const std::lock_guard lock(this->directory.mutex);
    this->directory.roles[id] = peer.sender;
}

void runtime::on_closed(net::link_id id, net::close_reason reason, bool)
{
    {
        const std::lock_guard lock(this->directory.mutex);
        this->directory.roles.erase(id);
        this->directory.last_used.erase(id);
        this->directory.busy_links.erase(id);
        const auto found = this->directory.stage_endpoints.find(id);
        if (found != this->directory.stage_endpoints.end()) {
            const auto stage = this->directory.stage_links.find(found->second);
            if (stage != this->directory.stage_links.end() &&
                stage->second == id)
                this->directory.stage_links.erase(stage);
            this->directory.stage_endpoints.erase(found);
        }
    }
    this->events.record(
        timeline::event_kind::link_closed, net::to_string(reason));
    this->apply_event_to_all(chain::link_closed{to_peer(id)});
    this->apply_call_event_to_all(call_link_closed{to_peer(id)});
}

void runtime::on_received(net::link_id id, wire::message content)
{
    wire::role role = wire::role::control;
    {
        const std::lock_guard lock(this->directory.mutex);
        const auto found = this->directory.roles.find(id);
        if (found == this->directory.roles.end())
            return;
        role = found->second;
        this->directory.last_used[id] = base::monotonic_now();
    }
    if (role == wire::role::entry)
        this->handle_entry_message(id, std::move(content));
    else if (role == wire::role::agent)
        this->handle_agent_message(id, std::move(content));
    else
        this->stats.unexpected_messages.Increment();
}

void runtime::handle_entry_message(net::link_id id, wire::message content)
{
    const auto from = to_peer(id);
    if (auto* open = std::get_if<wire::open_attempt>(&content)) {
        const auto request = open->request;
        this->apply_event(
            request, chain::open_received{std::move(*open), from});
    } else if (const auto* start = std::get_if<wire::start_attempt>(&content)) {
        this->apply_event(start->request, chain::start_received{*start});
    } else if (const auto* close = std::get_if<wire::close_attempt>(&content)) {
        this->stats.attempts_closed.Increment();
        this->apply_event(close->request, chain::close_received{*close, from});
    } else if (auto* call = std::get_if<wire::call>(&content)) {
        const auto request = call->request;
        this->apply_call_event(request, call_received{std::move(*call), from});
    } else if (const auto* cancel = std::get_if<wire::cancel_call>(&content)) {
        this->apply_call_event(cancel->request, cancel_received{*cancel, from});
    } else if (!std::holds_alternative<wire::go_away>(content)) {
        this->stats.unexpected_messages.Increment();
    }
}

void runtime::handle_agent_message(net::link_id id, wire::message content)
{
    if (auto* step = std::get_if<wire::layer_step>(&content)) {
        const auto request = step->request;
        this->apply_event(
            request, chain::step_received{std::move(*step), to_peer(id)});
    } else if (const auto* ack = std::get_if<wire::step_ack>(&content)) {
        this->apply_event(ack->request, chain::ack_received{*ack});
    } else if (!std::holds_alternative<wire::go_away>(content)) {
        this->stats.unexpected_messages.Increment();
    }
}

net::link_id runtime::find_or_open_stage_link(const wire::endpoint& to)
{
    const auto now = base::monotonic_now();
    const auto find_and_touch = [&]() -> std::optional<net::link_id> {
        const auto found = this->directory.stage_links.find(to);
        if (found == this->directory.stage_links.end())
            return {};
        this->directory.last_used[found->second] = now;
        return found->second;
    };
    {
        const std::lock_guard lock(this->directory.mutex);
        if (const auto known = find_and_touch())
            return *known;
    }
    const auto id = this->links.connect(to);
    std::optional<net::link_id> existing;
    {
        // Another thread may have opened a link in the meantime.
        const std::lock_guard lock(this->directory.mutex);
        existing = find_and_touch();
        if (!existing) {
            this->directory.stage_links.emplace(to, id);
            this->directory.stage_endpoints.emplace(id, to);
            this->directory.last_used[id] = now;
            this->directory.busy_links.insert(id);
        }
    }
    if (existing)
        this->links.close(id);
    else
        this->links.set_busy(id, true);
    return existing.value_or(id);
}

void runtime::remove_stage_link(const wire::endpoint& to, net::link_id id)
{
    const std::lock_guard lock(this->directory.mutex);
    const auto found = this->directory.stage_links.find(to);
    if (found != this->directory.stage_links.end() && found->second == id)
        this->directory.stage_links.erase(found);
    this->directory.stage_endpoints.erase(id);
    this->directory.last_used.erase(id);
    this->directory.busy_links.erase(id);
}

void runtime::send(chain::peer_link to, const wire::message& content)
{
    this->links.send(net::link_id(to.value()), content);
}

void runtime::update_busy_links()
{
    std::set<chain::peer_link> result_links;
    for (const auto& s : this->shards) {
        const std::lock_guard lock(s.mutex);
        result_links.merge(chain::entry_links(s.attempts));
        result_links.merge(reply_links(s.calls));
    }
    const auto now = base::monotonic_now();
    std::vector<std::pair<net::link_id, bool>> changes;
    {
        const std::lock_guard lock(this->directory.mutex);
        for (const auto& [id, used] : this->directory.last_used) {
            const bool busy = result_links.contains(to_peer(id)) ||
                              now - used < busy_after_use;
            if (busy != this->directory.busy_links.contains(id))
                changes.emplace_back(id, busy);
        }
        for (const auto& [id, busy] : changes)
            if (busy)
                this->directory.busy_links.insert(id);
            else
                this->directory.busy_links.erase(id);
    }
    for (const auto& [id, busy] : changes)
        this->links.set_busy(id, busy);
}

} // namespace oleanderhinge::agent::internal
