// A thread-safe directory: sharded by server, with a lock for each shard, and
// with immutable snapshots for the router.
//
// A change locks one shard at a time. A snapshot reuses the parts of the shards
// that have not changed since the last one, so its cost is proportional to the
// changed shards. If nothing has changed, it takes one lock to copy a pointer.
//
// Example:
//   shared_directory servers{directory_options{}, 8};
//   auto actions = servers.apply_announcement(announcement, now);
//   auto view = servers.snapshot();
//   for (const auto& e : servers_of_model(*view, model, "v3", now)) ...
#pragma once

#include "oleanderhinge/membership/directory.hpp"
#include "oleanderhinge/membership/directory_query.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace oleanderhinge::membership
{

// Thread-safe.
class shared_directory
{
public:
    // `options.max_servers` is divided among the shards, rounded up. There is
    // at least one shard.
    shared_directory(const directory_options& options, std::size_t shards);
    ~shared_directory();
    shared_directory(const shared_directory&) = delete;
    shared_directory& operator=(const shared_directory&) = delete;

    // Commands, see directory.hpp.

    std::vector<directory_action>
    apply_announcement(const wire::announcement& item, base::time_point now);
    std::vector<directory_action>
    apply_update(const wire::directory_update& batch, base::time_point now);
    std::vector<directory_action> expire(base::time_point now);

    // Queries.

    // The current state; never null. Includes all changes that returned before
    // the call. Rebuilds the parts of changed shards.
    std::shared_ptr<const directory_snapshot> snapshot() const;
    base::revision highest_config() const;
    directory_counters counters() const;
    // Number of heartbeats in a batch whose servers are not in the directory.
    std::size_t
    count_unknown_heartbeats(const wire::directory_update& batch) const;
    std::size_t size() const;

private:
    struct shard;

    shard& shard_of(const base::backend_server_id& server) const;

    std::vector<std::unique_ptr<shard>> shards;
    // Increases with each change of any shard, under that shard's lock, so that
    // a reader that has seen a change does not get an older cached snapshot.
    std::atomic<std::uint64_t> version{1};
    std::atomic<std::uint64_t> unknown_heartbeats{0};
    // Guards `latest` and `latest_version`; never held with a shard's lock.
    mutable std::mutex latest_mutex;
    mutable std::shared_ptr<const directory_snapshot> latest;
    mutable std::uint64_t latest_version = 0;
};

} // namespace oleanderhinge::membership
