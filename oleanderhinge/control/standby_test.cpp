#include "oleanderhinge/control/standby.hpp"

#include "oleanderhinge/net/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

// Guards against a restart loop when the platform starts a control node on a VM
// without a disk, and against acknowledgments by a node that cannot store them.
TEST(standby, calls_are_refused_as_not_run)
{
    boost::asio::io_context io;
    service_options options;
    options.link.self.vm = base::vm_id{"edge-4"};
    options.admin_listen = {"127.0.0.1", 0};
    options.management_listen = {"127.0.0.1", 0};
    standby node(io, options);
    const auto open = base::handle(
        [&] { return node.start(); },
        [](const base::error& e) -> service_endpoints {
            ADD_FAILURE() << e.detail;
            return {};
        });
    net::http_client client(io, 1);
    net::http_outcome outcome;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            net::http_call call{"POST", "/v1/forwarding-table", {}, "{}"};
            outcome = co_await client.call(
                open.admin, std::move(call), 5s, net::reuse::never);
            node.stop();
        },
        boost::asio::detached);
    io.run();
    EXPECT_EQ(outcome.answer.status, 503U);
    EXPECT_NE(outcome.answer.body.find("not_run"), std::string::npos);
}

} // namespace
} // namespace oleanderhinge::control
