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
// Informational heads (1xx) before an answer. More are an error: a server that
// sends them without end has no answer.
inline constexpr int max_informational_heads = 16;

} // namespace oleanderhinge::net
