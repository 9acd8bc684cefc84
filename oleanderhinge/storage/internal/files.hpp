// Names and formats of the files in the folder of a member.
//
// - member: the disk incarnation
// - vote: term and vote
// - formation: the initial members, on a disk of a first start
// - snapshot: the newest snapshot with its index
// - log-<number>: segments of the log
// - *.tmp: unfinished replacements, removed at the start
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/storage/file_system.hpp"

#include <optional>

namespace oleanderhinge::storage::internal
{

inline constexpr const char* member_name = "member";
inline constexpr const char* formation_name = "formation";
inline constexpr const char* vote_name = "vote";
inline constexpr const char* snapshot_name = "snapshot";

// "log-" and 16 hexadecimal digits.
std::string log_name(std::uint64_t number);
// Empty if `name` is not the name of a segment.
std::optional<std::uint64_t> log_number(const std::string& name);

// Header of a segment: magic "OHL1" (4 bytes), number (8), index that the next
// record had when the segment was started (8), CRC-32C of these (4).
struct segment_header {
    std::uint64_t number = 0;
    base::log_index first;
};
inline constexpr std::size_t segment_header_size = 24;

std::string encode_header(const segment_header& header);
base::result<segment_header> decode_header(std::string_view contents);

// Checksummed contents of a file that is replaced as a whole: magic "OHF1" (4
// bytes), CRC-32C of the body (4), body.
std::string encode_file(std::string_view body);
base::result<std::string>
decode_file(const std::string& name, std::string_view contents);

// Writes `name`.tmp, syncs it, renames it and syncs the folder.
base::result<void>
replace(file_system& files, const std::string& name, std::string_view bytes);

// Removes segments, newest first with a sync of the folder each, so that after
// a stop the rest ends before the snapshot and is recognised as obsolete.
base::result<void>
remove_segments(file_system& files, const std::vector<std::uint64_t>& numbers);

} // namespace oleanderhinge::storage::internal
