#include "oleanderhinge/membership/registrar.hpp"

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/membership/internal/datagram.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <unordered_set>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

// Digest of the fields whose change is sent in the next batch.
std::uint64_t content_digest(wire::announcement item)
{
    item.sequence = 0;
    // Load steps are relative to the limit, so it is included; the other load
    // is sent in heartbeats. Only the order of magnitude in base 2 counts, so
    // that small adaptations of the limit are not sent at once.
    const auto limit_step = std::bit_width(item.load.limit);
    item.load = {};
    item.load.limit = std::uint32_t(limit_step);
    item.highest_config = {};
    item.applied_order = {};
    return base::stable_hash(wire::to_bytes(item));
}

bool is_heard_directly(
    const registrar& state, const server_entry& entry, base::time_point now)
{
    return entry.direct &&
           entry.heard_directly + state.options.server_lease > now;
}

base::duration heartbeat_sender_lease(const registrar& state)
{
    // Two and a half intervals, so that one lost datagram does not count as a
    // failure.
    return state.options.interval * 5 / 2;
}

// Number of registrars with a higher weight that sent the server's heartbeat
// within `heartbeat_sender_lease`.
std::size_t senders_ahead(
    const registrar& state,
    const relay_state& record,
    const base::backend_server_id& server,
    base::time_point now)
{
    const auto& name = server.value();
    const auto own = rendezvous_weight(name, state.options.self);
    std::size_t ahead = 0;
    for (const auto& other : record.other_senders)
        if (other.last + heartbeat_sender_lease(state) > now &&
            rendezvous_weight(name, other.node) > own)
            ++ahead;
    return ahead;
}

std::uint16_t age_of(const server_entry& entry, base::time_point now)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
        now - entry.heard_directly);
    constexpr auto largest = std::numeric_limits<std::uint16_t>::max();
    return std::uint16_t(std::clamp<std::int64_t>(age.count(), 0, largest));
}

// Splits a batch into parts that fit one datagram each.
struct batch_builder {
    registrar& state;
    std::vector<wire::directory_update> batches;
    std::size_t used = 0;

    std::size_t empty_size() const
    {
        return wire::to_bytes(
                   wire::directory_update{this->state.options.vm, {}, {}, {}})
            .size();
    }

    wire::directory_update& reserve(std::size_t bytes)
    {
        if (this->batches.empty() ||
            this->used + bytes > internal::datagram_payload) {
            this->batches.push_back({this->state.options.vm, {}, {}, {}});
            this->used = this->empty_size();
        }
        this->used += bytes;
        return this->batches.back();
    }

    void add(const server_entry& entry, base::time_point now)
    {
        const std::size_t bytes =
            wire::to_bytes(entry.last).size() + sizeof(std::uint32_t);
        if (this->empty_size() + bytes > internal::datagram_payload) {
            ++this->state.too_large;
            return;
        }
        auto& batch = this->reserve(bytes);
        batch.changed.push_back(entry.last);
        batch.ages_ms.push_back(age_of(entry, now));
    }

    void add(const wire::server_heartbeat& item)
    {
        // Serialized size: key (8 bytes), age (2) and load step (1).
        this->reserve(11).alive.push_back(item);
    }
};

// Removes the servers that this node no longer hears directly.
void prune(registrar& state, const std::unordered_set<std::uint64_t>& heard)
{
    std::erase_if(state.servers, [&](const auto& item) {
        return !heard.contains(item.first);
    });
}

} // namespace

std::uint64_t
rendezvous_weight(std::string_view key, const wire::endpoint& node)
{
    return base::stable_hash(key, base::stable_hash(node.address, node.port));
}

std::vector<wire::endpoint> choose_nodes(
    std::string_view key,
    const std::vector<wire::endpoint>& nodes,
    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const wire::endpoint*>> weighted;
    weighted.reserve(nodes.size());
    for (const auto& node : nodes)
        weighted.emplace_back(rendezvous_weight(key, node), &node);
    // Equal weights, also of a node that is listed twice, are ordered by
    // endpoint.
    std::sort(weighted.begin(), weighted.end(), [](auto& a, auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    });
    std::vector<wire::endpoint> chosen;
    for (const auto& [weight, node] : weighted) {
        if (chosen.size() == count)
            break;
        if (chosen.empty() || chosen.back() != *node)
            chosen.push_back(*node);
    }
    return chosen;
}

std::vector<wire::endpoint> choose_registrars(
    const base::backend_server_id& server,
    const std::vector<wire::endpoint>& entry_nodes)
{
    return choose_nodes(server.value(), entry_nodes, registrar_count);
}

void note_batch(
    registrar& state,
    const wire::directory_update& batch,
    const wire::endpoint& sender,
    base::time_point now)
{
    for (const auto& item : batch.alive) {
        const auto found = state.servers.find(item.key);
        // This node sends heartbeats only of servers that it hears directly.
        if (found == state.servers.end())
            continue;
        auto& other_senders = found->second.other_senders;
        std::erase_if(other_senders, [&](const heartbeat_sender& other) {
            return other.node == sender ||
                   other.last + heartbeat_sender_lease(state) <= now;
        });
        other_senders.push_back({sender, now});
    }
}

std::vector<wire::directory_update> make_batch(
    registrar& state, const directory_snapshot& view, base::time_point now)
{
    batch_builder out{state, {}};
    std::vector<wire::server_heartbeat> alive;
    std::unordered_set<std::uint64_t> heard;
    const auto rounds = std::max<std::uint64_t>(state.options.repair_rounds, 1);
    for (const auto& part : view.parts)
        for (const auto& entry : part->entries) {
            const auto& last = entry->last;
            if (!is_heard_directly(state, *entry, now))
                continue;
            const auto key = heartbeat_key(last.server, last.agent_incarnation);
            heard.insert(key);
            auto& record = state.servers[key];
            const auto digest = content_digest(last);
            const bool changed = std::exchange(record.digest, digest) != digest;
            if (senders_ahead(state, record, last.server, now) >=
                heartbeat_sender_count)
                continue;
            if (changed || key % rounds == state.round % rounds)
                out.add(*entry, now);
            alive.push_back({key, age_of(*entry, now), load_step(last.load)});
        }
    // Announcements come first, since a heartbeat of an unknown server is
    // dropped.
    for (const auto& item : alive)
        out.add(item);
    prune(state, heard);
    ++state.round;
    return std::move(out.batches);
}

std::vector<wire::directory_update> make_full_batch(
    registrar& state, const directory_snapshot& view, base::time_point now)
{
    batch_builder out{state, {}};
    for (const auto& part : view.parts)
        for (const auto& entry : part->entries)
            if (is_heard_directly(state, *entry, now))
                out.add(*entry, now);
    return std::move(out.batches);
}

} // namespace oleanderhinge::membership
