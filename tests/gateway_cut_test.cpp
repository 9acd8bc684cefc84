// A gateway that is cut off from control and reached again.
#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"
#include "tests/harness/relay.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace oleanderhinge::tests
{
namespace
{

namespace json = boost::json;

json::object route(const std::string& path)
{
    return {
        {"name", path},
        {"host", "desk.example"},
        {"pathPrefix", path},
        {"kind", "safe"},
        {"timeoutMs", 2500},
        {"targetLatencyMs", 150},
        {"priority", 0},
        {"service", "desk"},
        {"attempts", 2},
        {"anonymous", false}};
}

std::string table(int version, const json::array& routes)
{
    return json::serialize(json::object{
        {"version", version},
        {"routes", routes},
        {"services",
         json::array{json::object{
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

// One control node, whose links pass through a relay, and a gateway.
class gateway_cut : public testing::Test
{
protected:
    void SetUp() override
    {
        this->run.start(
            "control",
            {"oleanderhinge-control",
             "--config",
             this->run.write(
                 "control.ini",
                 this->node_lines("127.0.0.1") + "data_folder = " +
                     this->run.path("data") + "\n[control]\nseeds = " +
                     this->admin_text() + "\n[link]\nlisten = 127.0.0.2:" +
                     std::to_string(this->links) +
                     "\n[admin]\nlisten = " + this->admin_text() +
                     "\ntoken = operators-only-token\n[management]\n"
                     "listen = 127.0.0.1:" +
                     std::to_string(processes::free_port()) + "\n")});
        this->run.start(
            "gateway",
            {"oleanderhinge-gateway",
             "--config",
             this->run.write(
                 "gateway.ini",
                 this->node_lines("gateway") +
                     "[gateway]\nlisten = 127.0.0.1:" +
                     std::to_string(this->callers) +
                     "\n[control]\nseeds = " + this->admin_text() +
                     "\nlink_port = " + std::to_string(this->links) +
                     "\n[management]\nlisten = 127.0.0.1:" +
                     std::to_string(this->management) + "\n")});
    }

    std::string admin_text() const
    {
        return "127.0.0.1:" + std::to_string(this->admin);
    }
    static std::string node_lines(const std::string& vm)
    {
        return "[node]\nvm = " + vm +
               "\nregion = north\ndata_centre = a\n"
               "cluster_secret = secret-of-the-process-tests\n";
    }

    bool put(int version, const json::array& routes) const
    {
        return wait_until([&] {
            return call(
                       this->admin,
                       {"POST",
                        "/v1/forwarding-table",
                        table(version, routes),
                        {{"Content-Type", "application/json"}}})
                       .status == 200;
        });
    }
    // 503 for a known path, since there are no servers.
    unsigned status_of(const std::string& path) const
    {
        return call(
                   this->callers, {"GET", path, "", {{"Host", "desk.example"}}})
            .status;
    }
    std::string metrics() const
    {
        return call(this->management, {"GET", "/metrics", "", {}}).body;
    }
    bool wait_for_links(int count) const
    {
        const auto line = "\noleanderhinge_gateway_control_links " +
                          std::to_string(count) + "\n";
        return wait_until(
            [&] { return this->metrics().find(line) != std::string::npos; });
    }

    const std::uint16_t links = processes::free_port();
    const std::uint16_t admin = processes::free_port();
    const std::uint16_t callers = processes::free_port();
    const std::uint16_t management = processes::free_port();
    relay between{{"127.0.0.1", links}, {"127.0.0.2", links}};
    processes run;
};

// Guards against a gateway that has forgotten control after a cut of more than
// 30 s, and keeps its old table for good while it says that it is ready.
TEST_F(gateway_cut, the_table_of_a_long_cut_is_in_force_after_it)
{
    ASSERT_TRUE(this->put(1, {route("/one/")}));
    ASSERT_TRUE(wait_until([&] { return this->status_of("/one/x") == 503; }));
    this->between.cut();
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(this->wait_for_links(0));
    ASSERT_TRUE(this->put(2, {route("/one/"), route("/two/")}));
    constexpr auto length = std::chrono::seconds(40);
    ASSERT_TRUE(wait_until(
        [&] { return std::chrono::steady_clock::now() >= begin + length; }));
    EXPECT_EQ(this->status_of("/two/x"), 404U);
    this->between.restore();
    EXPECT_TRUE(this->wait_for_links(1));
    EXPECT_TRUE(wait_until([&] { return this->status_of("/two/x") == 503; }));
}

} // namespace
} // namespace oleanderhinge::tests
