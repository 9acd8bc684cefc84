// Guards against clients that make a control node use up its memory or
// descriptors.
#include "tests/crowds/bounds.hpp"
#include "tests/crowds/gateway_site.hpp"
#include "tests/crowds/rows.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::tests
{
namespace
{

// Of the smallest machines with a disk.
constexpr std::size_t max_memory = 160'000'000;
constexpr std::size_t clients = 60;
constexpr std::size_t body_bytes = std::size_t(4) << 20;
constexpr const char* control = "control";

std::string post(const std::string& framing)
{
    return "POST /v1/forwarding-table HTTP/1.1\r\nHost: a\r\n" + framing +
           "\r\n\r\n";
}

std::vector<crowd_row> rows()
{
    return body_rows(clients, body_bytes, post);
}

// A manifest of about 250 bytes a route.
std::string manifest(int route_count)
{
    boost::json::array routes;
    for (int i = 0; i < route_count; ++i)
        routes.push_back(boost::json::object{
            {"name", "route-" + std::to_string(i)},
            {"host", "desk.example"},
            {"pathPrefix",
             "/desk" + std::to_string(i) + "/" + std::string(80, 'a') + "/"},
            {"kind", "safe"},
            {"timeoutMs", 20000},
            {"targetLatencyMs", 150},
            {"priority", 0},
            {"service", "desk"},
            {"attempts", 2},
            {"anonymous", false}});
    return boost::json::serialize(boost::json::object{
        {"version", 2},
        {"routes", routes},
        {"services",
         boost::json::array{boost::json::object{
             {"name", "desk"},
             {"healthPath", "/health"},
             {"connectionLimit", 260},
             {"protocol", "h1"},
             {"tls", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}});
}

class control_crowd : public testing::Test
{
protected:
    void play(const crowd_row& row)
    {
        crowd visitors(this->site.admin);
        visitors.add(row.clients, row.script);
        EXPECT_TRUE(visitors.wait_sent()) << row.what;
        visitors.wait_read();
        expect_bounds(
            this->site.run, control, {.memory = max_memory}, row.what, [this] {
                return call(
                           this->site.admin,
                           {"GET", "/v1/forwarding-table", "", {}},
                           std::chrono::seconds(10))
                           .status == 200;
            });
    }

    gateway_site site{256};
};

class control_crowd_rows : public control_crowd,
                           public testing::WithParamInterface<std::size_t>
{
};

INSTANTIATE_TEST_SUITE_P(
    bodies, control_crowd_rows, testing::Range(std::size_t(0), rows().size()));

TEST_P(control_crowd_rows, memory_stays_in_bounds)
{
    ASSERT_TRUE(this->site.start());
    this->play(rows()[this->GetParam()]);
}

TEST_F(control_crowd, large_manifests_at_once)
{
    ASSERT_TRUE(this->site.start());
    const auto text = manifest(18000);
    ASSERT_GT(text.size(), 4'500'000U);
    ASSERT_LT(text.size(), 5'000'000U);
    const auto head = post("Content-Length: " + std::to_string(text.size()));
    this->play(
        {"large manifests",
         clients,
         {.head = head,
          .piece = text.substr(0, text.size() - 1),
          .pieces = 1,
          .end = text.substr(text.size() - 1),
          .one_in = 3}});
}

TEST_F(control_crowd, large_manifests_that_are_not_read)
{
    ASSERT_TRUE(this->site.start());
    const auto text = manifest(5500);
    http_reply reply;
    EXPECT_TRUE(wait_until(
        [&] {
            reply = call(
                this->site.admin, {"POST", "/v1/forwarding-table", text, {}});
            return reply.status == 200;
        },
        std::chrono::seconds(10)))
        << reply.status << " " << reply.body;
    std::string many;
    for (int i = 0; i < 100; ++i)
        many += "GET /v1/forwarding-table HTTP/1.1\r\nHost: a\r\n\r\n";
    this->play(
        {"answers are not read", clients, {.head = many, .reads = false}});
}

} // namespace
} // namespace oleanderhinge::tests
