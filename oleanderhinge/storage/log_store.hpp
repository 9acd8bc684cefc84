// The durable state of one member: log, snapshot, vote and disk incarnation.
//
// Records are collected by `append` and `truncate_from` and written by `sync`
// as one checksummed batch with one sync of the file. At most one batch is ever
// unsynced, so a bad batch with a good one behind it is damage, and a bad batch
// at the end of the last segment is a torn write.
//
// Example:
//   BOOST_LEAF_AUTO(opened, log_store::open(*files, {}, seed));
//   opened.store->append({index, term, 0, "bytes"});
//   BOOST_LEAF_CHECK(opened.store->sync());  // now it may be acknowledged
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/storage/file_system.hpp"
#include "oleanderhinge/storage/internal/files.hpp"
#include "oleanderhinge/storage/record.hpp"

#include <memory>
#include <optional>

namespace oleanderhinge::storage
{

struct vote {
    base::term current;
    base::vm_id voted_for;

    bool operator==(const vote&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->current, this->voted_for);
    }
};

struct snapshot {
    base::log_index last;
    base::term last_term;
    std::string data;

    bool operator==(const snapshot&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->last, this->last_term, this->data);
    }
};

struct store_options {
    // A segment that reached this size is followed by a new one.
    std::uint64_t segment_bytes = std::uint64_t(4) << 20;
};

struct store_counters {
    std::uint64_t syncs = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t segments = 0;
};

class log_store;

// What the folder holds.
struct recovered_state {
    base::incarnation disk;
    // The folder was empty; `disk` was drawn now.
    bool fresh = false;
    storage::vote vote;
    std::optional<storage::snapshot> snapshot;
    // Behind the snapshot, without a gap.
    std::vector<record> records;
    // Size of a torn batch that was cut.
    std::uint64_t cut_bytes = 0;
};

// Used by one thread. After an error the store refuses all calls, since the
// state of the file is unknown, until the folder is opened again or, if the
// disk was full, `repair` has succeeded.
class log_store
{
public:
    struct opened;

    // Recovers the folder. Fails with `corrupt` and file, offset and reason on
    // damage that is not a torn write. `disk` is the incarnation that a fresh
    // folder gets; it must be random and not zero.
    static base::result<opened>
    open(file_system& files, store_options options, base::incarnation disk);

    void append(record r);
    // Removes all records with an index of `from` and above.
    void truncate_from(base::log_index from);
    // Writes what was collected; durable on success. Without collected records
    // it does nothing.
    base::result<void> sync();
    // Durable on success.
    base::result<void> save_vote(const vote& v);
    // Durable on success; removes segments that the snapshot covers. Nothing
    // may be collected at the time of the call.
    base::result<void> save_snapshot(const snapshot& s);
    // Like `save_snapshot`, and drops the whole log: the snapshot came from
    // the leader and the log does not lead up to it.
    base::result<void> install_snapshot(const snapshot& s);

    // After a call that failed with `no_space`: cuts off what was written since
    // the last successful call, which was never reported as durable, and
    // accepts calls again. The failed call can then be repeated; collected
    // records are kept for `sync`.
    base::result<void> repair();

    const store_counters& counters() const { return this->counts; }

private:
    log_store(file_system& files_in, store_options options_in)
        : files(files_in)
        , options(options_in)
    {
    }

    base::result<void> start_segment();
    base::result<void> write_batch();
    base::result<void>
    replace_file(const std::string& name, std::string_view body);
    base::result<void>
    recover_log(const std::vector<std::string>& names, recovered_state& state);
    base::result<void> remove_covered(base::log_index last);
    base::result<void> remove_all_segments();
    base::result<void> usable() const;
    base::result<void> track(base::result<void> outcome);

    file_system& files;
    store_options options;
    std::vector<internal::segment_header> segments;
    std::unique_ptr<file> active;
    std::uint64_t active_size = 0;
    std::vector<record> collected;
    base::log_index last;
    bool failed = false;
    store_counters counts;
};

struct log_store::opened {
    std::unique_ptr<log_store> store;
    recovered_state state;
};

} // namespace oleanderhinge::storage
