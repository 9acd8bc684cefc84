// Backend servers that have ended their registration, in a deployment whose
// processes are all killed and restarted.
#include "tests/harness/desk_service.hpp"
#include "tests/harness/gateway_fleet.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <atomic>

namespace oleanderhinge::tests
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kept_name = "desk-1";
constexpr const char* ended_name = "desk-2";
// Needs no mark of the server.
constexpr unsigned server_status = 404;

class ended_servers : public testing::Test
{
protected:
    ended_servers()
    {
        this->fleet.add_server(
            kept_name, counting(this->kept_requests), desk_report);
        // After its end, the first report is delivered again and again.
        this->fleet.add_server(
            ended_name,
            counting(this->ended_requests),
            [this](const std::string& address, std::size_t sequence) {
                this->late_reports += this->ended;
                return desk_report(address, this->ended ? 1 : sequence);
            });
    }

    static net::http_handler counting(std::atomic<std::size_t>& requests)
    {
        return [&requests](
                   const net::http_request&,
                   net::http_exchange& exchange) -> asio::awaitable<void> {
            ++requests;
            co_await exchange.respond(server_status, "", "none here", {});
        };
    }

    unsigned ask() const
    {
        return call(
                   this->fleet.gateways[0].callers,
                   {"GET", "/desk/x", "", {{"Host", "desk.example"}}})
            .status;
    }

    unsigned leave()
    {
        this->ended = true;
        return call(
                   this->fleet.admin,
                   {"POST",
                    std::string("/v1/servers/") + ended_name + "/leave",
                    json::serialize(json::object{{"born", desk_started_ms}}),
                    {{"Content-Type", "application/json"}}})
            .status;
    }

    void restart_all()
    {
        this->fleet.run.kill(gateway_fleet::name(0));
        this->fleet.run.kill("control");
        this->fleet.run.start(
            "control",
            {"oleanderhinge-control",
             "--config",
             this->fleet.run.path("control.ini")});
        this->fleet.start_gateway(0);
    }

    std::atomic<bool> ended{false};
    std::atomic<std::size_t> late_reports{0};
    std::atomic<std::size_t> kept_requests{0};
    std::atomic<std::size_t> ended_requests{0};
    gateway_fleet fleet{1, ""};
};

// Guards against an acknowledged end that is forgotten when all processes are
// killed: a report from before it makes the server usable again.
TEST_F(ended_servers, a_late_report_after_a_restart_of_all_brings_none_back)
{
    ASSERT_TRUE(this->fleet.start(desk_table()));
    ASSERT_TRUE(wait_until([this] {
        this->ask();
        return this->kept_requests > 0 && this->ended_requests > 0;
    }));
    ASSERT_EQ(this->leave(), 200U);
    this->restart_all();
    ASSERT_TRUE(wait_until([this] { return this->ask() == server_status; }));
    // The second of them follows the answer to the first.
    const auto before = this->late_reports.load();
    ASSERT_TRUE(wait_until([&] { return this->late_reports >= before + 3; }));
    const auto requests = this->ended_requests.load();
    constexpr int asked = 40;
    for (int i = 0; i < asked; ++i)
        EXPECT_EQ(this->ask(), server_status);
    EXPECT_EQ(this->ended_requests, requests);
}

} // namespace
} // namespace oleanderhinge::tests
