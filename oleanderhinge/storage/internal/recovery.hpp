// Reads the segments of a log folder at the start of a member.
#pragma once

#include "oleanderhinge/storage/internal/files.hpp"
#include "oleanderhinge/storage/record.hpp"

#include <deque>

namespace oleanderhinge::storage::internal
{

struct recovered_log {
    std::vector<segment_header> segments;
    // Records with the indexes next - records.size() .. next - 1.
    std::deque<record> records;
    base::log_index next{1};
    // Size of the last segment without the torn batch that was cut.
    std::uint64_t active_size = 0;
    std::uint64_t cut_bytes = 0;
};

// Reads all segments among `names`. Cuts a torn batch at the end of the last
// segment, and removes a last segment whose header is torn. Anything else that
// does not parse fails with `corrupt`, file, offset and reason.
base::result<recovered_log>
read_log(file_system& files, const std::vector<std::string>& names);

// Whether the log contains the entry (`last`, `last_term`) of a snapshot or
// starts right behind it. If not, an installation was interrupted and the log
// is obsolete. Fails with `corrupt` if records behind the snapshot are missing.
base::result<bool> leads_up_to(
    const recovered_log& log, base::log_index last, base::term last_term);

} // namespace oleanderhinge::storage::internal
