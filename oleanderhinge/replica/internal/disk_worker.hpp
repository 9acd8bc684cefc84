// The thread that writes to the disk. Log writes that wait together share one
// sync. Writes to a full disk are repeated until there is room.
//
// Example:
//   disk.add(persist);  // calls events.persisted once it is durable
#pragma once

#include "oleanderhinge/consensus/events.hpp"
#include "oleanderhinge/storage/log_store.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace oleanderhinge::replica::internal
{

// Saves a snapshot of the own state machine.
struct save_snapshot {
    consensus::snapshot_content content;
};

using disk_job = std::
    variant<consensus::persist, consensus::install_snapshot, save_snapshot>;

// Called on the disk thread.
struct disk_events {
    // All writes up to and including this one are durable.
    std::function<void(std::uint64_t write_sequence)> persisted;
    std::function<void(const consensus::snapshot_content&)> snapshot_saved;
    // The disk is full. Writes are repeated, and nothing more becomes durable
    // until `writable` is called.
    std::function<void(const std::string& reason)> refused;
    std::function<void()> writable;
    // A write or sync failed otherwise. The thread ends, and nothing more
    // becomes durable.
    std::function<void(const std::string& reason)> failed;
};

// Interval at which writes to a full disk are repeated.
inline constexpr base::duration disk_retry_interval =
    std::chrono::milliseconds(100);

class disk_worker
{
public:
    // Starts the thread. `events` are called until `stop` returns.
    disk_worker(std::unique_ptr<storage::log_store> store, disk_events events);
    ~disk_worker();
    disk_worker(const disk_worker&) = delete;
    disk_worker& operator=(const disk_worker&) = delete;

    // Thread-safe. Jobs are carried out in the order of the calls.
    void add(disk_job job);
    // Ends the thread once the jobs that it is writing are done. Jobs that
    // still wait are dropped.
    void stop();

    storage::store_counters counters() const;

private:
    void run();
    // Waits for jobs; returns false if the thread has to end.
    bool wait_for_jobs();
    bool wait_to_retry();
    // Carries out the jobs in hand. After a failure it can be called again.
    base::result<void> write();
    enum class write_state : std::uint8_t { done, no_space, failed };
    struct write_outcome {
        write_state state = write_state::done;
        // Why it is not done.
        std::string reason;
    };
    write_outcome try_write();
    base::result<void> write_one(const consensus::persist& job);
    base::result<void> write_one(const consensus::install_snapshot& job);
    base::result<void> write_one(const save_snapshot& job);
    // Syncs the log and reports the last written job as durable.
    base::result<void> sync_and_report();

    const std::unique_ptr<storage::log_store> store;
    const disk_events events;
    // Jobs that the thread has taken and not carried out yet.
    std::deque<disk_job> in_hand;
    // Write sequence numbers of the last job written and the last reported.
    std::uint64_t written_sequence = 0;
    std::uint64_t reported_sequence = 0;

    mutable std::mutex mutex;
    std::condition_variable wake;
    std::deque<disk_job> waiting;
    storage::store_counters published;
    bool stopping = false;

    std::thread thread;
};

// Conversion between entries and snapshots of consensus and those of storage.
storage::record to_record(const consensus::entry& e);
consensus::entry to_entry(storage::record r);
storage::snapshot to_stored(const consensus::snapshot_content& content);
// Fails with `malformed` if the contents do not parse.
base::result<consensus::snapshot_content>
from_stored(const storage::snapshot& s);

} // namespace oleanderhinge::replica::internal
