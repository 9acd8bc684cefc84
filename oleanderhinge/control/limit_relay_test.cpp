#include "oleanderhinge/control/limit_relay.hpp"

#include "oleanderhinge/control/fleet_watch.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{1h};
const std::vector<net::link_id> gateways{
    net::link_id{1}, net::link_id{2}, net::link_id{3}};

wire::server_limit limit(const char* server, std::optional<double> per_second)
{
    return {base::backend_server_id{server}, 1, per_second, 0};
}

// The servers that each gateway is sent, as "gateway:server".
std::vector<std::string> sent(const std::vector<limit_message>& messages)
{
    std::vector<std::string> found;
    for (const auto& [to, content] : messages)
        for (const auto gateway : to)
            for (const auto& item : content.items)
                found.push_back(
                    std::to_string(gateway.value()) + ":" +
                    item.server.value());
    return found;
}

struct step {
    const char* guards_against;
    struct {
        base::duration at;
        std::uint64_t from;
        std::vector<wire::server_limit> stated;
        bool leads;
    } input;
    std::vector<std::string> sent;
};

const std::vector<step> steps{
    {"statements sent on by a follower", {0s, 1, {limit("a", 3)}, false}, {}},
    {"a leader that leaves out what it learned before",
     {1s, 1, {}, true},
     {"1:a", "2:a", "3:a"}},
    {"a change that returns to the gateway that stated it",
     {2s, 1, {limit("b", 3)}, true},
     {"2:b", "3:b"}},
    {"a statement that is no change sent on",
     {3s, 2, {limit("a", 3), limit("b", 3)}, true},
     {}},
    {"an end that is not sent on",
     {4s, 3, {limit("b", {})}, true},
     {"1:b", "2:b"}},
    {"limits that others do not confirm",
     {6s, 1, {}, true},
     {"1:a", "1:b", "2:a", "2:b", "3:a", "3:b"}},
    {"limits sent at each tick", {6100ms, 1, {}, true}, {}},
    {"limits sent without a quorum", {20s, 1, {limit("c", 3)}, false}, {}},
    {"limits kept that nobody confirms",
     {fleet::statement_lifetime + 4s, 1, {}, true},
     {"1:c", "2:c", "3:c"}},
    {"statements sent on after the lead is lost",
     {fleet::statement_lifetime + 5s, 1, {limit("d", 3)}, false},
     {}},
    {"a new leader that waits for the interval",
     {fleet::statement_lifetime + 6s, 1, {}, true},
     {"1:c", "1:d", "2:c", "2:d", "3:c", "3:d"}},
};

} // namespace

// Guards against the faults in the table.
TEST(limit_relay, sends_each_change_to_those_that_lack_it)
{
    limit_relay relay;
    for (const auto& row : steps) {
        const auto now = start + row.input.at;
        apply(relay, net::link_id{row.input.from}, {row.input.stated}, now);
        EXPECT_THAT(
            sent(take_messages(relay, gateways, row.input.leads, now)),
            testing::UnorderedElementsAreArray(row.sent))
            << row.guards_against;
    }
}

// Guards against a gateway that does not get a change of another one in the
// same tick, and against one that gets back its own.
TEST(limit_relay, changes_of_several_gateways_cross)
{
    limit_relay relay;
    take_messages(relay, gateways, true, start);
    apply(relay, net::link_id{1}, {{limit("a", 1)}}, start);
    apply(relay, net::link_id{2}, {{limit("b", 1)}}, start);
    EXPECT_THAT(
        sent(take_messages(relay, gateways, true, start + 1s)),
        testing::UnorderedElementsAre("2:a", "1:b", "3:a", "3:b"));
}

// Guards against messages that are too large, and against one id that keeps the
// others from being sent.
TEST(limit_relay, long_lists_are_divided)
{
    wire::server_limits all{{limit("first", 1)}};
    for (int i = 0; i < 5000; ++i)
        all.items.push_back(
            limit((std::string(250, 'n') + std::to_string(i)).c_str(), 1));
    all.items.push_back(limit(std::string(max_batch_bytes, 'n').c_str(), 1));
    all.items.push_back(limit("last", 1));
    std::size_t items = 0;
    for (const auto& message : split(all)) {
        EXPECT_LE(wire::to_bytes(message).size(), max_batch_bytes);
        items += message.items.size();
    }
    EXPECT_EQ(items, all.items.size() - 1);
    EXPECT_TRUE(split(wire::permit_grant{}).empty());
}

} // namespace oleanderhinge::control
