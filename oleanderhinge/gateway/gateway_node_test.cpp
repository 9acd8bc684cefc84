// Guards against a process that ends without an answer to the requests that it
// has accepted.
#include "oleanderhinge/gateway/gateway_node.hpp"

#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace oleanderhinge::gateway
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace test;

// Guards against a request that is cut off without an answer by SIGINT in a
// drain, or by a drain that ends before its last tick.
TEST(gateway_node, a_process_that_ends_answers_what_it_has_accepted)
{
    asio::io_context io;
    gateway_settings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.management = {"127.0.0.1", 0};
    auto protocol = make_protocol_adapter();
    protocol.read_request =
        [&io, read = protocol.read_request](const http_fields& fields) {
            asio::post(io, [] { std::raise(SIGTERM); });
            asio::post(io, [] { std::raise(SIGINT); });
            return read(fields);
        };
    gateway_node node(io, settings, protocol);
    ASSERT_TRUE(base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(node.start());
            return true;
        },
        [](const base::error&) { return false; }));
    net::http_client client(io, 1);
    net::http_outcome outcome;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            net::http_call call{"POST", "/once/x", {}, "body"};
            outcome = co_await client.call(
                node.callers_endpoint(),
                std::move(call),
                5s,
                net::reuse::never);
        },
        asio::detached);
    net::run_process(io, node.process_options());
    EXPECT_EQ(outcome.answer.status, 503U);
    EXPECT_NE(outcome.answer.body.find("\"not_run\""), std::string::npos);
}

} // namespace
} // namespace oleanderhinge::gateway
