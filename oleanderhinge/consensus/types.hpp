// Value types of the consensus component: log entries, members, limits.
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
    // For the state machine.
    command,
    // Opens the term of a leader; carries nothing.
    no_op,
    // A `membership` in the encoding of wire/archive.hpp.
    membership,
};

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

// A member is a VM with one disk: after the loss of the disk, the VM comes back
// with a new incarnation and is another member. See
// docs/decisions/0002-lost-disk.md.
struct member {
    vm_id vm;
    // Zero while the leader has not heard from the VM; such a member is a
    // learner.
    incarnation disk;
    // Link port and admin API, passed through for the components above.
    wire::endpoint link;
    wire::endpoint admin;
    bool voter = true;
    // A learner that becomes a voter once it has caught up.
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

// Relations (design section 9): heartbeat x 3 < lease, and
// lease + margin < election_min.
struct timing {
    base::duration heartbeat = std::chrono::milliseconds(150);
    base::duration lease = std::chrono::milliseconds(700);
    base::duration election_min = std::chrono::milliseconds(1000);
    base::duration election_max = std::chrono::milliseconds(2000);
};

struct limits {
    // Per message of entries. One larger entry travels alone.
    std::size_t append_entries = 1024;
    std::size_t append_bytes = std::size_t(1) << 20;
    // Per follower, sent and not yet acknowledged.
    std::size_t in_flight_entries = 8192;
    std::size_t in_flight_bytes = std::size_t(4) << 20;
    // Snapshot bytes in one message.
    std::size_t chunk_bytes = std::size_t(1) << 20;
    // Largest command; with its header it fits a frame (wire::max_payload).
    std::size_t command_bytes = std::size_t(3) << 20;
    // Largest snapshot that a follower accepts.
    std::size_t snapshot_bytes = std::size_t(256) << 20;
    // Entries that the leader has appended and not committed.
    std::size_t uncommitted_entries = 65536;
    // A learner counts as caught up within this distance of the last index.
    std::uint64_t promotion_distance = 64;
    // Entries kept in memory behind a snapshot for followers that lag.
    std::uint64_t trailing_entries = 4096;
};

} // namespace oleanderhinge::consensus
