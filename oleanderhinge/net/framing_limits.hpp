// Limits on the framing of HTTP messages that a peer writes.
//
// Example:
//   beast::flat_buffer buffer(max_unparsed_bytes);
#pragma once

#include <cstddef>

namespace oleanderhinge::net
{

// Bytes that are read and not parsed yet, beyond the limit on the head where
// there is one. A longer extension of a chunk or trailer is an error.
inline constexpr std::size_t max_unparsed_bytes = std::size_t(64) << 10;

} // namespace oleanderhinge::net
