#include "oleanderhinge/wire/frame.hpp"

#include <array>
#include <cstring>
#include <utility>

namespace oleanderhinge::wire
{

namespace
{

constexpr std::array<const char*, std::variant_size_v<message>> type_names = {
    "hello",
    "proof",
    "ping",
    "pong",
    "go_away",
    "open_attempt",
    "attempt_granted",
    "attempt_refused",
    "start_attempt",
    "layer_step",
    "step_ack",
    "token",
    "attempt_failed",
    "close_attempt",
    "attempt_closed",
    "call",
    "call_result",
    "cancel_call",
    "announcement",
    "announcement_ack",
    "directory_update",
    "subscribe",
    "subscribe_redirect",
    "config_update",
    "config_confirm",
    "claim_request",
    "claim_reply",
    "outcome_report",
    "outcome_ack",
    "consensus_message",
    "model_summary",
    "entry_heartbeat",
    "server_batch",
    "control_group",
    "join_request",
    "server_suspicion",
    "server_loads",
    "server_numbers",
    "server_refresh",
    "crash_evidence",
    "server_limits",
    "permit_demand",
    "permit_grant",
};

using payload_decoder = base::result<message> (*)(std::string_view);

template <std::size_t Type>
base::result<message> decode_as(std::string_view bytes)
{
    using content = std::variant_alternative_t<Type, message>;
    BOOST_LEAF_AUTO(value, from_bytes<content>(bytes));
    return message{std::move(value)};
}

template <std::size_t... Types>
constexpr auto make_decoders(std::index_sequence<Types...>)
{
    return std::array<payload_decoder, sizeof...(Types)>{&decode_as<Types>...};
}

constexpr auto decoders =
    make_decoders(std::make_index_sequence<std::variant_size_v<message>>{});

template <class T>
T read_integer(std::string_view bytes, std::size_t offset)
{
    T value;
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return value;
}

} // namespace

std::string encode(const message& content, stamp sent)
{
    std::string frame;
    output_archive archive(frame);
    archive('O', 'H', protocol_version, std::uint8_t(content.index()));
    archive(std::uint32_t(0), sent.value());
    std::visit([&](const auto& value) { archive(value); }, content);
    const auto size = std::uint32_t(frame.size() - header_size);
    std::memcpy(frame.data() + 4, &size, sizeof(size));
    return frame;
}

base::result<frame_header> decode_header(std::string_view bytes)
{
    if (bytes.size() < header_size)
        return base::fail(base::error_code::malformed, "header is truncated");
    if (bytes[0] != 'O' || bytes[1] != 'H')
        return base::fail(base::error_code::malformed, "wrong magic");
    const auto version = std::uint8_t(bytes[2]);
    if (version != protocol_version)
        return base::fail(
            base::error_code::unsupported_version,
            "version " + std::to_string(version) + ", expected " +
                std::to_string(protocol_version));
    const frame_header header{
        std::uint8_t(bytes[3]),
        read_integer<std::uint32_t>(bytes, 4),
        stamp{read_integer<std::uint64_t>(bytes, 8)}};
    if (header.payload_size > max_payload)
        return base::fail(
            base::error_code::too_large,
            "payload of " + std::to_string(header.payload_size) +
                " bytes, limit " + std::to_string(max_payload));
    return header;
}

base::result<message> decode_payload(std::uint8_t type, std::string_view bytes)
{
    if (type >= decoders.size())
        return base::fail(
            base::error_code::malformed,
            "unknown message type " + std::to_string(type));
    return decoders[type](bytes);
}

base::result<decoded> decode(std::string_view frame)
{
    BOOST_LEAF_AUTO(header, decode_header(frame));
    frame.remove_prefix(header_size);
    if (frame.size() != header.payload_size)
        return base::fail(
            base::error_code::malformed,
            "payload of " + std::to_string(frame.size()) + " bytes, header " +
                "states " + std::to_string(header.payload_size));
    BOOST_LEAF_AUTO(content, decode_payload(header.type, frame));
    return decoded{std::move(content), header.sent};
}

std::string seal(std::string_view secret, const message& content, stamp sent)
{
    std::string datagram = encode(content, sent);
    const auto tag = base::hmac_sha256(secret, datagram);
    datagram.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    return datagram;
}

base::result<decoded> unseal(std::string_view secret, std::string_view datagram)
{
    base::sha256_digest tag;
    if (datagram.size() < tag.size())
        return base::fail(base::error_code::malformed, "datagram too short");
    const auto frame = datagram.substr(0, datagram.size() - tag.size());
    std::memcpy(tag.data(), datagram.data() + frame.size(), tag.size());
    if (!base::equal_constant_time(tag, base::hmac_sha256(secret, frame)))
        return base::fail(base::error_code::unauthenticated, "wrong HMAC tag");
    return decode(frame);
}

const char* type_name(const message& content)
{
    return type_names[content.index()];
}

} // namespace oleanderhinge::wire
