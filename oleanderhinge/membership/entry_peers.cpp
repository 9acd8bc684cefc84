#include "oleanderhinge/membership/entry_peers.hpp"

#include "oleanderhinge/membership/internal/datagram.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

using actions = std::vector<peer_action>;

// Number of nodes named in a regular heartbeat. Two per second cover all nodes
// of a data centre every few seconds.
constexpr std::size_t known_in_heartbeat = 2;
// Number of nodes named in the reply to a new node.
constexpr std::size_t known_in_reply = 24;

bool is_self(const entry_peers& peers, const wire::entry_peer& other)
{
    return other.vm == peers.options.self.vm ||
           other.udp == peers.options.self.udp;
}

// Up to `count` live nodes, in round-robin order over the calls.
std::vector<wire::entry_peer>
next_known_peers(entry_peers& peers, std::size_t count)
{
    const auto live = live_peers(peers);
    std::vector<wire::entry_peer> known;
    for (std::size_t i = 0; i < std::min(count, live.size()); ++i)
        known.push_back(live[peers.next_known++ % live.size()]);
    return known;
}

wire::entry_heartbeat
make_heartbeat(entry_peers& peers, std::size_t known, bool wants_peers)
{
    wire::entry_heartbeat content{
        .self = peers.options.self,
        .sender_incarnation = peers.options.own_incarnation,
        .data_centre = peers.options.data_centre,
        .leaving = peers.leaving,
        .wants_peers = wants_peers,
        .known = next_known_peers(peers, known)};
    // Long VM names may exceed a datagram. Later heartbeats name the nodes that
    // are left out.
    while (!content.known.empty() &&
           wire::to_bytes(content).size() > internal::datagram_payload)
        content.known.pop_back();
    return content;
}

void add_probe(
    entry_peers& peers,
    const wire::endpoint& endpoint,
    bool seed,
    base::time_point now)
{
    if (endpoint == peers.options.self.udp ||
        peers.probes.size() >= peers.options.max_peers)
        return;
    peers.probes.try_emplace(
        endpoint, probe_state{now, now - peers.options.interval, seed});
}

bool is_seed(const entry_peers& peers, const wire::endpoint& endpoint)
{
    const auto& seeds = peers.options.seeds;
    return std::find(seeds.begin(), seeds.end(), endpoint) != seeds.end();
}

bool has_peer_at(const entry_peers& peers, const wire::endpoint& endpoint)
{
    return std::any_of(
        peers.peers.begin(), peers.peers.end(), [&](const auto& item) {
            return item.second.alive && item.second.id.udp == endpoint;
        });
}

void probe_unknown(
    entry_peers& peers,
    const std::vector<wire::entry_peer>& known,
    base::time_point now)
{
    for (const auto& other : known)
        if (!is_self(peers, other) && !has_peer_at(peers, other.udp))
            add_probe(peers, other.udp, false, now);
}

// Records that the node is alive. Reports it if it was not alive, was
// restarted, changed its endpoint or requests the directory.
void mark_alive(
    entry_peers& peers,
    const wire::entry_heartbeat& item,
    base::time_point now,
    actions& out)
{
    auto [at, inserted] = peers.peers.try_emplace(item.self.vm);
    auto& peer = at->second;
    const bool is_new = inserted || !peer.alive || peer.leaving ||
                        peer.peer_incarnation != item.sender_incarnation ||
                        peer.id != item.self;
    if (inserted)
        peer.last_heartbeat_sent = peer.last_batch_sent =
            now - peers.options.max_heartbeat_interval;
    peer.id = item.self;
    peer.peer_incarnation = item.sender_incarnation;
    peer.heard = now;
    peer.alive = true;
    peer.leaving = false;
    peers.probes.erase(item.self.udp);
    if (is_new || item.wants_directory)
        out.emplace_back(peer_joined{item.self});
}

void mark_leaving(
    entry_peers& peers, const wire::entry_heartbeat& item, actions& out)
{
    const auto at = peers.peers.find(item.self.vm);
    // A late message of the previous incarnation must not remove the current
    // one.
    if (at == peers.peers.end() || at->second.leaving || !at->second.alive ||
        at->second.peer_incarnation != item.sender_incarnation)
        return;
    at->second.leaving = true;
    out.emplace_back(peer_left{item.self});
}

void drop_silent(entry_peers& peers, base::time_point now, actions& out)
{
    for (auto& [vm, peer] : peers.peers) {
        if (!peer.alive || peer.heard + peers.options.lease > now)
            continue;
        peer.alive = false;
        if (!peer.leaving)
            out.emplace_back(peer_left{peer.id});
        add_probe(peers, peer.id.udp, is_seed(peers, peer.id.udp), now);
    }
    std::erase_if(peers.peers, [&](const auto& item) {
        return item.second.heard + peers.options.peer_retention <= now;
    });
    std::erase_if(peers.probes, [&](const auto& item) {
        return !item.second.seed &&
               item.second.since + peers.options.peer_retention <= now;
    });
}

void send_probes(entry_peers& peers, base::time_point now, actions& out)
{
    for (auto& [endpoint, probe] : peers.probes) {
        if (probe.last_sent + peers.options.interval > now)
            continue;
        probe.last_sent = now;
        out.emplace_back(send_heartbeat{
            endpoint, make_heartbeat(peers, known_in_heartbeat, true)});
    }
}

void send_due(entry_peers& peers, base::time_point now, actions& out)
{
    const auto& options = peers.options;
    for (auto& [vm, peer] : peers.peers) {
        const bool batch_is_enough =
            peer.last_batch_sent + options.interval * 3 / 2 > now &&
            peer.last_heartbeat_sent + options.max_heartbeat_interval > now;
        if (!peer.alive || batch_is_enough ||
            peer.last_heartbeat_sent + options.interval > now)
            continue;
        peer.last_heartbeat_sent = now;
        out.emplace_back(send_heartbeat{
            peer.id.udp, make_heartbeat(peers, known_in_heartbeat, false)});
    }
}

} // namespace

std::vector<peer_action> apply_heartbeat(
    entry_peers& peers, const wire::entry_heartbeat& item, base::time_point now)
{
    actions out;
    if (is_self(peers, item.self))
        return out;
    if (item.data_centre != peers.options.data_centre) {
        ++peers.foreign_data_centre_heartbeats;
        return out;
    }
    if (item.leaving) {
        mark_leaving(peers, item, out);
        return out;
    }
    if (!peers.peers.contains(item.self.vm) &&
        peers.peers.size() >= peers.options.max_peers)
        return out;
    mark_alive(peers, item, now, out);
    probe_unknown(peers, item.known, now);
    if (item.wants_peers) {
        peers.peers.at(item.self.vm).last_heartbeat_sent = now;
        out.emplace_back(send_heartbeat{
            item.self.udp, make_heartbeat(peers, known_in_reply, false)});
    }
    return out;
}

void note_batch_received(
    entry_peers& peers, const base::vm_id& sender, base::time_point now)
{
    const auto at = peers.peers.find(sender);
    // A node that is not known to be alive must send a heartbeat first, since a
    // batch does not contain its endpoint and incarnation.
    if (at != peers.peers.end() && at->second.alive && !at->second.leaving)
        at->second.heard = std::max(at->second.heard, now);
}

std::vector<peer_action> request_directory(
    entry_peers& peers, const base::vm_id& sender, base::time_point now)
{
    actions out;
    const auto at = peers.peers.find(sender);
    if (at == peers.peers.end() || !at->second.alive ||
        at->second.directory_requested_at + 2 * peers.options.interval > now)
        return out;
    at->second.directory_requested_at = now;
    auto content = make_heartbeat(peers, 0, false);
    content.wants_directory = true;
    out.emplace_back(send_heartbeat{at->second.id.udp, std::move(content)});
    return out;
}

void note_batch_sent(entry_peers& peers, base::time_point now)
{
    for (auto& [vm, peer] : peers.peers)
        peer.last_batch_sent = now;
}

std::vector<peer_action> tick(entry_peers& peers, base::time_point now)
{
    actions out;
    if (!std::exchange(peers.started, true))
        for (const auto& seed : peers.options.seeds)
            add_probe(peers, seed, true, now);
    drop_silent(peers, now, out);
    if (!peers.leaving) {
        send_probes(peers, now, out);
        send_due(peers, now, out);
    }
    return out;
}

std::vector<peer_action> leave(entry_peers& peers)
{
    actions out;
    peers.leaving = true;
    for (const auto& peer : live_peers(peers))
        out.emplace_back(
            send_heartbeat{peer.udp, make_heartbeat(peers, 0, false)});
    return out;
}

std::vector<wire::entry_peer> live_peers(const entry_peers& peers)
{
    std::vector<wire::entry_peer> live;
    for (const auto& [vm, peer] : peers.peers)
        if (peer.alive && !peer.leaving)
            live.push_back(peer.id);
    return live;
}

std::vector<wire::endpoint> live_endpoints(const entry_peers& peers)
{
    std::vector<wire::endpoint> endpoints;
    if (!peers.leaving)
        endpoints.push_back(peers.options.self.udp);
    for (const auto& peer : live_peers(peers))
        endpoints.push_back(peer.udp);
    return endpoints;
}

std::vector<wire::endpoint>
endpoints_for_ack(const entry_peers& peers, std::uint64_t sequence)
{
    auto all = live_endpoints(peers);
    if (all.size() <= ack_endpoints)
        return all;
    std::vector<wire::endpoint> chosen;
    for (std::size_t i = 0; i < ack_endpoints; ++i)
        chosen.push_back(all[(sequence * ack_endpoints + i) % all.size()]);
    return chosen;
}

} // namespace oleanderhinge::membership
