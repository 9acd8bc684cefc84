// Reads of the forwarding table at a member whose VM stood still while the
// others went on.
#include "tests/harness/control_nodes.hpp"
#include "tests/harness/http_connection.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <ostream>

namespace oleanderhinge::tests
{

std::ostream& operator<<(std::ostream& out, halt_kind kind)
{
    constexpr const char* names[] = {"freeze", "suspend", "pause"};
    return out << names[std::size_t(kind)];
}

namespace
{

class halted_leader : public testing::TestWithParam<halt_kind>
{
};

// Guards against a leader that answers a read from its old state after its VM
// stood still, because its clock did not count that time and its lease seems to
// hold.
TEST_P(halted_leader, does_not_answer_a_waiting_read_from_its_old_state)
{
    control_nodes nodes(3);
    ASSERT_TRUE(wait_until([&] { return nodes.put(0, 1); }));
    // Until all members vote, another member may be chosen.
    const auto leader = nodes.leader();
    ASSERT_TRUE(leader);
    ASSERT_EQ(nodes.read_at(*leader).version, 1U);
    nodes.halt(*leader);
    const auto other = (*leader + 1) % nodes.count();
    ASSERT_TRUE(wait_until([&] { return nodes.put(other, 2); }));
    // The request waits in the socket of the process.
    http_connection waiting(
        nodes.admin, std::chrono::seconds(10), nodes.address(*leader));
    ASSERT_TRUE(waiting.write("GET /v1/forwarding-table HTTP/1.1\r\n"
                              "Host: control\r\n\r\n"));
    nodes.resume(*leader, GetParam());
    const auto first = control_nodes::parse_read(waiting.read());
    EXPECT_TRUE(first.status != 200 || first.version >= 2)
        << "status " << first.status << ", version " << first.version;
    // Reads that arrive before it knows its successor.
    ASSERT_TRUE(wait_until([&] {
        const auto next = nodes.read_at(*leader);
        EXPECT_TRUE(next.status != 200 || next.version >= 2)
            << "status " << next.status << ", version " << next.version;
        return next.status == 307 || HasFailure();
    }));
}

INSTANTIATE_TEST_SUITE_P(
    control_reads,
    halted_leader,
    testing::Values(halt_kind::freeze, halt_kind::suspend, halt_kind::pause),
    testing::PrintToStringParamName());

class lapsed_lease : public testing::TestWithParam<halt_kind>
{
};

// Guards against a leader that still claims its lease when its VM wakes, and
// with it gives orders to backend servers and permits to gateways.
TEST_P(lapsed_lease, is_not_claimed_by_a_leader_that_wakes)
{
    control_nodes nodes(3);
    std::optional<std::size_t> leader;
    ASSERT_TRUE(wait_until([&] {
        leader = nodes.leader();
        return leader.has_value();
    }));
    nodes.halt(*leader);
    const auto other = (*leader + 1) % nodes.count();
    ASSERT_TRUE(wait_until([&] { return nodes.put(other, 1); }));
    const auto query = control_nodes::status_query();
    http_connection waiting(
        nodes.admin, std::chrono::seconds(10), nodes.address(*leader));
    ASSERT_TRUE(waiting.write(
        query.method + " " + query.target + " HTTP/1.1\r\nHost: control\r\n" +
        query.headers[0].first + ": " + query.headers[0].second + "\r\n\r\n"));
    nodes.resume(*leader, GetParam());
    const auto reply = waiting.read();
    ASSERT_EQ(reply.status, 200U);
    const auto status = boost::json::parse(reply.body);
    EXPECT_FALSE(
        status.at("role").as_string() == "leader" &&
        status.at("quorum").as_bool())
        << reply.body;
}

// No clock of leases counts a pause by the hypervisor.
INSTANTIATE_TEST_SUITE_P(
    control_reads,
    lapsed_lease,
    testing::Values(halt_kind::freeze, halt_kind::suspend),
    testing::PrintToStringParamName());

} // namespace
} // namespace oleanderhinge::tests
