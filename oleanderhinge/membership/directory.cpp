#include "oleanderhinge/membership/directory.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

using actions = std::vector<directory_action>;

// When an announcement was heard, and whether it came from the agent itself.
struct reception {
    base::time_point heard;
    bool direct = false;
};

past_incarnation* find_past(directory& servers, const wire::announcement& item)
{
    const auto found = servers.past_incarnations.find(item.server);
    if (found == servers.past_incarnations.end())
        return nullptr;
    for (auto& past : found->second)
        if (past.agent_incarnation == item.agent_incarnation)
            return &past;
    return nullptr;
}

void record_past(
    directory& servers, const wire::announcement& item, base::time_point now)
{
    if (auto* known = find_past(servers, item)) {
        known->sequence = std::max(known->sequence, item.sequence);
        known->ended = now;
        return;
    }
    auto& list = servers.past_incarnations[item.server];
    if (list.size() >= max_past_incarnations)
        list.erase(list.begin());
    list.push_back({item.agent_incarnation, item.sequence, now});
}

void remove_past(directory& servers, const wire::announcement& item)
{
    const auto found = servers.past_incarnations.find(item.server);
    if (found == servers.past_incarnations.end())
        return;
    std::erase_if(found->second, [&](const past_incarnation& past) {
        return past.agent_incarnation == item.agent_incarnation;
    });
    if (found->second.empty())
        servers.past_incarnations.erase(found);
}

// Whether anything but load, sequence and reported revisions differs.
bool same_server(const wire::announcement& a, const wire::announcement& b)
{
    return a.state == b.state && a.agent == b.agent && a.kind == b.kind &&
           a.model == b.model && a.version == b.version &&
           a.adapters == b.adapters && a.layers == b.layers &&
           a.layer_count == b.layer_count && a.service == b.service &&
           a.accelerator == b.accelerator && a.speed_percent == b.speed_percent;
}

void put(directory& servers, server_entry entry)
{
    const auto& id = entry.last.server;
    servers.heartbeat_keys[heartbeat_key(id, entry.last.agent_incarnation)] =
        id;
    auto& slot = servers.servers[id];
    slot = std::make_shared<const server_entry>(std::move(entry));
    ++servers.version;
}

server_entry make_entry(
    const directory& servers,
    const wire::announcement& item,
    const reception& received)
{
    return {
        .last = item,
        .first_heard = received.heard,
        .heard = received.heard,
        .expires = received.heard + servers.options.server_lease,
        .heard_directly = received.direct ? received.heard : base::time_point(),
        .direct = received.direct};
}

void join(
    directory& servers,
    const wire::announcement& item,
    const reception& received,
    actions& out)
{
    remove_past(servers, item);
    put(servers, make_entry(servers, item, received));
    ++servers.counters.accepted;
    out.emplace_back(server_joined{item.server, item.agent_incarnation});
}

// Adds a server that is not in the directory, unless the announcement is a late
// one of an expired incarnation.
void join_unknown(
    directory& servers,
    const wire::announcement& item,
    const reception& received,
    actions& out)
{
    const auto* past = find_past(servers, item);
    if (past != nullptr && item.sequence <= past->sequence) {
        ++servers.counters.old_sequence;
        return;
    }
    if (servers.servers.size() >= servers.options.max_servers) {
        ++servers.counters.refused_full;
        return;
    }
    join(servers, item, received, out);
}

// An announcement of the current incarnation.
void update_current(
    directory& servers,
    const server_entry& current,
    const wire::announcement& item,
    const reception& received,
    actions& out)
{
    if (item.sequence <= current.last.sequence) {
        ++servers.counters.old_sequence;
        return;
    }
    const bool changed = !same_server(current.last, item);
    server_entry entry = current;
    entry.last = item;
    entry.heard = std::max(entry.heard, received.heard);
    entry.expires = entry.heard + servers.options.server_lease;
    if (received.direct) {
        entry.direct = true;
        entry.heard_directly = received.heard;
    }
    put(servers, std::move(entry));
    ++servers.counters.accepted;
    if (changed)
        out.emplace_back(
            server_changed{item.server, item.agent_incarnation, item.state});
}

// Whether an announcement of another incarnation replaces the current one; see
// the rules at the top of the header.
bool replaces(
    directory& servers,
    const server_entry& current,
    const wire::announcement& item,
    const reception& received)
{
    const auto* past = find_past(servers, item);
    if (past == nullptr)
        return received.heard >= current.first_heard;
    return item.sequence > past->sequence &&
           received.heard >= current.heard + servers.options.takeover_silence;
}

void replace(
    directory& servers,
    const server_entry_ptr& current,
    const wire::announcement& item,
    const reception& received,
    base::time_point now,
    actions& out)
{
    if (!replaces(servers, *current, item, received)) {
        record_past(servers, item, now);
        ++servers.counters.old_incarnation;
        return;
    }
    const auto& old = current->last;
    record_past(servers, old, now);
    servers.heartbeat_keys.erase(
        heartbeat_key(old.server, old.agent_incarnation));
    out.emplace_back(
        server_left{old.server, old.agent_incarnation, leave_reason::replaced});
    join(servers, item, received, out);
}

actions process_announcement(
    directory& servers,
    const wire::announcement& item,
    const reception& received,
    base::time_point now)
{
    actions out;
    servers.highest_config =
        std::max(servers.highest_config, item.highest_config);
    if (received.heard + servers.options.server_lease <= now) {
        ++servers.counters.expired_on_arrival;
        return out;
    }
    const auto found = servers.servers.find(item.server);
    if (found == servers.servers.end()) {
        join_unknown(servers, item, received, out);
        return out;
    }
    // The copy of the pointer keeps the old entry valid while it is replaced.
    const server_entry_ptr current = found->second;
    if (current->last.agent_incarnation == item.agent_incarnation)
        update_current(servers, *current, item, received, out);
    else
        replace(servers, current, item, received, now, out);
    return out;
}

std::uint64_t divide_rounding_up(std::uint64_t value, std::uint64_t divisor)
{
    return (value + divisor - 1) / divisor;
}

// Step 9 + k is a queue of up to 2^k / 4 times the limit.
constexpr std::uint8_t first_queue_step = 9;

} // namespace

actions apply_announcement(
    directory& servers, const wire::announcement& item, base::time_point now)
{
    return process_announcement(servers, item, {now, true}, now);
}

actions apply_relayed(
    directory& servers,
    const wire::announcement& item,
    base::duration age,
    base::time_point now)
{
    return process_announcement(servers, item, {now - age, false}, now);
}

bool apply_heartbeat(
    directory& servers,
    const wire::server_heartbeat& item,
    base::time_point now)
{
    const auto key = servers.heartbeat_keys.find(item.key);
    if (key == servers.heartbeat_keys.end()) {
        ++servers.counters.unknown_heartbeat;
        return false;
    }
    const auto& current = *servers.servers.at(key->second);
    const auto heard = now - std::chrono::milliseconds(item.age_ms);
    const auto expires = heard + servers.options.server_lease;
    if (heard <= current.heard || expires <= now)
        return true;
    server_entry entry = current;
    entry.heard = heard;
    entry.expires = expires;
    // The load in an announcement of the agent itself is exact.
    const bool exact =
        current.direct &&
        current.heard_directly + servers.options.server_lease > now;
    if (!exact && load_step(current.last.load) != item.load_step)
        entry.last.load = load_of_step(item.load_step, current.last.load);
    put(servers, std::move(entry));
    return true;
}

actions apply_update(
    directory& servers,
    const wire::directory_update& batch,
    base::time_point now)
{
    actions out;
    const auto count = std::min(batch.changed.size(), batch.ages_ms.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::chrono::milliseconds age(batch.ages_ms[i]);
        auto more = apply_relayed(servers, batch.changed[i], age, now);
        out.insert(out.end(), more.begin(), more.end());
    }
    for (const auto& item : batch.alive)
        apply_heartbeat(servers, item, now);
    return out;
}

actions expire(directory& servers, base::time_point now)
{
    std::vector<server_entry_ptr> ended;
    for (const auto& [id, entry] : servers.servers)
        if (entry->expires <= now)
            ended.push_back(entry);
    // The order of the actions must not depend on the hash table.
    std::sort(ended.begin(), ended.end(), [](const auto& a, const auto& b) {
        return a->last.server < b->last.server;
    });
    actions out;
    for (const auto& entry : ended) {
        const auto& last = entry->last;
        record_past(servers, last, now);
        servers.heartbeat_keys.erase(
            heartbeat_key(last.server, last.agent_incarnation));
        servers.servers.erase(last.server);
        ++servers.version;
        ++servers.counters.expired;
        out.emplace_back(server_left{
            last.server, last.agent_incarnation, leave_reason::expired});
    }
    const auto retained_since = now - servers.options.past_retention;
    for (auto& [id, list] : servers.past_incarnations)
        std::erase_if(list, [&](const past_incarnation& past) {
            return past.ended <= retained_since;
        });
    std::erase_if(servers.past_incarnations, [](const auto& item) {
        return item.second.empty();
    });
    return out;
}

std::uint64_t heartbeat_key(
    const base::backend_server_id& server, base::incarnation agent_incarnation)
{
    return base::stable_hash(server.value(), agent_incarnation.value());
}

std::uint8_t load_step(const wire::load_report& load)
{
    const std::uint64_t limit = std::max<std::uint32_t>(load.limit, 1);
    if (load.in_progress < limit || load.queued == 0)
        return std::uint8_t(std::min<std::uint64_t>(
            divide_rounding_up(std::uint64_t(load.in_progress) * 8, limit), 8));
    std::uint8_t step = first_queue_step;
    for (auto bound = limit;
         step < max_load_step && std::uint64_t(load.queued) * 4 > bound;
         bound *= 2)
        ++step;
    return step;
}

wire::load_report
load_of_step(std::uint8_t step, const wire::load_report& known)
{
    const std::uint64_t limit = std::max<std::uint32_t>(known.limit, 1);
    auto load = known;
    load.queued_by_rank = {};
    step = std::min(step, max_load_step);
    if (step < first_queue_step) {
        load.in_progress = std::uint32_t(limit * step / 8);
        load.queued = 0;
        load.queued_tokens = {};
        return load;
    }
    load.in_progress = std::uint32_t(limit);
    load.queued = std::uint32_t(
        std::max<std::uint64_t>((limit << (step - first_queue_step)) / 4, 1));
    // The last step has no upper bound; twice its lower bound is used.
    if (step == max_load_step)
        load.queued = std::uint32_t(limit * 16);
    if (known.queued != 0)
        load.queued_tokens = base::token_count{
            known.queued_tokens.value() / known.queued * load.queued};
    return load;
}

} // namespace oleanderhinge::membership
