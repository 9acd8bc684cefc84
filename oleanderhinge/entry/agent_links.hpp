// Links from an entry node to agents. There is one link for each agent
// endpoint. It is opened on demand, and the requests that depend on it are
// tracked.
//
// Example:
//   links.attach(endpoint, request);
//   links.send(endpoint, message);
//   links.detach(endpoint, request);
#pragma once

#include "oleanderhinge/net/link_table.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::entry
{

// Thread-safe. Owns no link: the link table does.
class agent_links
{
public:
    explicit agent_links(net::link_table& table);

    // Registers that `request` depends on the link to the agent. A link with
    // such requests is busy, which selects the heartbeat for busy links.
    void attach(const wire::endpoint& agent, base::request_id request);
    // Undoes `attach`; does nothing for a request that is not attached.
    void detach(const wire::endpoint& agent, base::request_id request);

    // Sends over the link to the agent; opens the link if there is none.
    net::send_status
    send(const wire::endpoint& agent, const wire::message& content);

    // A closed link and the requests that depended on it.
    struct lost_link {
        wire::endpoint agent;
        std::vector<base::request_id> requests;
    };

    // Removes a closed link. The result is empty if it was not a link to an
    // agent.
    lost_link on_closed(net::link_id id);

    // Number of links.
    std::size_t size() const;

private:
    struct agent_peer {
        net::link_id link;
        bool connected = false;
        std::set<base::request_id> requests;
    };

    net::link_table& table;
    mutable std::mutex mutex;
    std::map<wire::endpoint, agent_peer> peers;
    std::unordered_map<net::link_id, wire::endpoint> endpoints;
};

} // namespace oleanderhinge::entry
