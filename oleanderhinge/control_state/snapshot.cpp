#include "oleanderhinge/control_state/snapshot.hpp"

#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/control_state/internal/sizes.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <cereal/types/deque.hpp>

#include <cstring>
#include <utility>

namespace oleanderhinge::control_state
{

namespace
{

constexpr std::string_view magic = "OHCS";
constexpr std::uint8_t format_version = 3;
// The same without `state::ended_servers`.
constexpr std::uint8_t format_before_ended_servers = 2;
constexpr std::size_t prefix_size = 5;
constexpr std::size_t checksum_size = 4;

// Reads or writes the fields in the order of the format. The byte counts are
// not stored; `parse` computes them from the contents.
template <class Archive, class State>
void archive_state(Archive& archive, State& value, std::uint8_t version)
{
    archive(value.applied, value.clock_ms, value.config, value.changes);
    archive(value.changes_after, value.removals, value.removals_after);
    archive(value.plans, value.claims, value.claims_after_ms);
    archive(value.forwarding_document, value.places);
    if (version > format_before_ended_servers)
        archive(value.ended_servers);
}

// Describes the invariant that a plan of `decoded` breaks; null if none does.
const char* broken_plan_invariant(const state& decoded)
{
    for (const auto& [id, kept] : decoded.plans) {
        if (kept.id != id)
            return "the key of a plan differs from its id";
        if (kept.status > plan_status::conflicted)
            return "the status of a plan is unknown";
        if (kept.base_revision > decoded.config.at ||
            kept.confirmed_at > decoded.config.at)
            return "a plan is newer than the configuration";
    }
    return nullptr;
}

// Describes the invariant that `decoded` breaks; null if it breaks none.
const char* broken_invariant(const state& decoded)
{
    if (decoded.changes.size() > max_kept_changes)
        return "too many changes";
    if (decoded.plans.size() > max_plans)
        return "too many plans";
    if (decoded.removals.size() > max_removals)
        return "too many removals";
    if (decoded.ended_servers.size() > max_ended_servers)
        return "too many ended servers";
    if (decoded.changes_after > decoded.config.at ||
        decoded.removals_after > decoded.config.at)
        return "dropped changes are newer than the configuration";
    auto last = decoded.changes_after.next();
    for (const auto& [at, item] : decoded.changes) {
        if (at < last || at > decoded.config.at)
            return "the changes are not in order";
        last = at;
    }
    for (const auto& [name, at] : decoded.removals)
        if (at > decoded.config.at)
            return "a removal is newer than the configuration";
    return broken_plan_invariant(decoded);
}

base::result<state> parse(std::string_view bytes, std::uint8_t version)
{
    state decoded;
    try {
        wire::input_archive archive(bytes);
        archive_state(archive, decoded, version);
        if (archive.remaining() != 0)
            return base::fail(
                base::error_code::malformed,
                "snapshot: trailing bytes after the state");
    } catch (const std::exception& e) {
        return base::fail(
            base::error_code::malformed, std::string("snapshot: ") + e.what());
    }
    if (const char* broken = broken_invariant(decoded))
        return base::fail(
            base::error_code::corrupt, std::string("snapshot: ") + broken);
    for (const auto& [id, kept] : decoded.plans)
        decoded.plan_bytes += internal::size_of(kept);
    for (const auto& [key, kept] : decoded.claims)
        decoded.claim_bytes += internal::size_of(key, kept);
    return decoded;
}

} // namespace

std::string encode_snapshot(const state& from)
{
    std::string bytes(magic);
    bytes.push_back(char(format_version));
    wire::output_archive archive(bytes);
    archive_state(archive, from, format_version);
    const std::uint32_t checksum = base::crc32c(bytes);
    archive(checksum);
    return bytes;
}

base::result<state> decode_snapshot(std::string_view bytes)
{
    if (bytes.size() < prefix_size + checksum_size ||
        bytes.substr(0, magic.size()) != magic)
        return base::fail(
            base::error_code::malformed,
            "snapshot: not a snapshot of the control state");
    const auto version = std::uint8_t(bytes[magic.size()]);
    if (version != format_version && version != format_before_ended_servers)
        return base::fail(
            base::error_code::unsupported_version,
            "snapshot: format version " + std::to_string(version) +
                ", expected " + std::to_string(format_version));
    std::uint32_t checksum = 0;
    const auto covered = bytes.substr(0, bytes.size() - checksum_size);
    std::memcpy(&checksum, bytes.data() + covered.size(), sizeof(checksum));
    if (checksum != base::crc32c(covered))
        return base::fail(
            base::error_code::corrupt, "snapshot: wrong checksum");
    return parse(covered.substr(prefix_size), version);
}

} // namespace oleanderhinge::control_state
