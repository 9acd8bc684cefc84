// Hashes: a stable one for placement, and HMAC-SHA256 for authentication.
//
// Example:
//   auto tag = hmac_sha256(secret, "hello");
//   if (!equal_constant_time(tag, received)) ...
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oleanderhinge::base
{

using sha256_digest = std::array<std::uint8_t, 32>;

// A 64-bit hash that is the same in every process and version; not for
// untrusted keys in hash tables.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

sha256_digest sha256(std::string_view data);
sha256_digest hmac_sha256(std::string_view key, std::string_view data);

// Compares in a time that does not depend on the contents.
bool equal_constant_time(const sha256_digest& a, const sha256_digest& b);

// CRC-32C (Castagnoli) of `data`, for records on disk.
std::uint32_t crc32c(std::string_view data);

} // namespace oleanderhinge::base
