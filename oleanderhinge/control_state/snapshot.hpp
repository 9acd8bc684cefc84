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

// Magic "OHCS", format version, state, CRC-32C of everything before it.
std::string encode_snapshot(const state& from);

// Fails with `malformed`, `corrupt` or `unsupported_version`; never returns a
// state that breaks the invariants of state.hpp.
base::result<state> decode_snapshot(std::string_view bytes);

} // namespace oleanderhinge::control_state
