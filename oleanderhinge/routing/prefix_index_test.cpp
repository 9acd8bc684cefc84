// Guards against cache entries that keep their full certainty after lost
// events, and against an index that grows without bound.
#include "oleanderhinge/routing/prefix_index.hpp"

#include <gtest/gtest.h>

#include <string>

namespace oleanderhinge::routing
{
namespace
{

const base::backend_server_id server{"s"};

cache_event make_event(
    std::uint64_t sequence,
    std::vector<prefix_hash> added,
    std::vector<prefix_hash> evicted = {})
{
    return {
        server,
        base::incarnation{1},
        sequence,
        false,
        std::move(added),
        std::move(evicted)};
}

TEST(prefix_index, hashes_identify_whole_prefixes)
{
    const std::string text(3 * prefix_block_bytes + 5, 'x');
    auto other = text;
    other[0] = 'y';
    const auto a = prefix_hashes(text);
    const auto b = prefix_hashes(other);
    ASSERT_EQ(a.size(), 3U);
    EXPECT_NE(a[2], b[2]) << "a later block includes the first one";
    EXPECT_NE(a[0], a[1]);
    EXPECT_EQ(
        prefix_hashes(std::string(1 << 20, 'x')).size(), max_prefix_blocks);
}

TEST(prefix_index, certainty_follows_lost_and_late_events)
{
    struct step {
        const char* name;
        cache_event event;
        double cached_blocks;
    };
    auto snapshot = make_event(20, {1, 2});
    snapshot.snapshot = true;
    auto restarted = make_event(1, {1});
    restarted.agent_incarnation = base::incarnation{2};
    const step steps[] = {
        {"first", make_event(1, {1, 2, 3}), 3},
        {"evicted", make_event(2, {}, {3}), 2},
        {"gap halves what is older", make_event(5, {3}), 0.5 + 0.5 + 1},
        {"confirmed again", make_event(6, {1}), 1 + 0.5 + 1},
        {"late addition is ignored", make_event(4, {2}), 1 + 0.5 + 1},
        {"late eviction counts", make_event(3, {}, {3}), 1 + 0.5},
        {"snapshot", snapshot, 2},
        {"restart", restarted, 1},
    };
    prefix_index index;
    for (const auto& s : steps) {
        apply_cache_event(index, s.event);
        EXPECT_DOUBLE_EQ(
            expected_cached_blocks(index, server, {1, 2, 3}), s.cached_blocks)
            << s.name;
    }
}

TEST(prefix_index, is_bounded_and_removes_servers)
{
    prefix_index index;
    index.options.max_entries_per_server = 10;
    index.options.max_servers_per_prefix = 2;
    for (std::uint64_t i = 1; i <= 100; ++i)
        apply_cache_event(index, make_event(i, {i}));
    EXPECT_EQ(index.holders.size(), 10U);
    EXPECT_EQ(expected_cached_blocks(index, server, {91}), 1);
    EXPECT_EQ(expected_cached_blocks(index, server, {90}), 0);
    for (const char* name : {"a", "b", "c"})
        note_prompt(index, base::backend_server_id{name}, {100});
    EXPECT_EQ(longest_prefix_holders(index, {95, 100, 7}).size(), 2U);
    for (const auto& id :
         {server,
          base::backend_server_id{"a"},
          base::backend_server_id{"b"},
          base::backend_server_id{"c"}})
        drop_server(index, id);
    EXPECT_TRUE(index.holders.empty());
    EXPECT_TRUE(index.servers.empty());
}

} // namespace
} // namespace oleanderhinge::routing
