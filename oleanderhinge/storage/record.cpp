#include "oleanderhinge/storage/record.hpp"

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <cstring>

namespace oleanderhinge::storage
{

namespace
{

constexpr std::string_view batch_magic = "OHB1";

// Checksum of a batch: over its place, its length and the checksum of the
// body.
std::uint32_t
checksum(std::uint64_t segment, std::uint64_t offset, std::string_view body)
{
    const std::uint64_t parts[] = {
        segment, offset, body.size(), base::crc32c(body)};
    char bytes[sizeof(parts)];
    std::memcpy(bytes, parts, sizeof(parts));
    return base::crc32c(std::string_view(bytes, sizeof(bytes)));
}

void put(std::string& out, std::uint32_t value)
{
    out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

std::uint32_t get(std::string_view in, std::size_t offset)
{
    std::uint32_t value = 0;
    std::memcpy(&value, in.data() + offset, sizeof(value));
    return value;
}

} // namespace

std::string encode_batch(
    std::uint64_t segment,
    std::uint64_t offset,
    const std::vector<record>& records)
{
    const auto body = wire::to_bytes(records);
    std::string out;
    out.reserve(batch_header_size + body.size());
    out += batch_magic;
    put(out, std::uint32_t(body.size()));
    put(out, checksum(segment, offset, body));
    out += body;
    return out;
}

base::result<decoded_batch> decode_batch(
    std::uint64_t segment, std::uint64_t offset, std::string_view contents)
{
    const auto bad = [](const char* reason) {
        return base::fail(base::error_code::corrupt, reason);
    };
    if (offset > contents.size())
        return bad("offset behind the end");
    const auto rest = contents.substr(offset);
    if (rest.size() < batch_header_size)
        return bad("truncated header");
    if (!rest.starts_with(batch_magic))
        return bad("wrong magic");
    const std::size_t length = get(rest, 4);
    if (length > rest.size() - batch_header_size)
        return bad("length exceeds the file");
    const auto body = rest.substr(batch_header_size, length);
    if (get(rest, 8) != checksum(segment, offset, body))
        return bad("wrong checksum");
    BOOST_LEAF_AUTO(records, wire::from_bytes<std::vector<record>>(body));
    return decoded_batch{std::move(records), batch_header_size + length};
}

bool has_batch_behind(
    std::uint64_t segment, std::uint64_t offset, std::string_view contents)
{
    auto at = contents.find(batch_magic, offset + 1);
    while (at != std::string_view::npos) {
        const bool valid = base::handle(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode_batch(segment, at, contents));
                return true;
            },
            [](const base::error&) { return false; });
        if (valid)
            return true;
        at = contents.find(batch_magic, at + 1);
    }
    return false;
}

} // namespace oleanderhinge::storage
