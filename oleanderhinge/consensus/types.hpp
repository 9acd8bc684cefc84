// Value types of the Raft implementation: log entries, members, timing, limits.
//
// Example:
//   entry e{term{3}, log_index{17}, entry_kind::command, "bytes"};
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhinge::consensus
{

using base::incarnation;
using base::log_index;
using base::term;
using base::vm_id;

enum class entry_kind : std::uint8_t {
    // Applied to the state machine.
    command,
    // Appended by a new leader at the start of its term; the payload is empty.
    no_op,
    // The payload is a `membership`, encoded by `encode_membership`.
    membership,
};

// An entry of the Raft log.
struct entry {
    base::term entry_term;
    log_index index;
    entry_kind kind = entry_kind::command;
    std::string payload;

    bool operator==(const entry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->entry_term, this->index, this->kind, this->payload);
    }
};

// A member is a VM together with one disk. A VM that lost its disk returns with
// a new disk incarnation and counts as a different member. See
// docs/decisions/0002-lost-disk.md.
struct member {
    vm_id vm;
    // Incarnation of the disk. Zero until the leader has heard from the VM;
    // until then the member is a learner.
    incarnation disk;
    // Link port and admin API. Not used by consensus; stored for its callers.
    wire::endpoint link;
    wire::endpoint admin;
    bool voter = true;
    // Set on a learner that becomes a voter once it has caught up.
    bool promote = false;

    bool operator==(const member&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->vm, this->disk, this->link, this->admin);
        archive(this->voter, this->promote);
    }
};

using membership = std::vector<member>;

// Required for safe leases (design section 9):
//   heartbeat_interval x 3 < lease_duration, and
//   lease_duration + clock margin < election_timeout_min.
// settings/timing.cpp checks both; this component does not.
struct timing {
    base::duration heartbeat_interval = std::chrono::milliseconds(150);
    base::duration lease_duration = std::chrono::milliseconds(700);
    base::duration election_timeout_min = std::chrono::milliseconds(1000);
    base::duration election_timeout_max = std::chrono::milliseconds(2000);
};

// Bounds on memory and message sizes. Bytes of entries are those of their
// payloads.
struct limits {
    // Limits of one append_request. An entry above the byte limit is sent in
    // a message of its own.
    std::size_t max_append_entries = 1024;
    std::size_t max_append_bytes = std::size_t(1) << 20;
    // No further entries are sent to a follower while this much is sent and
    // unacknowledged. The last message may exceed the limit.
    std::size_t max_in_flight_entries = 8192;
    std::size_t max_in_flight_bytes = std::size_t(4) << 20;
    // Snapshot bytes in one snapshot_chunk.
    std::size_t max_chunk_bytes = std::size_t(1) << 20;
    // Larger commands are rejected with `too_large`. Together with the message
    // header a command fits into one frame (wire::max_payload).
    std::size_t max_command_bytes = std::size_t(3) << 20;
    // Chunks of a larger snapshot are ignored by the receiver.
    std::size_t max_snapshot_bytes = std::size_t(256) << 20;
    // The leader rejects proposals with `busy` above this many entries that
    // are appended and not committed.
    std::size_t max_uncommitted_entries = 65536;
    // A learner counts as caught up if its log ends at most this many entries
    // before the leader's.
    std::uint64_t promotion_distance = 64;
    // Entries up to the snapshot that stay in memory, so that followers that
    // lag a little need no snapshot.
    std::uint64_t trailing_entries = 4096;
    // Largest size of their payloads together.
    std::size_t trailing_bytes = std::size_t(8) << 20;
};

} // namespace oleanderhinge::consensus
