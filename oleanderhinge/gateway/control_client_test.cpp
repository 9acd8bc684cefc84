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
                   if (const auto* sent =
                           std::get_if<wire::server_limits>(&content))
                       this->limits.push_back(*sent);
                   if (const auto* sent =
                           std::get_if<wire::permit_demand>(&content))
                       this->demands.push_back(*sent);
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

    void send(wire::message content)
    {
        this->links.send(this->link, std::move(content));
    }

    wire::endpoint listening;
    int subscriptions = 0;
    std::vector<wire::server_limits> limits;
    std::vector<wire::permit_demand> demands;

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
        events.limits = [this](const auto& sent, base::time_point) {
            this->relayed.push_back(sent);
        };
        events.all_limits = [this](base::time_point) { return this->known; };
        events.demand = [this](base::time_point) {
            return this->known.items.empty()
                       ? std::nullopt
                       : std::optional(wire::permit_demand{{{"desk", 2}}});
        };
        events.grant = [this](const auto& granted, base::time_point) {
            this->grants.push_back(granted);
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
    wire::server_limits known;
    std::vector<wire::server_limits> relayed;
    std::vector<wire::permit_grant> grants;
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

// Guards against members of control that do not know the limits or the demand
// of a gateway, and against a gateway that does not get limits and permits.
TEST_F(control_client_fixture, limits_and_permits_are_exchanged)
{
    const base::backend_server_id server{"a"};
    this->known.items = {{server, 1, 3.2, 0}};
    this->start_client();
    ASSERT_TRUE(this->pass_until([&] {
        return !this->control->limits.empty() &&
               this->control->demands.size() >= 2;
    }));
    EXPECT_EQ(this->control->limits.front(), this->known);
    EXPECT_EQ(this->control->demands.back().services.front().service, "desk");
    const wire::server_limits changed{{{server, 1, {}, 7}}};
    this->client->send_limits(changed);
    this->control->send(changed);
    const wire::permit_grant granted{{{server, 1, 2}}};
    this->control->send(granted);
    ASSERT_TRUE(this->pass_until([&] {
        return this->control->limits.size() >= 2 && !this->relayed.empty() &&
               !this->grants.empty();
    }));
    EXPECT_EQ(this->control->limits.back(), changed);
    EXPECT_EQ(this->relayed.front(), changed);
    EXPECT_EQ(this->grants.front(), granted);
}

} // namespace
} // namespace oleanderhinge::gateway
