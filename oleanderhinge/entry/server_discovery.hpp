// Discovery of backend servers by an entry node. Receives the announcements of
// agents, shares them with the other entry nodes of the data centre in
// directory batches, tracks which of these nodes are alive, and keeps the
// router's view up to date.
//
// Example:
//   server_discovery servers{options, routes, events, send};
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

struct server_discovery_options {
    membership::directory_options directory;
    membership::registrar_options registrar;
    membership::entry_peers_options peers;
};

// Thread-safe.
class server_discovery
{
public:
    using send_function =
        std::function<void(const wire::endpoint&, const wire::message&)>;

    server_discovery(
        const server_discovery_options& options,
        router& routes,
        timeline::recorder& events,
        send_function send);

    // Commands.

    // An agent announced its server. An announcement that is older than what
    // the directory holds does not change the directory.
    void
    on_announcement(const wire::announcement& message, base::time_point now);
    // A directory batch of another entry node. If it has heartbeats of servers
    // that are unknown here, the sender is asked for a full batch.
    void on_batch(
        const wire::directory_update& batch,
        const wire::endpoint& from,
        base::time_point now);
    // A heartbeat of another entry node.
    void
    on_heartbeat(const wire::entry_heartbeat& message, base::time_point now);
    // Removes expired servers and sends the heartbeats and batches that are
    // due. Call it a few times a second.
    void tick(base::time_point now);
    // Notifies the other entry nodes that this one shuts down.
    void leave();

    // Queries.

    // Entry nodes to name in the acknowledgment of the announcement with number
    // `sequence`; the selection rotates with the number.
    std::vector<wire::endpoint> endpoints_for_ack(std::uint64_t sequence) const;
    // Highest configuration revision that an agent has reported; never falls.
    base::revision highest_config() const;
    // Number of servers in the directory.
    std::size_t size() const;
    // Number of other entry nodes that are alive.
    std::size_t live_peers() const;

private:
    // Records joined, changed and left servers; removes the latter from the
    // router's view.
    void apply_directory_actions(
        const std::vector<membership::directory_action>& actions);
    // Sends heartbeats, and a full batch to an entry node that joined. Runs
    // without the lock.
    void perform(
        const std::vector<membership::peer_action>& actions,
        base::time_point now);
    // Sends a batch of the directory to all live entry nodes.
    void send_batch(base::time_point now);
    // Adds servers that announce only to other entry nodes to the router's
    // view.
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
