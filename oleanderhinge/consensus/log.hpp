// The in-memory part of the Raft log: the entries after the compacted prefix,
// and the memberships in force along them.
//
// Example:
//   append(l, {term{3}, last_index(l).next(), entry_kind::command, "x"});
//   compact(l, snapshot_index);
#pragma once

#include "oleanderhinge/consensus/messages.hpp"

#include <deque>
#include <optional>

namespace oleanderhinge::consensus
{

// A membership and the index of the entry or snapshot that holds it.
struct membership_record {
    log_index index;
    membership members;
};

// `entries` holds the indexes from `base` + 1 to the last one without a gap.
// The entry at `base`, which is compacted away, has the term `base_term`.
struct log {
    log_index base;
    term base_term;
    std::deque<entry> entries;
    // Oldest first and never empty. The front is the membership in force at
    // `base`, with index zero if it is in no entry or snapshot yet.
    std::vector<membership_record> memberships;
};

// Index and term of the last entry; those of `base` if there are no entries.
log_index last_index(const log& l);
term last_term(const log& l);
// Empty if `index` is before `base` or after the last index.
std::optional<term> term_at(const log& l, log_index index);
// `index` must be after `base` and not after the last index.
const entry& entry_at(const log& l, log_index index);
// The newest membership, committed or not.
const membership& current_membership(const log& l);
// Index of the entry or snapshot that holds the newest membership; zero if it
// is in neither.
log_index membership_index(const log& l);
// The membership in force at `index`, which must not be before `base`.
const membership& membership_at(const log& l, log_index index);

// Appends an entry, whose index must be `last_index` + 1. A membership takes
// effect at once, before it is committed.
void append(log& l, entry e);
// Removes the entries at `from` and after it, with their memberships.
void truncate(log& l, log_index from);
// Removes the entries up to and including `up_to`, which must not be after the
// last index. Does nothing if they are compacted already.
void compact(log& l, log_index up_to);
// Replaces the whole log by a snapshot at `base`.
void reset(log& l, log_index base, term base_term, membership members);
// Copies entries from `from` on, up to `count` entries and `bytes` of payload.
// The first entry is copied even if it is larger than `bytes`.
std::vector<entry>
copy(const log& l, log_index from, std::size_t count, std::size_t bytes);

} // namespace oleanderhinge::consensus
