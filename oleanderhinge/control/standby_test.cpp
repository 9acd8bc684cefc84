#include "oleanderhinge/control/standby.hpp"

#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

// Starts a standby and returns its answer to each of `count` calls. Its
// settings change before them if there are other seeds.
std::vector<net::http_outcome> call_standby(
    std::vector<replica::member> seeds,
    int count,
    const std::vector<replica::member>& changed = {})
{
    boost::asio::io_context io;
    service_options options;
    options.link.self.vm = base::vm_id{"edge-4"};
    options.admin_listen = {"127.0.0.1", 0};
    options.management_listen = {"127.0.0.1", 0};
    options.initial_members = std::move(seeds);
    standby node(io, options);
    const auto open = base::handle(
        [&] { return node.start(); },
        [](const base::error& e) -> service_endpoints {
            ADD_FAILURE() << e.detail;
            return {};
        });
    if (!changed.empty())
        node.set_seeds(changed);
    net::http_client client(io, 1);
    std::vector<net::http_outcome> outcomes;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            for (int i = 0; i < count; ++i) {
                net::http_call call{"POST", "/v1/forwarding-table", {}, "{}"};
                outcomes.push_back(co_await client.call(
                    open.admin, std::move(call), 5s, net::reuse::never));
            }
            node.stop();
        },
        boost::asio::detached);
    io.run();
    return outcomes;
}

// Ten of fifteen control nodes have no disk. Guards against operators whose
// calls fail at one after another: a change took 6 s to reach the leader.
TEST(standby, calls_are_redirected_to_the_named_nodes_in_turn)
{
    std::vector<replica::member> seeds(2);
    seeds[0].admin = {"10.1.0.1", 8229};
    seeds[1].admin = {"10.2.0.1", 8229};
    std::vector<std::string> locations;
    for (const auto& outcome : call_standby(std::move(seeds), 3)) {
        EXPECT_EQ(outcome.answer.status, 307U);
        for (const auto& field : outcome.answer.headers)
            if (field.name == "Location")
                locations.push_back(field.value);
    }
    EXPECT_EQ(
        locations,
        (std::vector<std::string>{
            "http://10.1.0.1:8229/v1/forwarding-table",
            "http://10.2.0.1:8229/v1/forwarding-table",
            "http://10.1.0.1:8229/v1/forwarding-table"}));
}

// Guards against calls that are redirected to nodes which were replaced.
TEST(standby, calls_follow_changed_seeds)
{
    std::vector<replica::member> seeds(1);
    seeds[0].admin = {"10.1.0.1", 8229};
    auto changed = seeds;
    changed[0].admin = {"10.4.0.1", 8229};
    const auto outcomes = call_standby(seeds, 1, changed);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_THAT(
        outcomes[0].answer.headers,
        testing::Contains(testing::AllOf(
            testing::Field(&wire::header::name, "Location"),
            testing::Field(
                &wire::header::value,
                "http://10.4.0.1:8229/v1/forwarding-table"))));
}

net::link_options link_options_of(wire::role sender, const std::string& vm)
{
    net::link_options options;
    options.cluster_secret = "secret of the test";
    options.self.sender = sender;
    options.self.vm = base::vm_id{vm};
    return options;
}

wire::endpoint listen(net::link_table& links)
{
    return base::handle(
        [&] {
            return links.listen({"127.0.0.1", 0});
        },
        [](const base::error& e) -> wire::endpoint {
            ADD_FAILURE() << e.detail;
            return {};
        });
}

// After new seeds, the settings of all others may name only standbys. Guards
// against gateways and new members that then never find the group.
TEST(standby, who_knows_only_standbys_learns_the_members_and_can_ask_them)
{
    boost::asio::io_context io;
    timeline::hybrid_clock clock;
    const auto ignore = [](net::link_id, net::close_reason, bool) {};
    std::vector<wire::endpoint> learned;
    std::string asked;
    wire::endpoint member_at;
    std::unique_ptr<net::link_table> member;
    member = std::make_unique<net::link_table>(
        io,
        clock,
        link_options_of(wire::role::control, "127.0.0.1"),
        net::link_events{
            [&](net::link_id link, const wire::hello&) {
                member->send(link, wire::control_group{{member_at}, 0});
            },
            [&](net::link_id, const wire::message& content) {
                if (const auto* join =
                        std::get_if<wire::join_request>(&content))
                    asked = join->vm.value();
                if (!asked.empty() && !learned.empty())
                    io.stop();
            },
            ignore});
    member_at = listen(*member);
    service_options options;
    options.link = link_options_of(wire::role::control, "edge-4");
    options.link_listen = {"127.0.0.1", 0};
    options.admin_listen = {"127.0.0.1", 0};
    options.management_listen = {"127.0.0.1", 0};
    options.initial_members.push_back(
        {base::vm_id{"127.0.0.1"}, member_at, {}, true});
    standby node(io, options);
    const auto open = base::handle(
        [&] { return node.start(); },
        [](const base::error& e) -> service_endpoints {
            ADD_FAILURE() << e.detail;
            return {};
        });
    std::unique_ptr<net::link_table> joining;
    joining = std::make_unique<net::link_table>(
        io,
        clock,
        link_options_of(wire::role::control, "edge-5"),
        net::link_events{
            [](net::link_id, const wire::hello&) {},
            [&](net::link_id link, const wire::message& content) {
                const auto* group = std::get_if<wire::control_group>(&content);
                if (group == nullptr)
                    return;
                learned = group->members;
                joining->send(
                    link, wire::join_request{base::vm_id{"edge-5"}, {}, {}});
            },
            ignore});
    joining->connect(open.link);
    io.run_for(20s);
    EXPECT_EQ(learned, std::vector<wire::endpoint>{member_at});
    EXPECT_EQ(asked, "edge-5");
    node.stop();
    joining->shutdown();
    member->shutdown();
}

// Guards against a restart loop when the platform starts a control node on a VM
// without a disk, and against acknowledgments by a node that cannot store them.
TEST(standby, calls_are_refused_as_not_run)
{
    const auto outcomes = call_standby({}, 1);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].answer.status, 503U);
    EXPECT_NE(outcomes[0].answer.body.find("not_run"), std::string::npos);
}

} // namespace
} // namespace oleanderhinge::control
