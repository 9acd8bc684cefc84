// Guards against servers that are taken for alive because another one has
// reported, and against refreshes whose size grows with what is known of a
// server.
#include "oleanderhinge/fleet/numbering.hpp"

#include "oleanderhinge/wire/archive.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace oleanderhinge::fleet
{
namespace
{

using ids = std::set<base::backend_server_id>;

ids draw_ids()
{
    ids drawn;
    for (const auto number :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40)))
        drawn.insert(base::backend_server_id{std::to_string(number)});
    return drawn;
}

ids refreshed(const peer_numbering& known, const wire::server_refresh& received)
{
    ids found;
    visit_refreshed(known, received, [&](const base::backend_server_id& id) {
        found.insert(id);
    });
    return found;
}

RC_GTEST_PROP(numbering, exactly_the_reported_servers_are_refreshed, ())
{
    numbering sender;
    peer_numbering early;
    peer_numbering late;
    for (int round = 0; round < 10; ++round) {
        const auto reported = draw_ids();
        learn(early, new_numbers(sender, reported));
        // A link that opens between two rounds.
        if (round == 5)
            learn(late, all_numbers(sender));
        const auto sent = make_refresh(sender, reported, 0);
        RC_ASSERT(refreshed(early, sent) == reported);
        if (round == 5)
            RC_ASSERT(refreshed(late, sent) == reported);
    }
}

TEST(numbering, loads_arrive_for_their_servers)
{
    numbering sender;
    peer_numbering known;
    learn(known, new_numbers(sender, ids{base::backend_server_id{"a"}}));
    wire::engine_load load;
    load.slowness = 1.5;
    load.cache_used = 600;
    load.cache_total = 1200;
    load.running = 70000;
    load.waiting = 3;
    load.layers = {base::layer_index{8}, base::layer_index{16}};
    wire::server_loads sent{{pack_load(0, load), pack_load(7, load)}};
    int count = 0;
    visit_loads(known, sent, [&](const auto& id, const auto& got) {
        ++count;
        EXPECT_EQ(id, base::backend_server_id{"a"});
        EXPECT_EQ(got.slowness, 1.5);
        EXPECT_NEAR(
            double(got.cache_used) / double(got.cache_total), 0.5, 0.01);
        EXPECT_EQ(got.running, 65535U);
        EXPECT_EQ(got.layers, load.layers);
    });
    EXPECT_EQ(count, 1);
}

// Servers come and go for months. Guards against numbers that are never freed.
TEST(numbering, numbers_of_servers_that_have_left_are_given_up)
{
    numbering sender;
    peer_numbering known;
    ids present;
    for (int i = 0; i < 5000; ++i) {
        present = {base::backend_server_id{"server-" + std::to_string(i)}};
        learn(
            known,
            is_sparse(sender, present.size()) ? renumber(sender, present)
                                              : new_numbers(sender, present));
        ASSERT_EQ(refreshed(known, make_refresh(sender, present, 0)), present);
    }
    EXPECT_LT(sender.servers.size(), 1100U);
}

// Numbers of a link whose first message was not received.
TEST(numbering, numbers_with_a_gap_before_them_are_ignored)
{
    numbering sender;
    const ids first{base::backend_server_id{"a"}};
    const ids second{base::backend_server_id{"b"}};
    new_numbers(sender, first);
    peer_numbering known;
    learn(known, new_numbers(sender, second));
    EXPECT_TRUE(refreshed(known, make_refresh(sender, second, 0)).empty());
}

TEST(numbering, a_refresh_of_3000_servers_takes_less_than_half_a_kilobyte)
{
    numbering sender;
    ids all;
    for (int i = 0; i < 3000; ++i)
        all.insert(base::backend_server_id{"server-" + std::to_string(i)});
    new_numbers(sender, all);
    EXPECT_LT(wire::to_bytes(make_refresh(sender, all, 0)).size(), 512U);
}

} // namespace
} // namespace oleanderhinge::fleet
