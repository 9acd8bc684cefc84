// Links to entry nodes and to the agents of other stages.
#include "oleanderhinge/agent/internal/runtime.hpp"

namespace oleanderhinge::agent::internal
{

namespace
{

// A link to another agent counts as busy for this long after it was used, so
// that a silent one is noticed while steps are under way.
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
        this->directory.used.erase(id);
        this->directory.busy.erase(id);
        const auto found = this->directory.opened.find(id);
        if (found != this->directory.opened.end()) {
            const auto stage = this->directory.stages.find(found->second);
            if (stage != this->directory.stages.end() && stage->second == id)
                this->directory.stages.erase(stage);
            this->directory.opened.erase(found);
        }
    }
    this->events.record(
        timeline::event_kind::link_closed, net::to_string(reason));
    this->feed_all(chain::link_closed{to_peer(id)});
    this->feed_all_calls(call_link_closed{to_peer(id)});
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
        this->directory.used[id] = base::monotonic_now();
    }
    if (role == wire::role::entry)
        this->from_entry(id, std::move(content));
    else if (role == wire::role::agent)
        this->from_agent(id, std::move(content));
    else
        this->numbers.unexpected_messages.Increment();
}

void runtime::from_entry(net::link_id id, wire::message content)
{
    const auto from = to_peer(id);
    if (auto* open = std::get_if<wire::open_attempt>(&content)) {
        const auto request = open->request;
        this->feed(request, chain::open_received{std::move(*open), from});
    } else if (const auto* start = std::get_if<wire::start_attempt>(&content)) {
        this->feed(start->request, chain::start_received{*start});
    } else if (const auto* close = std::get_if<wire::close_attempt>(&content)) {
        this->numbers.attempts_closed.Increment();
        this->feed(close->request, chain::close_received{*close, from});
    } else if (auto* call = std::get_if<wire::call>(&content)) {
        const auto request = call->request;
        this->feed_call(request, call_received{std::move(*call), from});
    } else if (const auto* cancel = std::get_if<wire::cancel_call>(&content)) {
        this->feed_call(cancel->request, cancel_received{*cancel, from});
    } else if (!std::holds_alternative<wire::go_away>(content)) {
        this->numbers.unexpected_messages.Increment();
    }
}

void runtime::from_agent(net::link_id id, wire::message content)
{
    if (auto* step = std::get_if<wire::layer_step>(&content)) {
        const auto request = step->request;
        this->feed(
            request, chain::step_received{std::move(*step), to_peer(id)});
    } else if (const auto* ack = std::get_if<wire::step_ack>(&content)) {
        this->feed(ack->request, chain::ack_received{*ack});
    } else if (!std::holds_alternative<wire::go_away>(content)) {
        this->numbers.unexpected_messages.Increment();
    }
}

net::link_id runtime::stage_link(const wire::endpoint& to)
{
    const auto now = base::monotonic_now();
    const auto use = [&]() -> std::optional<net::link_id> {
        const auto found = this->directory.stages.find(to);
        if (found == this->directory.stages.end())
            return {};
        this->directory.used[found->second] = now;
        return found->second;
    };
    {
        const std::lock_guard lock(this->directory.mutex);
        if (const auto known = use())
            return *known;
    }
    const auto id = this->links.connect(to);
    std::optional<net::link_id> other;
    {
        // Another thread may have opened a link meanwhile.
        const std::lock_guard lock(this->directory.mutex);
        other = use();
        if (!other) {
            this->directory.stages.emplace(to, id);
            this->directory.opened.emplace(id, to);
            this->directory.used[id] = now;
            this->directory.busy.insert(id);
        }
    }
    if (other)
        this->links.close(id);
    else
        this->links.set_busy(id, true);
    return other.value_or(id);
}

void runtime::forget_stage_link(const wire::endpoint& to, net::link_id id)
{
    const std::lock_guard lock(this->directory.mutex);
    const auto found = this->directory.stages.find(to);
    if (found != this->directory.stages.end() && found->second == id)
        this->directory.stages.erase(found);
    this->directory.opened.erase(id);
    this->directory.used.erase(id);
    this->directory.busy.erase(id);
}

void runtime::send(chain::peer_link to, const wire::message& content)
{
    this->links.send(net::link_id(to.value()), content);
}

void runtime::update_busy_links()
{
    std::set<chain::peer_link> waiting;
    for (const auto& s : this->shards) {
        const std::lock_guard lock(s.mutex);
        waiting.merge(chain::entry_links(s.attempts));
        waiting.merge(reply_links(s.calls));
    }
    const auto now = base::monotonic_now();
    std::vector<std::pair<net::link_id, bool>> changes;
    {
        const std::lock_guard lock(this->directory.mutex);
        for (const auto& [id, used] : this->directory.used) {
            const bool busy =
                waiting.contains(to_peer(id)) || now - used < busy_after_use;
            if (busy != this->directory.busy.contains(id))
                changes.emplace_back(id, busy);
        }
        for (const auto& [id, busy] : changes)
            if (busy)
                this->directory.busy.insert(id);
            else
                this->directory.busy.erase(id);
    }
    for (const auto& [id, busy] : changes)
        this->links.set_busy(id, busy);
}

} // namespace oleanderhinge::agent::internal
