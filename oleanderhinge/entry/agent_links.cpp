#include "oleanderhinge/entry/agent_links.hpp"

#include <utility>

namespace oleanderhinge::entry
{

agent_links::agent_links(net::link_table& links)
    : table(links)
{
}

void agent_links::attach(const wire::endpoint& agent, base::request_id request)
{
    net::link_id link;
    {
        const std::lock_guard lock(this->mutex);
        auto& peer = this->peers[agent];
        peer.requests.insert(request);
        if (!peer.connected || peer.requests.size() > 1)
            return;
        link = peer.link;
    }
    this->table.set_busy(link, true);
}

void agent_links::detach(const wire::endpoint& agent, base::request_id request)
{
    net::link_id link;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->peers.find(agent);
        if (found == this->peers.end())
            return;
        auto& peer = found->second;
        peer.requests.erase(request);
        if (!peer.requests.empty())
            return;
        if (!peer.connected) {
            this->peers.erase(found);
            return;
        }
        link = peer.link;
    }
    this->table.set_busy(link, false);
}

net::send_status
agent_links::send(const wire::endpoint& agent, const wire::message& content)
{
    net::link_id link;
    bool busy = false;
    {
        const std::lock_guard lock(this->mutex);
        auto& peer = this->peers[agent];
        if (!peer.connected) {
            // connect() only starts the connection. The link table calls back
            // after this lock is released.
            peer.link = this->table.connect(agent);
            peer.connected = true;
            this->endpoints.emplace(peer.link, agent);
            busy = !peer.requests.empty();
        }
        link = peer.link;
    }
    if (busy)
        this->table.set_busy(link, true);
    return this->table.send(link, content);
}

agent_links::lost_link agent_links::on_closed(net::link_id id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return {};
    lost_link lost{found->second, {}};
    this->endpoints.erase(found);
    const auto peer = this->peers.find(lost.agent);
    if (peer != this->peers.end() && peer->second.link == id) {
        lost.requests.assign(
            peer->second.requests.begin(), peer->second.requests.end());
        this->peers.erase(peer);
    }
    return lost;
}

std::size_t agent_links::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->endpoints.size();
}

} // namespace oleanderhinge::entry
