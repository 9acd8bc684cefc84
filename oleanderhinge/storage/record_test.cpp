// Guards against a decoder that crashes on, or accepts, bytes that were not
// written as they are.
#include "oleanderhinge/storage/record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::storage
{
namespace
{

std::optional<decoded_batch> try_decode(
    std::uint64_t segment, std::uint64_t offset, std::string_view contents)
{
    return base::handle(
        [&]() -> base::result<std::optional<decoded_batch>> {
            BOOST_LEAF_AUTO(d, decode_batch(segment, offset, contents));
            return std::optional(std::move(d));
        },
        [](const base::error&) { return std::optional<decoded_batch>(); });
}

std::vector<record> any_records()
{
    std::vector<record> out;
    const auto count = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(
            {base::log_index{*rc::gen::arbitrary<std::uint64_t>()},
             base::term{*rc::gen::arbitrary<std::uint64_t>()},
             *rc::gen::arbitrary<std::uint8_t>(),
             *rc::gen::arbitrary<std::string>()});
    return out;
}

RC_GTEST_PROP(record, a_batch_round_trips_at_its_place_only, ())
{
    const auto records = any_records();
    const auto segment = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto before = *rc::gen::arbitrary<std::string>();
    const auto bytes =
        before + encode_batch(segment, before.size(), records) + "rest";
    const auto d = try_decode(segment, before.size(), bytes);
    RC_ASSERT(d.has_value());
    RC_ASSERT(d->records == records);
    RC_ASSERT(d->size + before.size() + 4 == bytes.size());
    RC_ASSERT(!try_decode(segment + 1, before.size(), bytes));
    RC_ASSERT(
        !try_decode(segment, 0, bytes.substr(before.size())) || before.empty());
}

RC_GTEST_PROP(record, a_changed_or_shortened_batch_is_refused, ())
{
    const auto records = any_records();
    auto bytes = encode_batch(1, 0, records);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!try_decode(1, 0, std::string_view(bytes).substr(0, at)));
    const auto flip = *rc::gen::inRange(1, 256);
    bytes[at] = char(bytes[at] ^ char(flip));
    RC_ASSERT(!try_decode(1, 0, bytes));
}

RC_GTEST_PROP(record, arbitrary_bytes_are_refused, (std::string bytes))
{
    RC_ASSERT(!try_decode(1, 0, bytes));
    RC_ASSERT(!try_decode(1, 0, "OHB1" + bytes));
    RC_ASSERT(!has_batch_behind(1, 0, bytes));
}

} // namespace
} // namespace oleanderhinge::storage
