#include "oleanderhinge/consensus/messages.hpp"

#include "oleanderhinge/wire/archive.hpp"

#include <utility>

namespace oleanderhinge::consensus
{

namespace
{

// Fails unless the entries follow `previous` without a gap, with known kinds
// and readable memberships: a follower stores them without further checks.
base::result<void> check_entries(const append_request& m)
{
    auto expected = m.previous;
    auto lowest = m.previous_term;
    for (const auto& e : m.entries) {
        expected = expected.next();
        if (e.index != expected)
            return base::fail(
                base::error_code::malformed,
                "entry " + std::to_string(e.index.value()) + " where " +
                    std::to_string(expected.value()) + " is expected");
        if (e.entry_term < lowest)
            return base::fail(
                base::error_code::malformed, "terms of entries go backwards");
        lowest = e.entry_term;
        if (e.kind > entry_kind::membership)
            return base::fail(
                base::error_code::malformed, "unknown kind of entry");
        if (e.kind == entry_kind::membership)
            BOOST_LEAF_CHECK(decode_membership(e.payload));
    }
    return {};
}

} // namespace

wire::consensus_message encode(std::uint32_t group, const message& m)
{
    return {group, wire::to_bytes(m)};
}

base::result<message> decode(const wire::consensus_message& encoded)
{
    BOOST_LEAF_AUTO(m, wire::from_bytes<message>(encoded.payload));
    if (const auto* request = std::get_if<append_request>(&m.content))
        BOOST_LEAF_CHECK(check_entries(*request));
    return m;
}

std::string encode_membership(const membership& members)
{
    return wire::to_bytes(members);
}

base::result<membership> decode_membership(const std::string& payload)
{
    return wire::from_bytes<membership>(payload);
}

} // namespace oleanderhinge::consensus
