// Encoding of the whole replicated state for snapshots.
//
// Example:
//   std::string bytes = encode_snapshot(state);
//   result<state> copy = decode_snapshot(bytes);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/control_state/state.hpp"

#include <string>
#include <string_view>

namespace oleanderhinge::control_state
{

// Returns the magic "OHCS", the format version, the encoded state and the
// CRC-32C of everything before it.
std::string encode_snapshot(const state& from);

// Fails with `malformed` (not a snapshot, or not decodable), `corrupt` (wrong
// checksum, or a state with too many entries or with inconsistent revisions) or
// `unsupported_version`.
base::result<state> decode_snapshot(std::string_view bytes);

} // namespace oleanderhinge::control_state
