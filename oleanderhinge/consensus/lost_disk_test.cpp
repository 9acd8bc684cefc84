// Guards against a member with an empty disk that grants votes, counts towards
// a quorum or forms a second cluster, and against a re-admitted member that
// counts as holding committed entries that it does not hold. See
// docs/decisions/0002-lost-disk.md.
#include "oleanderhinge/consensus/fake_cluster_test.hpp"

namespace oleanderhinge::consensus
{
namespace
{

// Members other than `i`.
std::vector<int> others(int i)
{
    std::vector<int> out;
    for (const int other : {1, 2, 3}) {
        if (other != i)
            out.push_back(other);
    }
    return out;
}

// True if the leader's committed membership holds member `i` as voter with its
// current disk.
bool is_committed_voter(fake_cluster& c, int i)
{
    const int l = c.leader();
    if (l == 0)
        return false;
    const auto& state = *c.hosts[l].state;
    const auto* m = find_member(members_of(state), name_of(i));
    return m != nullptr && m->voter && m->disk == c.hosts[i].disk &&
           membership_index(state.log) <= state.committed;
}

// Waits up to 20 s for a leader that holds its lease.
bool has_leader(fake_cluster& c)
{
    return c.run_until([&] { return c.leader() != 0; });
}

struct cluster_with_leader {
    explicit cluster_with_leader(std::uint64_t seed)
        : c(3, seed)
    {
        EXPECT_TRUE(this->c.can_commit());
        this->leader = this->c.leader();
        this->lost = others(this->leader)[0];
        this->third = others(this->leader)[1];
    }

    fake_cluster c;
    int leader = 0;
    int lost = 0;
    int third = 0;
};

TEST(lost_disk, an_empty_disk_gives_no_vote)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cluster_with_leader t(seed);
        auto& c = t.c;
        c.stop(t.leader);
        c.wipe(t.lost);
        c.start(t.lost);
        EXPECT_FALSE(has_leader(c)) << "seed " << seed;
        EXPECT_FALSE(is_admitted(*c.hosts[t.lost].state));
        c.start(t.leader);
        EXPECT_TRUE(c.can_commit()) << "seed " << seed;
        EXPECT_TRUE(c.run_until([&] { return is_committed_voter(c, t.lost); }));
    }
}

TEST(lost_disk, two_empty_disks_do_not_form_a_cluster)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        cluster_with_leader t(seed);
        auto& c = t.c;
        for (const int i : {t.lost, t.third}) {
            c.wipe(i);
            c.start(i);
        }
        // The old leader's lease must expire first.
        c.run(1s);
        EXPECT_FALSE(has_leader(c)) << "seed " << seed;
        c.stop(t.leader);
        EXPECT_FALSE(has_leader(c)) << "seed " << seed;
    }
}

TEST(lost_disk, a_second_failure_right_after_the_repair_loses_nothing)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        cluster_with_leader t(seed);
        auto& c = t.c;
        for (int i = 0; i < int(seed) * 3; ++i)
            c.propose(t.leader, "w 7", [](outcome, const auto&) {});
        c.wipe(t.lost);
        c.run(300ms);
        c.start(t.lost);
        ASSERT_TRUE(c.run_until([&] { return is_committed_voter(c, t.lost); }));
        const auto committed = c.committed.rbegin()->first;
        c.stop(seed % 2 == 0 ? c.leader() : t.third);
        ASSERT_TRUE(c.can_commit()) << "seed " << seed;
        // A follower learns the commit index with the next heartbeat.
        EXPECT_TRUE(c.run_until(
            [&] { return c.hosts[t.lost].state->committed > committed; }));
    }
}

TEST(lost_disk, a_second_failure_during_the_repair_waits_for_its_end)
{
    cluster_with_leader t(5);
    auto& c = t.c;
    c.stop(t.third);
    c.wipe(t.lost);
    c.start(t.lost);
    c.run(1s);
    EXPECT_FALSE(has_leader(c));
    c.start(t.third);
    EXPECT_TRUE(c.can_commit());
    EXPECT_TRUE(c.run_until([&] { return is_committed_voter(c, t.lost); }));
}

// Each run loses one disk, in steps of 10 ms over the first 4 s, in which the
// cluster forms.
TEST(lost_disk, forming_survives_a_lost_disk_at_any_time)
{
    for (int ms = 0; ms < 4000; ms += 10) {
        fake_cluster c(3, std::uint64_t(ms), {0, 0, 60, 30});
        c.run(std::chrono::milliseconds(ms));
        const int lost = 1 + ms / 10 % 3;
        c.wipe(lost);
        c.run(std::chrono::milliseconds(ms % 700));
        c.start(lost);
        ASSERT_TRUE(c.can_commit()) << ms;
        ASSERT_TRUE(c.run_until([&] { return is_committed_voter(c, lost); }))
            << ms;
    }
}

TEST(membership, a_member_is_added_as_learner_and_the_leader_removed)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cluster_with_leader t(seed);
        auto& c = t.c;
        for (int i = 0; i < 40; ++i)
            c.propose(t.leader, "w 3", [](outcome, const auto&) {});
        c.start(4);
        c.feed(
            t.leader,
            member_added{
                c.hosts[t.leader].add_request([](outcome, const auto&) {}),
                {name_of(4), {}, {}, {}, true, false}});
        EXPECT_FALSE(is_voter(*c.hosts[4].state));
        ASSERT_TRUE(c.run_until([&] { return is_committed_voter(c, 4); }));
        EXPECT_EQ(c.hosts[4].value, c.hosts[t.leader].value);
        const auto removed = [&] {
            const int l = c.leader();
            return l != 0 && l != t.leader &&
                   members_of(*c.hosts[l].state).size() == 3;
        };
        const int l = c.leader();
        ASSERT_EQ(l, t.leader);
        c.feed(
            l,
            member_removed{
                c.hosts[l].add_request([](outcome, const auto&) {}),
                name_of(l)});
        ASSERT_TRUE(c.run_until(removed)) << "seed " << seed;
        EXPECT_TRUE(c.can_commit());
    }
}

} // namespace
} // namespace oleanderhinge::consensus
