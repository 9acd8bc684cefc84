// Runs a cluster under random faults of the network, the disks and the
// processes. Guards against committed entries that are lost or differ between
// members, two leaders in a term, two leases at a time, and a cluster that does
// not recover once the faults end.
#include "oleanderhinge/consensus/fake_cluster_test.hpp"

namespace oleanderhinge::consensus
{
namespace
{

struct fault_case {
    const char* name;
    int size = 3;
    network_faults network;
    // Probability of each fault in every step of 200 ms.
    int partition_percent = 0;
    int one_way_percent = 0;
    int pause_percent = 0;
    int restart_percent = 0;
    int lost_disk_percent = 0;
    int transfer_percent = 0;
};

constexpr std::uint64_t seed_count = 25;

void PrintTo(const fault_case& f, std::ostream* out)
{
    *out << f.name;
}

const fault_case fault_cases[] = {
    {.name = "no faults"},
    {.name = "drops", .network = {.drop_percent = 25}},
    {.name = "duplicates and reordering",
     .network = {.duplicate_percent = 40, .delay_ms = 90}},
    {.name = "long delays", .network = {.delay_ms = 400}},
    {.name = "slow disks", .network = {.disk_ms = 300}},
    {.name = "partitions", .partition_percent = 15},
    {.name = "one-way cuts", .one_way_percent = 20},
    {.name = "pauses", .pause_percent = 20},
    {.name = "restarts", .restart_percent = 20},
    {.name = "lost disks", .lost_disk_percent = 20},
    {.name = "transfers", .transfer_percent = 20},
    {.name = "five members, everything",
     .size = 5,
     .network = {10, 10, 40, 30},
     .partition_percent = 10,
     .one_way_percent = 10,
     .pause_percent = 10,
     .restart_percent = 10,
     .lost_disk_percent = 10,
     .transfer_percent = 5},
    {.name = "three members, everything",
     .network = {10, 10, 40, 30},
     .partition_percent = 10,
     .one_way_percent = 10,
     .pause_percent = 10,
     .restart_percent = 10,
     .lost_disk_percent = 10,
     .transfer_percent = 5},
};

// True if the cluster tolerates the loss of a disk: the membership is committed
// and holds every member as voter with its current disk.
bool may_lose_disk(fake_cluster& c)
{
    const int l = c.leader();
    if (l == 0)
        return false;
    const auto& leading = *c.hosts[l].state;
    if (membership_index(leading.log) > leading.committed)
        return false;
    for (const auto& m : members_of(leading)) {
        if (!m.voter || c.hosts[std::stoi(m.vm.value())].disk != m.disk)
            return false;
    }
    return true;
}

void add_faults(fake_cluster& c, const fault_case& f)
{
    const auto happens = [&](int percent) {
        return int(c.random.below(100)) < percent;
    };
    const auto random_member = [&] { return 1 + int(c.random.below(f.size)); };
    if (happens(30))
        c.blocked_links.clear();
    if (happens(f.partition_percent)) {
        const auto partition = c.random.next();
        for (int a = 1; a <= f.size; ++a) {
            for (int b = 1; b <= f.size; ++b) {
                if ((partition >> a & 1) != (partition >> b & 1))
                    c.blocked_links.insert({a, b});
            }
        }
    }
    if (happens(f.one_way_percent))
        c.blocked_links.insert({random_member(), random_member()});
    if (happens(f.pause_percent))
        c.pause(
            random_member(), std::chrono::milliseconds(c.random.below(4000)));
    if (happens(f.transfer_percent) && c.leader() != 0)
        c.feed(c.leader(), transfer_requested{});
    if (happens(f.restart_percent)) {
        const int i = random_member();
        c.stop(i);
        c.run(std::chrono::milliseconds(c.random.below(2000)));
        c.start(i);
    }
    if (happens(f.lost_disk_percent) && may_lose_disk(c)) {
        const int i = random_member();
        c.wipe(i);
        c.run(std::chrono::milliseconds(c.random.below(2000)));
        c.start(i);
    }
}

// Proposes 0 to 7 random writes at each member, leader or not. Counts the
// applied ones in `acknowledged`.
void add_load(fake_cluster& c, const fault_case& f, std::uint64_t& acknowledged)
{
    for (int i = 1; i <= f.size; ++i) {
        for (auto n = c.random.below(8); n > 0; --n)
            c.propose(
                i,
                "w " + std::to_string(c.random.below(100)),
                [&acknowledged](outcome result, const std::string&) {
                    acknowledged += result == outcome::applied ? 1 : 0;
                });
    }
}

void expect_equal_logs(fake_cluster& c, int size)
{
    const auto all_equal = [&] {
        const auto& first = *c.hosts[1].state;
        for (int i = 2; i <= size; ++i) {
            const auto& other = *c.hosts[i].state;
            if (other.applied != first.applied ||
                c.hosts[i].value != c.hosts[1].value)
                return false;
        }
        return c.leader() != 0 &&
               voter_count(members_of(first)) == std::size_t(size);
    };
    EXPECT_TRUE(c.run_until(all_equal));
    EXPECT_EQ(c.committed.rbegin()->first, c.hosts[1].state->applied);
    EXPECT_EQ(c.committed.size(), c.hosts[1].state->applied.value());
}

class faults : public testing::TestWithParam<fault_case>
{
};

TEST_P(faults, committed_entries_survive_and_the_cluster_recovers)
{
    const auto& f = this->GetParam();
    std::uint64_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        fake_cluster c(f.size, seed);
        ASSERT_TRUE(c.can_commit());
        c.faults = f.network;
        for (int round = 0; round < 150; ++round) {
            add_faults(c, f);
            add_load(c, f, acknowledged);
            c.run(200ms);
        }
        c.blocked_links.clear();
        c.faults = {};
        ASSERT_TRUE(c.can_commit());
        expect_equal_logs(c, f.size);
        if (this->HasFailure())
            return;
    }
    EXPECT_GT(acknowledged, 50 * seed_count);
}

INSTANTIATE_TEST_SUITE_P(
    table, faults, testing::ValuesIn(fault_cases), [](const auto& tested) {
        std::string name;
        for (const char ch : std::string(tested.param.name))
            name += std::isalnum(ch) != 0 ? ch : '_';
        return name;
    });

} // namespace
} // namespace oleanderhinge::consensus
