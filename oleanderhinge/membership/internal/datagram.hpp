// Maximum size of a message that fits one datagram.
#pragma once

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <cstddef>

namespace oleanderhinge::membership::internal
{

// In bytes: a sealed frame of wire::max_datagram bytes without its header and
// HMAC tag.
inline constexpr std::size_t datagram_payload =
    wire::max_datagram - wire::header_size - sizeof(base::sha256_digest);

} // namespace oleanderhinge::membership::internal
