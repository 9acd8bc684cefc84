// Guards against frames that decode to something else than was sent, and
// against malformed input that crashes, allocates without bound or is accepted.
#include "oleanderhinge/wire/frame.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace oleanderhinge::wire
{
namespace
{

bool decodes(std::string_view frame)
{
    return base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode(frame));
            return true;
        },
        [](const base::error&) { return false; });
}

open_attempt sample_attempt()
{
    open_attempt m;
    m.request = {base::incarnation{7}, 9};
    m.chain.resize(3);
    m.chain[1].server = base::backend_server_id{"glasgow-2"};
    m.prompt = "left flipper is weak";
    m.delivered = {"check", " the"};
    return m;
}

TEST(frame, round_trip_keeps_content_and_stamp)
{
    const auto frame = encode(sample_attempt(), stamp{77});
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(d, decode(frame));
            EXPECT_EQ(d.sent, stamp{77});
            const auto& m = std::get<open_attempt>(d.content);
            EXPECT_EQ(m.request, sample_attempt().request);
            EXPECT_EQ(m.chain, sample_attempt().chain);
            EXPECT_EQ(m.delivered, sample_attempt().delivered);
            return {};
        },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
}

// A truncated frame must not decode, at whatever byte it ends.
TEST(frame, every_truncation_is_refused)
{
    const auto frame = encode(sample_attempt(), stamp{1});
    for (std::size_t size = 0; size < frame.size(); ++size)
        EXPECT_FALSE(decodes(std::string_view(frame).substr(0, size)));
}

TEST(frame, faults_in_the_header_are_refused)
{
    struct fault {
        const char* name;
        std::size_t offset;
        char value;
    };
    const fault faults[] = {
        {"magic", 0, 'X'},
        {"version", 2, 9},
        {"type", 3, char(250)},
        {"length too long", 7, 0x7f},
        {"length too short", 4, 0},
    };
    for (const auto& f : faults) {
        auto frame = encode(sample_attempt(), stamp{1});
        frame[f.offset] = f.value;
        EXPECT_FALSE(decodes(frame)) << f.name;
    }
}

// A count of 2^32-1 must be refused before the container is resized.
TEST(frame, hostile_count_is_refused_before_allocation)
{
    std::string bytes(4, char(0xff));
    const auto accepted = base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(from_bytes<std::vector<stage>>(bytes));
            return true;
        },
        [](const base::error&) { return false; });
    EXPECT_FALSE(accepted);
}

RC_GTEST_PROP(frame, any_payload_is_decoded_or_refused, ())
{
    const auto type = *rc::gen::arbitrary<std::uint8_t>();
    const auto bytes = *rc::gen::arbitrary<std::string>();
    base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode_payload(type, bytes));
            return true;
        },
        [](const base::error& e) {
            RC_ASSERT(!e.detail.empty());
            return false;
        });
}

TEST(frame, changed_datagram_is_unauthenticated)
{
    auto datagram = seal("secret", ping{5}, stamp{1});
    datagram[header_size] ^= 1;
    const auto code = base::handle(
        [&]() -> base::result<base::error_code> {
            BOOST_LEAF_CHECK(unseal("secret", datagram));
            return base::error_code::io;
        },
        [](const base::error& e) { return e.code; });
    EXPECT_EQ(code, base::error_code::unauthenticated);
}

} // namespace
} // namespace oleanderhinge::wire
