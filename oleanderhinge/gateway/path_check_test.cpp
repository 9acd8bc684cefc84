#include "oleanderhinge/gateway/path_check.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace oleanderhinge::gateway
{
namespace
{

using std::chrono::milliseconds;

fleet::path path_over(const std::vector<std::string>& addresses)
{
    fleet::path parts;
    for (const auto& address : addresses)
        parts.push_back({{}, {address, 80}, {}, {}});
    return parts;
}

struct check_step {
    milliseconds at;
    std::vector<std::string> path;
    std::set<std::string> progressing;
    std::vector<std::string> checked;
};

struct check_case {
    const char* load;
    std::vector<check_step> steps;
};

const check_case check_cases[] = {
    {"a later server is lost: all later parts are checked, the first is not",
     {{milliseconds(0), {"a", "b", "c"}, {}, {"b", "c"}}}},
    {"all its streams fall silent at once: one check for all of them",
     {{milliseconds(0), {"a", "b", "c"}, {}, {"b", "c"}},
      {milliseconds(100), {"a", "b", "c"}, {}, {}},
      {milliseconds(200), {"d", "c"}, {}, {}},
      {milliseconds(500), {"a", "b", "c"}, {}, {"b", "c"}}}},
    {"a link loses packets: servers of streams that go on are not checked",
     {{milliseconds(0), {"a", "b", "c"}, {"b", "c"}, {}},
      {milliseconds(100), {"a", "b", "c"}, {"b"}, {"c"}}}},
};

// Guards against chains whose streams wait for a report about a lost server,
// and against sound servers that are left because of one lost packet.
TEST(path_check, checks_the_servers_that_a_silent_stream_may_wait_for)
{
    for (const auto& item : check_cases) {
        path_checks checks;
        const base::time_point start(std::chrono::hours(1));
        for (const auto& step : item.steps) {
            std::set<wire::endpoint> progressing;
            for (const auto& address : step.progressing)
                progressing.insert({address, 80});
            std::vector<std::string> checked;
            for (const auto& server : servers_to_check(
                     checks,
                     path_over(step.path),
                     progressing,
                     start + step.at))
                checked.push_back(server.address);
            EXPECT_EQ(checked, step.checked)
                << item.load << ", " << step.at.count() << " ms";
        }
    }
}

// A data centre is slow as a whole. Guards against connections without limit.
TEST(path_check, limits_the_connections_of_a_gateway)
{
    path_checks checks;
    const base::time_point start(std::chrono::hours(1));
    constexpr int seconds = 10;
    std::size_t made = 0;
    for (int ms = 0; ms < seconds * 1000; ms += 100) {
        std::vector<std::string> addresses;
        for (int i = 0; i < 20; ++i)
            addresses.push_back(std::to_string(ms) + "." + std::to_string(i));
        made += servers_to_check(
                    checks, path_over(addresses), {}, start + milliseconds(ms))
                    .size();
    }
    EXPECT_LE(made, max_checks_at_once + seconds * checks_per_second);
    EXPECT_GE(made, seconds * checks_per_second / 2);
}

TEST(path_check, leaves_time_to_change_the_path)
{
    EXPECT_EQ(check_delay(milliseconds(0)), std::nullopt);
    EXPECT_EQ(check_delay(milliseconds(250)), milliseconds(100));
}

// Guards against an ended process that counts as reachable, and the reverse.
TEST(path_check, finds_the_server_that_refuses_connections)
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context io;
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    tcp::acceptor listening(io, any);
    std::uint16_t closed = 0;
    {
        tcp::acceptor ended(io, any);
        closed = ended.local_endpoint().port();
    }
    std::vector<wire::endpoint> unreachable;
    path_checker checker(io, [&](const wire::endpoint& server) {
        unreachable.push_back(server);
    });
    auto parts = path_over({"127.0.0.1", "127.0.0.1", "127.0.0.1"});
    parts[1].address.port = listening.local_endpoint().port();
    parts[2].address.port = closed;
    checker.check(parts, {}, base::time_point(std::chrono::hours(1)));
    io.run();
    EXPECT_EQ(unreachable, std::vector{parts[2].address});
}

} // namespace
} // namespace oleanderhinge::gateway
