// Frames: one message with its header, for TCP links and UDP datagrams.
//
// Layout, little endian: magic "OH" (2 bytes), version (1), type (1), length of
// the payload (4), hybrid clock stamp (8), payload.
//
// Example:
//   std::string frame = encode(ping{7}, stamp{clock});
//   result<decoded> d = decode(frame);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderhinge::wire
{

inline constexpr std::uint8_t protocol_version = 2;
inline constexpr std::size_t header_size = 16;
// Largest payload in bytes. A configuration of 10,000 customers takes about
// 1.5 MB.
inline constexpr std::size_t max_payload = std::size_t(4) << 20;
// Largest payload of a datagram; fits an Ethernet frame with the HMAC tag.
inline constexpr std::size_t max_datagram = 1400;

using base::stamp;

struct frame_header {
    std::uint8_t type = 0;
    std::uint32_t payload_size = 0;
    stamp sent;
};

struct decoded {
    message content;
    stamp sent;
};

// Serializes header and payload.
std::string encode(const message& content, stamp sent);

// Parses the first `header_size` bytes; fails on a wrong magic, an unknown
// version or a payload above `max_payload`.
base::result<frame_header> decode_header(std::string_view bytes);

// Parses a payload of the given type.
base::result<message> decode_payload(std::uint8_t type, std::string_view bytes);

// Parses a whole frame; fails if bytes are missing or left over.
base::result<decoded> decode(std::string_view frame);

// A frame with an HMAC-SHA256 tag by `secret` behind it, for datagrams.
std::string seal(std::string_view secret, const message& content, stamp sent);

// Checks the tag and parses the frame; fails with `unauthenticated` if the
// tag does not match.
base::result<decoded>
unseal(std::string_view secret, std::string_view datagram);

// Name of the message's type, for logs and metrics.
const char* type_name(const message& content);

} // namespace oleanderhinge::wire
