#include "oleanderhinge/control/group.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::control
{
namespace
{

using std::chrono::seconds;

const base::time_point start{seconds(100)};

replica::log_status
make_status(const std::vector<std::string>& members, bool last_votes = true)
{
    replica::log_status status;
    status.role = replica::member_role::leader;
    status.has_quorum = true;
    for (const auto& vm : members)
        status.members.push_back({base::vm_id{vm}, {}, {}, true});
    status.members.back().voter = last_votes;
    return status;
}

const base::vm_id self{"a"};

// Guards against the removal of an unreachable member from a group of three,
// where it may be just restarting.
TEST(group, no_member_is_removed_while_only_three_are_left)
{
    member_reach reach;
    const auto status = make_status({"a", "b", "c"});
    const auto none = [](const base::vm_id&) { return false; };
    observe_links(reach, status, self, none, start);
    EXPECT_FALSE(member_to_remove(reach, status, 3, start + seconds(60)));
}

// Guards against a group that shrinks below the size that its tolerated losses
// need: with three members, the loss of two disks loses the log.
TEST(group, a_group_that_bears_two_losses_keeps_five_members)
{
    EXPECT_EQ(needed_members(0), 3U);
    EXPECT_EQ(needed_members(1), 3U);
    EXPECT_EQ(needed_members(2), 5U);
    member_reach reach;
    const auto has_link = [](const base::vm_id& vm) {
        return vm.value() != "c";
    };
    const auto five = make_status({"a", "b", "c", "d", "e"});
    observe_links(reach, five, self, has_link, start);
    EXPECT_FALSE(member_to_remove(reach, five, 5, start + seconds(60)));
    const auto six = make_status({"a", "b", "c", "d", "e", "f"});
    EXPECT_EQ(
        member_to_remove(reach, six, 5, start + seconds(60)), base::vm_id{"c"});
}

// Guards against a replaced machine that counts towards the majority for ever,
// and against its removal before its replacement is a voter.
TEST(group, a_lost_member_goes_once_its_successor_votes)
{
    member_reach reach;
    const auto has_link = [](const base::vm_id& vm) {
        return vm.value() != "c";
    };
    const auto learning = make_status({"a", "b", "c", "d"}, false);
    observe_links(reach, learning, self, has_link, start);
    EXPECT_FALSE(member_to_remove(reach, learning, 3, start + seconds(10)));
    const auto voting = make_status({"a", "b", "c", "d"});
    observe_links(reach, voting, self, has_link, start + seconds(1));
    EXPECT_FALSE(member_to_remove(reach, voting, 3, start + seconds(2)));
    EXPECT_EQ(
        member_to_remove(reach, voting, 3, start + seconds(3)),
        base::vm_id{"c"});
    // Only the leader removes members.
    auto follower = voting;
    follower.role = replica::member_role::follower;
    EXPECT_FALSE(member_to_remove(reach, follower, 3, start + seconds(3)));
}

struct loss_case {
    const char* name;
    // Members, of which the learners are in upper case.
    std::string members;
    // Those without a link, and since when, in the order of their loss.
    std::string lost;
    std::string removed;
};

const loss_case loss_cases[] = {
    {"nobody is lost", "abcd", "", ""},
    {"a restarting voter", "abc", "c", ""},
    {"a voter, while its successor learns", "abcD", "c", ""},
    {"a voter, and its successor votes", "abcd", "c", "c"},
    {"two voters, and one successor votes", "abcd", "bc", "b"},
    {"a learner", "abcD", "D", "D"},
    {"a learner of a small group", "abD", "D", "D"},
    {"a voter, then its successor before it votes", "abcD", "cD", "D"},
    {"a learner, then a voter", "abcD", "Dc", "D"},
    {"a voter and one of two successors", "abcDE", "cD", "D"},
    {"a voter and both successors", "abcDE", "cED", "E"},
};

// Guards against a lost learner that blocks the removal of lost voters, and so
// takes away the majority after the next loss.
TEST(group, lost_members_are_removed_in_turn)
{
    for (const auto& item : loss_cases) {
        replica::log_status status;
        status.role = replica::member_role::leader;
        status.has_quorum = true;
        for (const char name : item.members)
            status.members.push_back(
                {base::vm_id{std::string(1, name)}, {}, {}, name >= 'a'});
        member_reach reach;
        auto now = start;
        for (std::size_t count = 0; count <= item.lost.size(); ++count) {
            const auto lost = item.lost.substr(0, count);
            now += seconds(1);
            observe_links(
                reach,
                status,
                self,
                [&](const base::vm_id& vm) {
                    return lost.find(vm.value()) == lost.npos;
                },
                now);
        }
        const auto removed =
            member_to_remove(reach, status, 3, now + unreachable_timeout);
        EXPECT_EQ(removed ? removed->value() : "", item.removed) << item.name;
        EXPECT_FALSE(
            member_to_remove(reach, status, 3, start + unreachable_timeout))
            << item.name;
    }
}

struct link_case {
    const char* name;
    std::string members;
    bool has_quorum;
    seconds without_leader;
    std::string linked;
    bool leads = false;
};

// The seeds are c and d.
const link_case link_cases[] = {
    {"a new node", "", false, seconds(0), "cd"},
    {"a member with a quorum", "abc", true, seconds(0), "abc"},
    {"an election", "abc", false, seconds(4), "abc"},
    {"without the others for a while", "abc", false, seconds(5), "abcd"},
    {"all others were replaced an hour ago",
     "abe",
     false,
     seconds(3600),
     "abecd"},
    {"found back", "acd", true, seconds(3600), "acd"},
    {"the leader, since nodes may know only the seeds",
     "abe",
     true,
     seconds(0),
     "abecd",
     true},
};

// Guards against a member that was down while all others were replaced, and
// then has nobody to ask for admission.
TEST(group, a_node_without_a_quorum_also_tries_the_seeds)
{
    std::vector<replica::member> seeds;
    for (const char* name : {"c", "d"})
        seeds.push_back({base::vm_id{name}, {}, {}, true});
    for (const auto& item : link_cases) {
        replica::log_status status;
        status.has_quorum = item.has_quorum;
        if (item.leads)
            status.role = replica::member_role::leader;
        for (const char name : item.members)
            status.members.push_back(
                {base::vm_id{std::string(1, name)}, {}, {}, true});
        std::string linked;
        for (const auto& node : nodes_to_link(
                 status, {}, seeds, self, start, start + item.without_leader))
            linked += node.vm.value();
        EXPECT_EQ(linked, item.linked) << item.name;
    }
}

// Guards against reports of servers that are acknowledged by a node that nobody
// learns them from, and against reports that are refused during an election.
TEST(group, a_node_without_links_and_quorum_is_isolated)
{
    replica::log_status status;
    EXPECT_FALSE(is_isolated(status, start, start));
    EXPECT_FALSE(is_isolated(status, start, start + seconds(2)));
    EXPECT_TRUE(is_isolated(status, start, start + seconds(3)));
    status.has_quorum = true;
    EXPECT_FALSE(is_isolated(status, start, start + seconds(3)));
}

// Guards against a node that was removed while it was unreachable and never
// rejoins, and against members that ask for admission although they have a
// leader.
TEST(group, a_node_without_a_group_or_a_leader_asks_for_admission)
{
    auto status = make_status({"b", "c"});
    EXPECT_TRUE(asks_for_admission(status, {}, self, start, start));
    status = make_status({"a", "b", "c"});
    EXPECT_FALSE(
        asks_for_admission(status, {}, self, start, start + seconds(9)));
    status.has_quorum = false;
    EXPECT_FALSE(
        asks_for_admission(status, {}, self, start, start + seconds(1)));
    EXPECT_TRUE(
        asks_for_admission(status, {}, self, start, start + seconds(9)));
    EXPECT_FALSE(should_add({}, status, 3, base::vm_id{"d"}));
    status.has_quorum = true;
    EXPECT_TRUE(should_add({}, status, 3, base::vm_id{"d"}));
    EXPECT_FALSE(should_add({}, status, 3, base::vm_id{"b"}));
}

struct size_case {
    const char* name;
    std::uint32_t losses;
    // Members, of which the learners are in upper case, and those without a
    // link for as long as they have been members. The leader is a.
    std::string members;
    std::string lost;
    bool adds;
    // Removed after a minute in this state.
    std::string removed;
    std::size_t missing;
    std::size_t borne;
};

const size_case size_cases[] = {
    {"alone, no losses", 0, "a", "", true, "", 2, 0},
    {"the seeds, no losses", 0, "abc", "", true, "", 0, 1},
    {"the seeds, one loss", 1, "abc", "", true, "", 0, 1},
    {"one loss, full", 1, "abcd", "", false, "", 0, 1},
    {"one loss, full and one lost", 1, "abcd", "c", true, "c", 0, 1},
    {"one loss, one too many", 1, "abcde", "", false, "e", 0, 2},
    {"the seeds, two losses", 2, "abc", "", true, "", 2, 1},
    {"a fourth learns", 2, "abcD", "", true, "", 2, 1},
    {"four", 2, "abcd", "", true, "", 1, 1},
    {"five", 2, "abcde", "", true, "", 0, 2},
    {"five, two lost", 2, "abcde", "de", true, "", 0, 2},
    {"six", 2, "abcdef", "", false, "", 0, 2},
    {"six, one lost", 2, "abcdef", "b", true, "b", 0, 2},
    {"six, two lost", 2, "abcdef", "bc", true, "c", 0, 2},
    {"six, three lost", 2, "abcdef", "bcd", true, "d", 0, 2},
    {"six of which one learns", 2, "abcdeF", "", false, "", 0, 2},
    {"seven of which one learns", 2, "abcdefG", "", false, "G", 0, 2},
    {"seven and a wiped disk", 2, "abCdefg", "", false, "C", 0, 2},
    {"seven, one lost", 2, "abcdefg", "c", false, "c", 0, 3},
    {"the last added leads", 2, "bcdefga", "", false, "g", 0, 3},
};

// Guards against a group of three where the settings need five, against one
// that keeps growing with every node that has a disk, and against one that
// stays too large when lost members come back.
TEST(group, grows_and_shrinks_to_the_size_that_its_losses_need)
{
    for (const auto& item : size_cases) {
        replica::log_status status;
        status.role = replica::member_role::leader;
        status.has_quorum = true;
        status.leader = self;
        for (const char name : item.members)
            status.members.push_back(
                {base::vm_id{std::string(1, name)}, {}, {}, name >= 'a'});
        const auto has_link = [&](const base::vm_id& vm) {
            return item.lost.find(vm.value()) == item.lost.npos;
        };
        member_reach reach;
        observe_links(reach, status, self, has_link, start);
        const auto needed = needed_members(item.losses);
        EXPECT_EQ(
            should_add(reach, status, needed, base::vm_id{"z"}), item.adds)
            << item.name;
        const auto removed =
            member_to_remove(reach, status, needed, start + seconds(60));
        EXPECT_EQ(removed ? removed->value() : "", item.removed) << item.name;
        EXPECT_FALSE(
            member_to_remove(reach, status, needed, start + seconds(1)))
            << item.name;
        EXPECT_EQ(voters_missing(status, needed), item.missing) << item.name;
        EXPECT_EQ(losses_borne(status), item.borne) << item.name;
    }
}

// Guards against a reserve that follows an outdated list of nodes, which two
// reserves keep sending to each other, and against a node that disturbs the
// members with elections after they have removed it.
TEST(group, a_reserve_follows_the_lists_of_members)
{
    const std::vector<wire::endpoint> members{{"b", 1}, {"c", 1}};
    const base::vm_id b{"b"};
    const base::vm_id reserve{"r"};
    group_news news;
    EXPECT_FALSE(is_excluded(news, self, start));
    note_group(news, members, reserve, start);
    EXPECT_TRUE(list_to_relay(news, start).empty());
    EXPECT_FALSE(is_excluded(news, self, start));
    note_group(news, members, b, start);
    EXPECT_EQ(list_to_relay(news, start), members);
    EXPECT_TRUE(is_excluded(news, self, start));
    EXPECT_FALSE(is_excluded(news, b, start));
    // What a reserve relays and an empty list change nothing.
    note_group(news, {{"d", 1}}, reserve, start + seconds(2));
    note_group(news, {}, b, start + seconds(2));
    EXPECT_EQ(list_to_relay(news, start + seconds(2)), members);
    EXPECT_TRUE(list_to_relay(news, start + seconds(3)).empty());
    EXPECT_FALSE(is_excluded(news, self, start + seconds(3)));

    // A member that was removed while it was away.
    auto status = make_status({"a", "x", "y"});
    status.role = replica::member_role::follower;
    status.has_quorum = false;
    EXPECT_TRUE(asks_for_admission(status, news, self, start, start));
    const auto linked = [&](seconds after) {
        std::string names;
        const std::vector<replica::member> seeds{{base::vm_id{"s"}, {}, {}}};
        for (const auto& node :
             nodes_to_link(status, news, seeds, self, start, start + after))
            names += node.vm.value();
        return names;
    };
    EXPECT_EQ(linked(seconds(0)), "bc");
    EXPECT_EQ(linked(seconds(4)), "axy");
    status.members.clear();
    EXPECT_EQ(linked(seconds(4)), "bc");
    EXPECT_EQ(linked(seconds(6)), "bcs");
}

} // namespace
} // namespace oleanderhinge::control
