// Guards against a gateway that forgets how to reach control, or goes on trying
// nodes that left it long ago.
#include "oleanderhinge/gateway/control_members.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::hours;
using std::chrono::seconds;

wire::endpoint node(char name)
{
    return {std::string(1, name), 1};
}

std::vector<wire::endpoint> nodes(const std::string& names)
{
    std::vector<wire::endpoint> all;
    for (const auto name : names)
        all.push_back(node(name));
    return all;
}

// A gateway with its own clock. Nodes are named by single letters.
class driver
{
public:
    explicit driver(const std::string& seeds) { this->seeds(seeds); }

    void seeds(const std::string& names)
    {
        set_seeds(this->members, nodes(names));
    }
    // One list a second.
    void lists(seconds time, const std::string& names)
    {
        for (seconds passed{0}; passed < time; ++passed) {
            this->pass(seconds(1));
            note_group(this->members, nodes(names), this->now);
        }
    }
    // Without any list. Each connection that is due fails.
    void silence(seconds time)
    {
        for (seconds passed{0}; passed < time; ++passed)
            this->pass(seconds(1));
    }
    void open(char name)
    {
        connecting(this->members, node(name), this->link_of(name));
        opened(this->members, this->link_of(name));
    }
    void close(char name)
    {
        closed(this->members, this->link_of(name), this->now);
    }
    std::string known() const
    {
        std::string names;
        for (const auto& [address, item] : this->members.known)
            names += address.address;
        return names;
    }

private:
    static net::link_id link_of(char name)
    {
        return net::link_id{std::uint64_t(name)};
    }
    void pass(seconds time)
    {
        this->now += time;
        for (const auto& address : due(this->members, this->now)) {
            const auto link = this->link_of(address.address.front());
            connecting(this->members, address, link);
            closed(this->members, link, this->now);
        }
    }

    control_members members;
    base::time_point now{seconds(100)};
};

struct membership_case {
    const char* name;
    // The seeds are a, b and c.
    std::function<void(driver&)> events;
    std::string expected;
};

const membership_case membership_cases[] = {
    {"learned from the settings", [](driver&) {}, "abc"},
    {"learned from lists",
     [](driver& d) { d.lists(seconds(1), "abcd"); },
     "abcd"},
    {"no lists are ever sent", [](driver& d) { d.silence(hours(1)); }, "abc"},
    {"cut off for 40 s",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.silence(seconds(40));
     },
     "abc"},
    {"cut off for an hour from nodes that are no seeds",
     [](driver& d) {
         d.lists(seconds(60), "def");
         d.silence(hours(1));
     },
     "abcdef"},
    {"all replaced during a cut, before the others are forgotten",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.silence(hours(1));
         d.lists(seconds(30), "def");
     },
     "abcdef"},
    {"all replaced during a cut",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.silence(hours(1));
         d.lists(seconds(31), "def");
     },
     "def"},
    {"replaced",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.lists(seconds(31), "abd");
     },
     "abd"},
    {"replaced seeds are tried again without lists",
     [](driver& d) {
         d.lists(seconds(31), "def");
         d.silence(seconds(3));
     },
     "abcdef"},
    {"replaced seeds are forgotten again",
     [](driver& d) {
         d.lists(seconds(31), "def");
         d.silence(seconds(40));
         d.lists(seconds(31), "def");
     },
     "def"},
    {"only a node without a quorum is reached",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.open('a');
         d.lists(seconds(60), "");
     },
     "abc"},
    {"a member that catches up lists fewer",
     [](driver& d) {
         for (int i = 0; i < 60; ++i) {
             d.lists(seconds(1), "abcd");
             d.lists(seconds(1), "ab");
         }
     },
     "abcd"},
    {"removed, with a link",
     [](driver& d) {
         d.lists(seconds(1), "abcd");
         d.open('d');
         d.lists(seconds(60), "abc");
     },
     "abcd"},
    {"removed, and its link is closed",
     [](driver& d) {
         d.lists(seconds(1), "abcd");
         d.open('d');
         d.lists(seconds(60), "abc");
         d.close('d');
         d.lists(seconds(1), "abc");
     },
     "abc"},
    {"removed, and back within 30 s",
     [](driver& d) {
         d.lists(seconds(1), "abcd");
         d.lists(seconds(20), "abc");
         d.lists(seconds(1), "abcd");
         d.lists(seconds(20), "abc");
     },
     "abcd"},
    {"other seeds before the first list",
     [](driver& d) { d.seeds("cde"); },
     "cde"},
    {"other seeds after a list",
     [](driver& d) {
         d.lists(seconds(1), "ab");
         d.seeds("de");
     },
     "abde"},
    {"other seeds that are no members",
     [](driver& d) {
         d.lists(seconds(1), "abc");
         d.seeds("de");
         d.lists(seconds(31), "abc");
     },
     "abc"},
    {"other seeds during a cut",
     [](driver& d) {
         d.lists(seconds(60), "abc");
         d.silence(seconds(40));
         d.seeds("def");
         d.lists(seconds(31), "def");
     },
     "def"},
};

// Guards against an address of control that is forgotten while no list arrives,
// or kept although the lists of the group do not contain it any more.
TEST(control_members, addresses_follow_the_group)
{
    for (const auto& item : membership_cases) {
        driver d("abc");
        item.events(d);
        EXPECT_EQ(d.known(), item.expected) << item.name;
    }
}

} // namespace
} // namespace oleanderhinge::gateway
