#include "oleanderhinge/membership/shared_directory.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace oleanderhinge::membership
{

struct shared_directory::shard {
    std::mutex mutex;
    directory servers;
    // Snapshot of `servers` when its version was `part_version`.
    std::shared_ptr<const directory_part> part;
    std::uint64_t part_version = 0;
};

namespace
{

void append(
    std::vector<directory_action>& to, std::vector<directory_action> more)
{
    to.insert(
        to.end(),
        std::make_move_iterator(more.begin()),
        std::make_move_iterator(more.end()));
}

void add(directory_counters& sum, const directory_counters& more)
{
    sum.accepted += more.accepted;
    sum.old_sequence += more.old_sequence;
    sum.old_incarnation += more.old_incarnation;
    sum.expired_on_arrival += more.expired_on_arrival;
    sum.unknown_heartbeat += more.unknown_heartbeat;
    sum.refused_full += more.refused_full;
    sum.expired += more.expired;
}

} // namespace

shared_directory::shared_directory(
    const directory_options& options, std::size_t count)
{
    count = std::max<std::size_t>(count, 1);
    auto part = options;
    part.max_servers = (options.max_servers + count - 1) / count;
    for (std::size_t i = 0; i < count; ++i) {
        this->shards.push_back(std::make_unique<shard>());
        this->shards.back()->servers.options = part;
    }
}

shared_directory::~shared_directory() = default;

shared_directory::shard&
shared_directory::shard_of(const base::backend_server_id& server) const
{
    const auto hash = std::hash<base::backend_server_id>{}(server);
    return *this->shards[hash % this->shards.size()];
}

std::vector<directory_action> shared_directory::apply_announcement(
    const wire::announcement& item, base::time_point now)
{
    auto& target = this->shard_of(item.server);
    const std::lock_guard lock(target.mutex);
    auto actions = membership::apply_announcement(target.servers, item, now);
    this->version.fetch_add(1, std::memory_order_release);
    return actions;
}

std::vector<directory_action> shared_directory::apply_update(
    const wire::directory_update& batch, base::time_point now)
{
    std::vector<directory_action> actions;
    const auto count = std::min(batch.changed.size(), batch.ages_ms.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto& target = this->shard_of(batch.changed[i].server);
        const std::chrono::milliseconds age(batch.ages_ms[i]);
        const std::lock_guard lock(target.mutex);
        append(
            actions, apply_relayed(target.servers, batch.changed[i], age, now));
        this->version.fetch_add(1, std::memory_order_release);
    }
    // A heartbeat does not contain the server's name, so every shard is
    // searched for all of them. A key that is missing in one shard may be in
    // another, so unknown keys are counted here and not by the shards.
    std::vector<bool> known(batch.alive.size());
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        for (std::size_t i = 0; i < batch.alive.size(); ++i)
            if (!known[i] &&
                target->servers.heartbeat_keys.contains(batch.alive[i].key))
                known[i] =
                    apply_heartbeat(target->servers, batch.alive[i], now);
        this->version.fetch_add(1, std::memory_order_release);
    }
    this->unknown_heartbeats.fetch_add(
        std::uint64_t(std::count(known.begin(), known.end(), false)),
        std::memory_order_relaxed);
    return actions;
}

std::vector<directory_action> shared_directory::expire(base::time_point now)
{
    std::vector<directory_action> actions;
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        auto more = membership::expire(target->servers, now);
        if (!more.empty())
            this->version.fetch_add(1, std::memory_order_release);
        append(actions, std::move(more));
    }
    return actions;
}

std::shared_ptr<const directory_snapshot> shared_directory::snapshot() const
{
    const auto wanted = this->version.load(std::memory_order_acquire);
    {
        const std::lock_guard lock(this->latest_mutex);
        if (this->latest_version >= wanted)
            return this->latest;
    }
    auto view = std::make_shared<directory_snapshot>();
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        if (!target->part || target->part_version != target->servers.version) {
            target->part = std::make_shared<const directory_part>(
                take_part(target->servers));
            target->part_version = target->servers.version;
        }
        view->parts.push_back(target->part);
        view->highest_config =
            std::max(view->highest_config, target->servers.highest_config);
    }
    const std::lock_guard lock(this->latest_mutex);
    // Another thread may have stored a newer snapshot in the meantime.
    if (wanted > this->latest_version) {
        this->latest = view;
        this->latest_version = wanted;
    }
    return view;
}

base::revision shared_directory::highest_config() const
{
    base::revision highest;
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        highest = std::max(highest, target->servers.highest_config);
    }
    return highest;
}

directory_counters shared_directory::counters() const
{
    directory_counters sum;
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        add(sum, target->servers.counters);
    }
    sum.unknown_heartbeat +=
        this->unknown_heartbeats.load(std::memory_order_relaxed);
    return sum;
}

std::size_t shared_directory::count_unknown_heartbeats(
    const wire::directory_update& batch) const
{
    std::vector<bool> known(batch.alive.size());
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        for (std::size_t i = 0; i < batch.alive.size(); ++i)
            if (target->servers.heartbeat_keys.contains(batch.alive[i].key))
                known[i] = true;
    }
    return std::size_t(std::count(known.begin(), known.end(), false));
}

std::size_t shared_directory::size() const
{
    std::size_t total = 0;
    for (const auto& target : this->shards) {
        const std::lock_guard lock(target->mutex);
        total += target->servers.servers.size();
    }
    return total;
}

} // namespace oleanderhinge::membership
