// The log in memory: the entries behind the last snapshot, with the
// memberships that they carry.
#pragma once

#include "oleanderhinge/consensus/messages.hpp"

#include <deque>
#include <optional>

namespace oleanderhinge::consensus
{

struct membership_record {
    log_index index;
    membership members;
};

// `entries` hold the indexes first..last without a gap; the entry before the
// first one has index `base` and term `base_term`.
struct log {
    log_index base;
    term base_term;
    std::deque<entry> entries;
    // Oldest first; the front belongs to `base` or is the initial membership.
    std::vector<membership_record> memberships;
};

log_index last_index(const log& l);
term last_term(const log& l);
// Empty if the entry is not held.
std::optional<term> term_at(const log& l, log_index index);
// `index` must be held.
const entry& entry_at(const log& l, log_index index);
const membership& current_membership(const log& l);
log_index membership_index(const log& l);
// The membership in force at `index`, which is `base` or later.
const membership& membership_at(const log& l, log_index index);

// Appends an entry whose index is `last_index` + 1. A membership takes effect
// at once, committed or not.
void append(log& l, entry e);
// Removes the entries from `from` on.
void truncate(log& l, log_index from);
// Drops the entries up to and including `up_to`, which must be held or `base`.
void compact(log& l, log_index up_to);
// Replaces everything by a snapshot.
void reset(log& l, log_index base, term base_term, membership members);
// Copies entries from `from` on within the limits; at least one if held.
std::vector<entry>
copy(const log& l, log_index from, std::size_t count, std::size_t bytes);

} // namespace oleanderhinge::consensus
