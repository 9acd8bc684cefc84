#include "oleanderhinge/storage/internal/files.hpp"

#include "oleanderhinge/base/hash.hpp"

#include <charconv>
#include <cstdio>
#include <cstring>

namespace oleanderhinge::storage::internal
{

namespace
{

constexpr std::string_view segment_magic = "OHL1";
constexpr std::string_view file_magic = "OHF1";
constexpr std::string_view log_prefix = "log-";

template <class T>
void put(std::string& out, T value)
{
    out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <class T>
T get(std::string_view in, std::size_t offset)
{
    T value{};
    std::memcpy(&value, in.data() + offset, sizeof(value));
    return value;
}

} // namespace

std::string log_name(std::uint64_t number)
{
    char digits[17];
    std::snprintf(
        digits, sizeof(digits), "%016llx", (unsigned long long)number);
    return std::string(log_prefix) + digits;
}

std::optional<std::uint64_t> log_number(const std::string& name)
{
    if (!name.starts_with(log_prefix))
        return std::nullopt;
    std::uint64_t number = 0;
    const char* begin = name.data() + log_prefix.size();
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(begin, end, number, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

std::string encode_header(const segment_header& header)
{
    std::string out(segment_magic);
    put(out, header.number);
    put(out, header.first.value());
    put(out, base::crc32c(out));
    return out;
}

base::result<segment_header> decode_header(std::string_view contents)
{
    const auto bad = [](const char* reason) {
        return base::fail(base::error_code::corrupt, reason);
    };
    if (contents.size() < segment_header_size)
        return bad("truncated segment header");
    if (!contents.starts_with(segment_magic))
        return bad("wrong magic of the segment");
    const auto checked = contents.substr(0, segment_header_size - 4);
    if (get<std::uint32_t>(contents, checked.size()) != base::crc32c(checked))
        return bad("wrong checksum of the segment header");
    return segment_header{
        get<std::uint64_t>(contents, 4),
        base::log_index{get<std::uint64_t>(contents, 12)}};
}

std::string encode_file(std::string_view body)
{
    std::string out(file_magic);
    put(out, base::crc32c(body));
    out += body;
    return out;
}

base::result<std::string>
decode_file(const std::string& name, std::string_view contents)
{
    const std::size_t header = file_magic.size() + sizeof(std::uint32_t);
    if (contents.size() < header || !contents.starts_with(file_magic))
        return base::fail(
            base::error_code::corrupt, name + " at offset 0: wrong header");
    const auto body = contents.substr(header);
    if (get<std::uint32_t>(contents, file_magic.size()) != base::crc32c(body))
        return base::fail(
            base::error_code::corrupt, name + " at offset 8: wrong checksum");
    return std::string(body);
}

base::result<void>
replace(file_system& files, const std::string& name, std::string_view bytes)
{
    const auto temporary = name + ".tmp";
    {
        BOOST_LEAF_AUTO(created, files.create(temporary));
        BOOST_LEAF_CHECK(created->write(bytes));
        BOOST_LEAF_CHECK(created->sync());
    }
    BOOST_LEAF_CHECK(files.rename(temporary, name));
    return files.sync_folder();
}

base::result<void>
remove_segments(file_system& files, const std::vector<std::uint64_t>& numbers)
{
    for (auto n = numbers.rbegin(); n != numbers.rend(); ++n) {
        BOOST_LEAF_CHECK(files.remove(log_name(*n)));
        BOOST_LEAF_CHECK(files.sync_folder());
    }
    return {};
}

} // namespace oleanderhinge::storage::internal
