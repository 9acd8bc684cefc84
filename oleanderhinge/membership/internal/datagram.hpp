// Bytes of a message that fit one datagram.
#pragma once

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <cstddef>

namespace oleanderhinge::membership::internal
{

// Payload of a sealed frame of wire::max_datagram bytes: without the header
// and the HMAC tag.
inline constexpr std::size_t datagram_payload =
    wire::max_datagram - wire::header_size - sizeof(base::sha256_digest);

} // namespace oleanderhinge::membership::internal
