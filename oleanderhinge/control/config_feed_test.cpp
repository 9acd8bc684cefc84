// Pattern: the table has grown to thousands of routes, and hundreds of gateways
// subscribe to each member of the control group. Guards against updates that
// keep the link of the leader, which also carries its heartbeats, busy for
// longer than its lease.
#include "oleanderhinge/control/config_feed.hpp"

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/control_state/queries.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace oleanderhinge::control
{
namespace
{

using namespace std::chrono_literals;

const base::time_point start{std::chrono::hours(1)};
// A tenth of a second of a link of 100 Mbit/s, half of which is for updates.
constexpr double bulk_rate = 6.25e6;
constexpr auto tick = 100ms;
constexpr double bytes_a_tick = bulk_rate / 10;

wire::forwarding_table make_table(std::uint64_t version, std::size_t routes)
{
    wire::forwarding_table table;
    table.version = version;
    for (std::size_t i = 0; i < routes; ++i)
        table.routes.push_back(
            {.name = "route-" + std::to_string(i),
             .host = "host.example",
             .path_prefix = "/prefix-" + std::to_string(i) + "/",
             .timeout_ms = 1000,
             .targets = {{"chat", 1}}});
    return table;
}

class feed_fixture : public testing::Test
{
protected:
    feed_fixture()
    {
        this->feed.fanout = 1000;
        this->feed.bulk_rate = bulk_rate;
        this->replace(make_table(1, 2000));
    }

    void replace(wire::forwarding_table table)
    {
        control_state::apply(
            this->held,
            control_state::replace_forwarding{std::move(table), "text"},
            base::log_index{++this->index});
    }

    void subscribe_all(std::size_t count, base::revision have)
    {
        for (std::uint64_t i = 1; i <= count; ++i)
            this->note(subscribe(
                this->feed,
                net::link_id{i},
                {have, {}, {}, {}},
                this->held,
                {},
                i % 5 == 0,
                this->now));
    }

    // Counts the bytes on the network of this node, and what each link gets.
    void note(const std::vector<outgoing>& messages)
    {
        for (const auto& message : messages) {
            if (const auto* update =
                    std::get_if<wire::config_update>(&message.content)) {
                this->bytes += double(wire::to_bytes(*update).size()) *
                               double(message.to.size());
                for (const auto link : message.to)
                    this->updated.push_back(link);
            } else {
                for (const auto link : message.to)
                    this->confirmed.push_back(link);
            }
        }
    }

    void publish_for(base::duration time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += tick;
            this->bytes = 0;
            this->note(publish(this->feed, this->held, this->now));
            this->most_bytes = std::max(this->most_bytes, this->bytes);
        }
    }

    config_feed feed;
    control_state::state held;
    std::uint64_t index = 0;
    base::time_point now = start;
    double bytes = 0;
    double most_bytes = 0;
    std::vector<net::link_id> updated;
    std::vector<net::link_id> confirmed;
};

TEST_F(feed_fixture, whole_tables_keep_to_the_rate_and_reach_every_subscriber)
{
    const auto size = double(wire::to_bytes(this->held.config).size());
    this->subscribe_all(300, {});
    this->publish_for(30s);
    // The last update in a tick may go over the rate.
    EXPECT_LE(this->most_bytes, bytes_a_tick + size);
    EXPECT_EQ(this->updated.size(), 300U);
    std::sort(this->updated.begin(), this->updated.end());
    EXPECT_EQ(
        std::unique(this->updated.begin(), this->updated.end()),
        this->updated.end());
}

TEST_F(feed_fixture, a_changed_route_takes_less_than_one_tick)
{
    this->subscribe_all(300, this->held.config.at);
    auto changed = make_table(2, 2000);
    changed.routes[1000].timeout_ms = 5000;
    this->replace(std::move(changed));
    this->publish_for(tick);
    EXPECT_EQ(this->updated.size(), 300U);
    EXPECT_LE(this->most_bytes, bytes_a_tick);
}

// Guards against a gateway that gets the same table from every member.
TEST_F(feed_fixture, a_table_that_another_member_has_sent_is_not_sent_again)
{
    this->subscribe_all(300, {});
    this->updated.clear();
    this->subscribe_all(300, this->held.config.at);
    this->publish_for(30s);
    EXPECT_TRUE(this->updated.empty());
}

TEST_F(feed_fixture, subscribers_of_the_own_data_centre_go_first)
{
    this->subscribe_all(300, {});
    this->updated.clear();
    this->publish_for(tick);
    ASSERT_FALSE(this->updated.empty());
    for (const auto link : this->updated)
        EXPECT_TRUE(this->feed.subscribers.at(link).nearby);
}

// A subscriber that gets a confirmation of a revision that it does not have
// subscribes again.
TEST_F(feed_fixture, only_subscribers_that_were_sent_the_revision_get_a_confirm)
{
    this->subscribe_all(300, {});
    this->note(confirm(this->feed, this->held, 0, this->now));
    EXPECT_LT(this->confirmed.size(), 300U);
    std::sort(this->updated.begin(), this->updated.end());
    EXPECT_EQ(this->confirmed, this->updated);
    this->publish_for(30s);
    this->confirmed.clear();
    this->note(confirm(this->feed, this->held, 0, this->now));
    EXPECT_EQ(this->confirmed.size(), 300U);
}

// Guards against a subscriber that cannot follow the patches of many tables.
TEST_F(feed_fixture, patches_lead_a_subscriber_to_the_newest_table)
{
    auto copy = this->held.config;
    for (std::uint64_t version = 2; version < 40; ++version) {
        auto next = make_table(version, 2000 - version);
        next.routes[version].timeout_ms = 77;
        this->replace(std::move(next));
    }
    const auto update = control_state::update_since(this->held, copy.at);
    ASSERT_TRUE(update.full.empty());
    for (const auto& [at, item] : update.changes) {
        ASSERT_TRUE(wire::fits(copy, item));
        wire::apply(copy, item, at);
    }
    EXPECT_EQ(copy, this->held.config);
}

} // namespace
} // namespace oleanderhinge::control
