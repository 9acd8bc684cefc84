// What an entry node knows of backend servers: takes announcements, passes
// them on as a registrar, learns of the other entry nodes of its data centre
// and keeps the router's view up to date.
//
// Example:
//   server_knowledge servers{options, routes, events, send};
//   servers.on_announcement(message, now);
//   servers.tick(now);
#pragma once

#include "oleanderhinge/entry/router.hpp"
#include "oleanderhinge/membership/entry_peers.hpp"
#include "oleanderhinge/membership/registrar.hpp"
#include "oleanderhinge/membership/shared_directory.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace oleanderhinge::entry
{

struct server_knowledge_options {
    membership::directory_options directory;
    membership::registrar_options registrar;
    membership::entry_peers_options peers;
};

// Thread-safe.
class server_knowledge
{
public:
    using send_function =
        std::function<void(const wire::endpoint&, const wire::message&)>;

    server_knowledge(
        const server_knowledge_options& options,
        router& routes,
        timeline::recorder& events,
        send_function send);

    // Commands.

    void
    on_announcement(const wire::announcement& message, base::time_point now);
    void on_batch(
        const wire::directory_update& batch,
        const wire::endpoint& from,
        base::time_point now);
    void
    on_heartbeat(const wire::entry_heartbeat& message, base::time_point now);
    // Drops expired servers, sends due heartbeats and batches. Call it a few
    // times a second.
    void tick(base::time_point now);
    // Tells the other entry nodes that this one shuts down.
    void leave();

    // Queries.

    std::vector<wire::endpoint> endpoints_for_ack(std::uint64_t sequence) const;
    base::revision highest_config() const;
    std::size_t size() const;
    std::size_t live_peers() const;

private:
    void note(const std::vector<membership::directory_action>& actions);
    void perform(
        const std::vector<membership::peer_action>& actions,
        base::time_point now);
    void send_batch(base::time_point now);
    // Brings servers that only other entry nodes hear into the router's view.
    void refresh_routes(base::time_point now);

    router& routes;
    timeline::recorder& events;
    const send_function send;
    const base::duration interval;
    membership::shared_directory directory;

    // Guards the members below.
    mutable std::mutex mutex;
    membership::entry_peers peers;
    membership::registrar registrar;
    base::time_point last_batch;
};

} // namespace oleanderhinge::entry
