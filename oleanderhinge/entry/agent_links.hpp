// The links of an entry node to agents: one for each agent endpoint, opened on
// demand, with the requests that depend on it.
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

    // Registers that `request` depends on the agent.
    void attach(const wire::endpoint& agent, base::request_id request);
    void detach(const wire::endpoint& agent, base::request_id request);

    // Sends over the link to the agent, which is opened if there is none.
    net::send_status
    send(const wire::endpoint& agent, const wire::message& content);

    // What a closed link leaves behind.
    struct lost_link {
        wire::endpoint agent;
        std::vector<base::request_id> requests;
    };

    // Forgets a closed link. `requests` is empty if it was no agent's link.
    lost_link on_closed(net::link_id id);

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
