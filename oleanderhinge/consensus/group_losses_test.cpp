// Guards against acknowledged entries that are lost with as many disks as the
// group bears, against a group that does not come back then, and against one
// that answers after more losses: it must stay silent.
#include "oleanderhinge/consensus/fake_cluster_test.hpp"

namespace oleanderhinge::consensus
{
namespace
{

enum class moment {
    one_after_another,
    at_once,
    // In the callback of an acknowledged write; the leader is among the lost.
    after_acknowledgment,
    // All others lose power at the same time and come back.
    beside_power_loss,
    // While the cluster forms; the rest of the processes restart too.
    at_first_start,
    during_election,
    // A node has just been added and holds nothing yet.
    while_learning,
};

struct loss_case {
    const char* name;
    moment when = moment::at_once;
    int members = 3;
    int lost = 1;
    // Whether the group must come back with everything acknowledged.
    bool recovers = true;
};

void PrintTo(const loss_case& item, std::ostream* out)
{
    *out << item.name;
}

const loss_case loss_cases[] = {
    {"none of three, power loss", moment::beside_power_loss, 3, 0, true},
    {"none of five, power loss", moment::beside_power_loss, 5, 0, true},
    {"none, first start", moment::at_first_start, 3, 0, true},
    {"one of three", moment::at_once, 3, 1, true},
    {"one of three, acknowledged", moment::after_acknowledgment, 3, 1, true},
    {"one of three, power loss", moment::beside_power_loss, 3, 1, true},
    {"one of three, first start", moment::at_first_start, 3, 1, true},
    {"one of three, election", moment::during_election, 3, 1, true},
    {"one of three, learner", moment::while_learning, 3, 1, true},
    {"all of three in turn", moment::one_after_another, 3, 3, true},
    {"two of three", moment::at_once, 3, 2, false},
    {"two of three, acknowledged", moment::after_acknowledgment, 3, 2, false},
    {"two of three, power loss", moment::beside_power_loss, 3, 2, false},
    {"two of three, first start", moment::at_first_start, 3, 2, false},
    {"three of three, first start", moment::at_first_start, 3, 3, false},
    {"three of three", moment::at_once, 3, 3, false},
    {"one of four, power loss", moment::beside_power_loss, 4, 1, true},
    {"one of four, learner", moment::while_learning, 4, 1, true},
    {"two of four", moment::at_once, 4, 2, false},
    {"two of five", moment::at_once, 5, 2, true},
    {"two of five, acknowledged", moment::after_acknowledgment, 5, 2, true},
    {"two of five, power loss", moment::beside_power_loss, 5, 2, true},
    {"one of five, first start", moment::at_first_start, 5, 1, true},
    {"two of five, election", moment::during_election, 5, 2, true},
    {"two of five, learner", moment::while_learning, 5, 2, true},
    {"all of five in turn", moment::one_after_another, 5, 5, true},
    {"three of five", moment::at_once, 5, 3, false},
    {"three of five, power loss", moment::beside_power_loss, 5, 3, false},
    {"two of six, acknowledged", moment::after_acknowledgment, 6, 2, true},
    {"two of six, power loss", moment::beside_power_loss, 6, 2, true},
    {"two of six, election", moment::during_election, 6, 2, true},
    {"all of six in turn", moment::one_after_another, 6, 6, true},
    {"three of six, power loss", moment::beside_power_loss, 6, 3, false},
};

class group_losses : public testing::TestWithParam<loss_case>
{
protected:
    void write_some(fake_cluster& c)
    {
        const int leader = c.leader();
        for (int i = 0; leader != 0 && i < 30; ++i)
            c.propose(leader, "w 7", [&](outcome result, const auto&) {
                this->acknowledged += result == outcome::applied ? 1 : 0;
            });
        c.run(std::chrono::milliseconds(c.random.below(400)));
    }

    // Members to lose, the leader first.
    std::vector<int> chosen(fake_cluster& c) const
    {
        const auto& item = this->GetParam();
        const int first = std::max(1, c.leader());
        std::vector<int> found;
        for (int i = 0; i < item.lost; ++i)
            found.push_back(1 + (first - 1 + i) % item.members);
        return found;
    }

    void lose(fake_cluster& c, const std::vector<int>& lost, bool all_stop)
    {
        for (int i = 1; all_stop && i <= this->GetParam().members; ++i)
            c.stop(i);
        for (const int i : lost)
            c.wipe(i);
        c.run(std::chrono::milliseconds(c.random.below(2000)));
        for (int i = 1; i <= this->GetParam().members; ++i)
            if (!c.hosts[i].state)
                c.start(i);
    }

    void lose_in_turn(fake_cluster& c)
    {
        for (const int i : this->chosen(c)) {
            this->lose(c, {i}, false);
            ASSERT_TRUE(this->is_whole(c));
            this->write_some(c);
        }
    }

    void lose_after_acknowledgment(fake_cluster& c)
    {
        bool done = false;
        c.propose(c.leader(), "w 9", [&](outcome result, const auto&) {
            done = done || result == outcome::applied;
        });
        ASSERT_TRUE(c.run_until([&] { return done; }));
        ++this->acknowledged;
        this->lose(c, this->chosen(c), true);
    }

    void play(fake_cluster& c)
    {
        switch (this->GetParam().when) {
        case moment::one_after_another:
            return this->lose_in_turn(c);
        case moment::after_acknowledgment:
            return this->lose_after_acknowledgment(c);
        case moment::beside_power_loss:
        case moment::at_first_start:
            return this->lose(c, this->chosen(c), true);
        case moment::during_election:
            c.pause(c.leader(), 4s);
            c.run(std::chrono::milliseconds(700 + c.random.below(1500)));
            return this->lose(c, this->chosen(c), false);
        case moment::while_learning: {
            const int added = this->GetParam().members + 1;
            c.start(added);
            c.feed(
                c.leader(),
                member_added{
                    c.hosts[c.leader()].add_request(
                        [](outcome, const auto&) {}),
                    {name_of(added), {}, {}, {}, true, false}});
            c.run(std::chrono::milliseconds(c.random.below(60)));
            return this->lose(c, this->chosen(c), false);
        }
        case moment::at_once:
            return this->lose(c, this->chosen(c), false);
        }
    }

    // True once all members vote with their present disks.
    bool is_whole(fake_cluster& c)
    {
        return c.run_until([&] {
            const int leader = c.leader();
            if (leader == 0)
                return false;
            const auto& members = members_of(*c.hosts[leader].state);
            return std::all_of(
                members.begin(), members.end(), [&](const member& m) {
                    const int i = std::stoi(m.vm.value());
                    return m.voter && m.disk == c.hosts[i].disk;
                });
        });
    }

    std::uint64_t acknowledged = 0;
};

TEST_P(group_losses, what_was_acknowledged_is_there_or_the_group_is_silent)
{
    const auto& item = this->GetParam();
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        this->acknowledged = 0;
        fake_cluster c(item.members, seed, {0, 0, 40, 20});
        if (item.when == moment::at_first_start) {
            c.run(std::chrono::milliseconds(seed * 60));
        } else {
            ASSERT_TRUE(c.can_commit());
            this->write_some(c);
        }
        c.first_start = false;
        this->play(c);
        const auto before =
            c.committed.empty() ? log_index{} : c.committed.rbegin()->first;
        if (!item.recovers) {
            // The lease of a leader ends first.
            c.run(1s);
            EXPECT_FALSE(c.run_until([&] { return c.leader() != 0; }));
            continue;
        }
        ASSERT_TRUE(c.can_commit());
        ASSERT_TRUE(this->is_whole(c));
        const auto& state = *c.hosts[c.leader()].state;
        EXPECT_GE(state.applied, before);
        EXPECT_GE(state.applied.value(), this->acknowledged);
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, group_losses, testing::ValuesIn(loss_cases), [](const auto& tested) {
        std::string name;
        for (const char ch : std::string(tested.param.name))
            name += std::isalnum(ch) != 0 ? ch : '_';
        return name;
    });

} // namespace
} // namespace oleanderhinge::consensus
