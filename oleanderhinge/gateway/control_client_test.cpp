// Guards against a gateway that does not find back to control.
#include "oleanderhinge/gateway/control_client.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

namespace oleanderhinge::gateway
{
namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

// Largest real time to wait for a state that is expected.
constexpr auto wait_limit = 20s;

net::link_options options_of(const std::string& vm)
{
    net::link_options options;
    options.cluster_secret = "secret of the test";
    options.self.vm = base::vm_id{vm};
    return options;
}

// A control node that counts subscriptions.
class control_node
{
public:
    control_node(asio::io_context& io, const wire::endpoint& at)
        : links(
              io,
              this->clock,
              options_of("control"),
              {[this](net::link_id opened, const wire::hello&) {
                   this->link = opened;
               },
               [this](net::link_id, const wire::message& content) {
                   this->subscriptions +=
                       std::holds_alternative<wire::subscribe>(content) ? 1 : 0;
               },
               [](net::link_id, net::close_reason, bool) {}})
    {
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_ASSIGN(this->listening, this->links.listen(at));
                return {};
            },
            [](const base::error& e) { ADD_FAILURE() << e.detail; });
    }

    void list(const std::vector<wire::endpoint>& members)
    {
        this->links.send(this->link, wire::control_group{members, 1});
    }

    wire::endpoint listening;
    int subscriptions = 0;

private:
    timeline::hybrid_clock clock;
    net::link_id link;
    net::link_table links;
};

// The client runs on a clock of the test's own.
class control_client_fixture : public testing::Test
{
protected:
    void start_client()
    {
        this->links = std::make_unique<net::link_table>(
            this->io,
            this->clock,
            options_of("gateway"),
            net::link_events{
                [this](net::link_id link, const wire::hello&) {
                    this->client->on_opened(link, this->now);
                },
                [this](net::link_id link, wire::message content) {
                    this->client->on_message(
                        link, std::move(content), this->now);
                },
                [this](net::link_id link, net::close_reason reason, bool) {
                    this->client->on_closed(link, reason, this->now);
                }});
        control_client_options chosen;
        chosen.vm = base::vm_id{"gateway"};
        chosen.seeds = {this->control->listening};
        control_events events;
        events.all_crashes = [] { return wire::crash_evidence{}; };
        events.all_limits = [](base::time_point) {
            return wire::server_limits{};
        };
        events.demand = [](base::time_point) {
            return std::optional<wire::permit_demand>{};
        };
        events.gateways = [this](std::uint32_t, base::time_point) {
            ++this->lists;
        };
        this->client = std::make_unique<control_client>(
            *this->links, chosen, std::move(events));
    }

    // Lets the time of the client pass.
    void pass(base::duration time)
    {
        constexpr auto tick = 100ms;
        for (const auto end = this->now + time; this->now < end;) {
            this->now += tick;
            this->client->tick(this->now);
            this->io.run_for(1ms);
            this->io.restart();
        }
    }

    template <class Condition>
    bool pass_until(Condition&& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->pass(100ms);
        return condition();
    }

    asio::io_context io;
    timeline::hybrid_clock clock;
    base::time_point now{100s};
    int lists = 0;
    std::unique_ptr<control_node> control = std::make_unique<control_node>(
        this->io, wire::endpoint{"127.0.0.1", 0});
    std::unique_ptr<net::link_table> links;
    std::unique_ptr<control_client> client;
};

// Guards against a gateway that keeps its configuration for good, since it has
// forgotten all addresses of control during 40 s without a link.
TEST_F(control_client_fixture, a_gateway_returns_to_control_after_a_long_cut)
{
    const auto address = this->control->listening;
    this->start_client();
    ASSERT_TRUE(
        this->pass_until([&] { return this->control->subscriptions > 0; }));
    this->control->list({address});
    ASSERT_TRUE(this->pass_until([&] { return this->lists > 0; }));
    this->control.reset();
    this->pass(40s);
    this->control = std::make_unique<control_node>(this->io, address);
    EXPECT_TRUE(
        this->pass_until([&] { return this->control->subscriptions > 0; }));
}

} // namespace
} // namespace oleanderhinge::gateway
