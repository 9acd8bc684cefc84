#include "oleanderhinge/entry/server_discovery.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace oleanderhinge::entry
{

namespace
{

constexpr std::size_t directory_shards = 8;

} // namespace

server_discovery::server_discovery(
    const server_discovery_options& chosen,
    router& router_view,
    timeline::recorder& recorder,
    send_function sender)
    : routes(router_view)
    , events(recorder)
    , send(std::move(sender))
    , interval(chosen.registrar.interval)
    , directory(chosen.directory, directory_shards)
{
    this->peers.options = chosen.peers;
    this->registrar.options = chosen.registrar;
}

void server_discovery::on_announcement(
    const wire::announcement& message, base::time_point now)
{
    this->apply_directory_actions(
        this->directory.apply_announcement(message, now));
    const auto entry =
        membership::find(*this->directory.snapshot(), message.server);
    // The directory may have dropped an old announcement, so the view gets its
    // entry and not the message.
    if (entry)
        this->routes.put(entry->last, entry->expires, now);
}

void server_discovery::on_batch(
    const wire::directory_update& batch,
    const wire::endpoint& from,
    base::time_point now)
{
    this->apply_directory_actions(this->directory.apply_update(batch, now));
    const bool lacks_servers =
        this->directory.count_unknown_heartbeats(batch) > 0;
    std::vector<membership::peer_action> todo;
    {
        const std::lock_guard lock(this->mutex);
        membership::note_batch_received(this->peers, batch.sender, now);
        membership::note_batch(this->registrar, batch, from, now);
        if (lacks_servers)
            todo =
                membership::request_directory(this->peers, batch.sender, now);
    }
    this->perform(todo, now);
}

void server_discovery::on_heartbeat(
    const wire::entry_heartbeat& message, base::time_point now)
{
    std::vector<membership::peer_action> todo;
    {
        const std::lock_guard lock(this->mutex);
        todo = membership::apply_heartbeat(this->peers, message, now);
    }
    this->perform(todo, now);
}

void server_discovery::tick(base::time_point now)
{
    this->apply_directory_actions(this->directory.expire(now));
    std::vector<membership::peer_action> todo;
    bool due = false;
    {
        const std::lock_guard lock(this->mutex);
        todo = membership::tick(this->peers, now);
        due = now - this->last_batch >= this->interval;
        if (due)
            this->last_batch = now;
    }
    this->perform(todo, now);
    if (due) {
        this->send_batch(now);
        this->refresh_routes(now);
    }
}

void server_discovery::send_batch(base::time_point now)
{
    const auto view = this->directory.snapshot();
    std::vector<wire::entry_peer> targets;
    std::vector<wire::directory_update> batch;
    {
        const std::lock_guard lock(this->mutex);
        targets = membership::live_peers(this->peers);
        if (targets.empty())
            return;
        batch = membership::make_batch(this->registrar, *view, now);
        membership::note_batch_sent(this->peers, now);
    }
    for (const auto& part : batch)
        for (const auto& peer : targets)
            this->send(peer.udp, part);
}

void server_discovery::refresh_routes(base::time_point now)
{
    const auto view = this->directory.snapshot();
    for (const auto& entry : membership::live_servers(*view, now))
        if (!entry->direct)
            this->routes.put(entry->last, entry->expires, now);
}

void server_discovery::leave()
{
    std::vector<membership::peer_action> todo;
    {
        const std::lock_guard lock(this->mutex);
        todo = membership::leave(this->peers);
    }
    this->perform(todo, base::monotonic_now());
}

void server_discovery::perform(
    const std::vector<membership::peer_action>& actions, base::time_point now)
{
    for (const auto& action : actions) {
        if (const auto* s = std::get_if<membership::send_heartbeat>(&action)) {
            this->send(s->to, s->content);
        } else if (
            const auto* j = std::get_if<membership::peer_joined>(&action)) {
            const auto view = this->directory.snapshot();
            std::vector<wire::directory_update> batch;
            {
                const std::lock_guard lock(this->mutex);
                batch =
                    membership::make_full_batch(this->registrar, *view, now);
            }
            for (const auto& part : batch)
                this->send(j->peer.udp, part);
        }
    }
}

void server_discovery::apply_directory_actions(
    const std::vector<membership::directory_action>& actions)
{
    using timeline::event_kind;
    for (const auto& action : actions) {
        if (const auto* a = std::get_if<membership::server_joined>(&action)) {
            this->events.record(event_kind::server_joined, a->server.value());
            spdlog::info("event=server_joined server={}", a->server.value());
        } else if (
            const auto* c = std::get_if<membership::server_changed>(&action)) {
            this->events.record(event_kind::server_changed, c->server.value());
        } else if (
            const auto* l = std::get_if<membership::server_left>(&action)) {
            this->routes.remove(l->server);
            this->events.record(event_kind::server_left, l->server.value());
            spdlog::info("event=server_left server={}", l->server.value());
        }
    }
}

std::vector<wire::endpoint>
server_discovery::endpoints_for_ack(std::uint64_t sequence) const
{
    const std::lock_guard lock(this->mutex);
    return membership::endpoints_for_ack(this->peers, sequence);
}

base::revision server_discovery::highest_config() const
{
    return this->directory.highest_config();
}

std::size_t server_discovery::size() const
{
    return this->directory.size();
}

std::size_t server_discovery::live_peers() const
{
    const std::lock_guard lock(this->mutex);
    return membership::live_peers(this->peers).size();
}

} // namespace oleanderhinge::entry
