// The directory for several threads: shards by server, each under its own
// lock, and immutable snapshots for the router.
//
// Changes lock one shard. A snapshot shares the parts of the shards that have
// not changed since the last one, so its cost follows what changed; a caller
// that needs no newer state takes one lock for the copy of a pointer.
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
    // `options.max_servers` is divided among the shards.
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

    // The present state. Rebuilds the parts of changed shards; never null. All
    // changes that returned before the call are in it.
    std::shared_ptr<const directory_snapshot> snapshot() const;
    base::revision highest_config() const;
    directory_counters counters() const;
    // Heartbeats of a batch whose servers are not known here.
    std::size_t unknown_in(const wire::directory_update& batch) const;
    std::size_t size() const;

private:
    struct shard;

    shard& shard_of(const base::backend_server_id& server) const;

    std::vector<std::unique_ptr<shard>> shards;
    // Grows with each change of any shard, under that shard's lock, so that a
    // reader that has seen a change does not get an older cached view.
    std::atomic<std::uint64_t> version{1};
    std::atomic<std::uint64_t> unknown_heartbeats{0};
    // Guards `latest` and `latest_version`; never held with a shard's lock.
    mutable std::mutex latest_mutex;
    mutable std::shared_ptr<const directory_snapshot> latest;
    mutable std::uint64_t latest_version = 0;
};

} // namespace oleanderhinge::membership
