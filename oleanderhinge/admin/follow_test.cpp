#include "oleanderhinge/admin/follow.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::admin
{
namespace
{

std::string at(const std::string& second, const std::string& text)
{
    return "2026-01-09T18:41:" + second + "+00:00 info " + text + "\n";
}

const std::vector<log_file> logs{
    {"edge-1",
     at("10.000000", "event=configuration_applied revision=3") +
         at("15.100000", "event=server_changed server=i-b layers=4-7") +
         at("16.000000", "event=control_lost member=10.1.0.1") +
         at("16.300000",
            "event=attempt_failed request=9c41 to=i-a,i-b at_fault=10.2.0.3") +
         at("16.400000", "event=answer request=9c41 to=i-a,i-b outcome=503") +
         at("16.400000", "event=answer request=9c412 to=i-z outcome=200")},
    {"edge-2", at("16.100000", "event=control_lost member=10.1.0.1")},
    {"control",
     "no time here event=server_changed server=i-a\n" +
         at("15.000000", "event=server_changed server=i-b layers=4-7") +
         at("15.900000",
            "event=server_suspected address=10.2.0.3:80 from=edge-2") +
         at("16.000000", "event=order server=i-a layers=0-7 term=2") +
         at("17.000000", "event=order server=i-a layers=0-4 term=2")}};

// Guards against a search for a failed request that misses the lines of its
// servers in the logs of other processes, or drowns them in those of others.
TEST(follow, lines_of_the_request_and_of_its_servers_in_order)
{
    std::string text;
    for (const auto& line : follow(logs, "9c41"))
        text += line.source + " " + line.text.substr(17, 4) + " " +
                line.text.substr(line.text.find("event=") + 6, 16) + "\n";
    EXPECT_EQ(
        text,
        "edge-1 15.1 server_changed s\n"
        "control 15.9 server_suspected\n"
        "edge-1 16.0 control_lost mem\n"
        "control 16.0 order server=i-a\n"
        "edge-1 16.3 attempt_failed r\n"
        "edge-1 16.4 answer request=9\n");
}

// Guards against an answer for a request that no log knows.
TEST(follow, an_unknown_request_has_no_lines)
{
    EXPECT_TRUE(follow(logs, "9c4").empty());
    EXPECT_TRUE(follow({}, "9c41").empty());
    EXPECT_TRUE(follow({{"a", "2026-13\nrequest=9c41"}}, "9c41").empty());
}

} // namespace
} // namespace oleanderhinge::admin
