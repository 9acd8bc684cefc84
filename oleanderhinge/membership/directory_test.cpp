// Guards against servers that remain, return or change because of old, repeated
// or reordered announcements, and against a restarted agent that is not
// recognised.
#include "oleanderhinge/membership/directory.hpp"

#include "oleanderhinge/membership/directory_query.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace oleanderhinge::membership
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using actions = std::vector<directory_action>;

const base::time_point start{seconds(1000)};
const base::backend_server_id s1{"s1"};
// The older incarnation has the larger number, since the order of the numbers
// must not matter.
const base::incarnation older{900};
const base::incarnation newer{5};

wire::announcement
announce(base::incarnation inc, std::uint64_t sequence, const char* id = "s1")
{
    wire::announcement a;
    a.server = base::backend_server_id{id};
    a.agent_incarnation = inc;
    a.sequence = sequence;
    a.state = wire::server_state::serving;
    a.model = base::model_id{"hinge"};
    a.version = "v3";
    a.load.limit = 8;
    return a;
}

bool present(const directory& d, base::incarnation inc)
{
    const auto at = d.servers.find(s1);
    return at != d.servers.end() && at->second->last.agent_incarnation == inc;
}

TEST(directory, join_change_expire_are_reported_once)
{
    directory d;
    EXPECT_EQ(
        apply_announcement(d, announce(older, 1), start),
        (actions{server_joined{s1, older}}));
    EXPECT_EQ(apply_announcement(d, announce(older, 2), start), actions{});
    auto leaving = announce(older, 3);
    leaving.state = wire::server_state::leaving;
    EXPECT_EQ(
        apply_announcement(d, leaving, start),
        (actions{server_changed{s1, older, wire::server_state::leaving}}));
    EXPECT_TRUE(
        servers_of_model(take_snapshot(d), leaving.model, "v3", start).empty())
        << "a leaving server must get no new work";
    EXPECT_EQ(expire(d, start + milliseconds(2999)), actions{});
    EXPECT_EQ(
        expire(d, start + seconds(3)),
        (actions{server_left{s1, older, leave_reason::expired}}));
    EXPECT_EQ(expire(d, start + seconds(4)), actions{});
}

TEST(directory, duplicate_and_overtaken_announcements_are_dropped)
{
    directory d;
    apply_announcement(d, announce(older, 7), start);
    for (const std::uint64_t sequence : {7, 6, 1})
        EXPECT_EQ(
            apply_announcement(
                d, announce(older, sequence), start + seconds(2)),
            actions{});
    EXPECT_EQ(d.counters.old_sequence, 3u);
    EXPECT_EQ(expire(d, start + seconds(3)).size(), 1u)
        << "an old message must not extend the lease";
    EXPECT_EQ(
        apply_announcement(d, announce(older, 7), start + seconds(4)),
        actions{})
        << "an old message must not bring an expired server back";
    EXPECT_EQ(
        apply_announcement(d, announce(older, 8), start + seconds(4)).size(),
        1u);
}

// Messages of the predecessor arrive after those of the restarted agent.
TEST(directory, restarted_agent_replaces_its_predecessor_for_good)
{
    directory d;
    apply_announcement(d, announce(older, 50), start);
    EXPECT_EQ(
        apply_announcement(d, announce(newer, 1), start + seconds(1)),
        (actions{
            server_left{s1, older, leave_reason::replaced},
            server_joined{s1, newer}}));
    for (const std::uint64_t sequence : {49, 50, 51, 52})
        EXPECT_EQ(
            apply_announcement(
                d, announce(older, sequence), start + milliseconds(1100)),
            actions{});
    EXPECT_TRUE(present(d, newer));
    EXPECT_EQ(d.counters.old_incarnation, 4u);
    // Relayed by a registrar that has not heard the new agent yet.
    apply_relayed(
        d, announce(older, 53), milliseconds(500), start + milliseconds(1200));
    EXPECT_TRUE(present(d, newer));
}

// An entry node that has restarted hears the live agent first, and then a late
// message of a predecessor that it does not know.
TEST(directory, live_agent_returns_after_a_late_unknown_predecessor)
{
    directory d;
    apply_announcement(d, announce(newer, 5), start);
    apply_announcement(d, announce(older, 50), start + milliseconds(100));
    EXPECT_TRUE(present(d, older));
    std::uint64_t sequence = 6;
    auto now = start;
    while (!present(d, newer) && now < start + seconds(10)) {
        now += seconds(1);
        expire(d, now);
        apply_announcement(d, announce(newer, sequence++), now);
    }
    EXPECT_LE(now, start + seconds(3));
}

TEST(directory, passed_on_entries_carry_their_age)
{
    directory d;
    EXPECT_EQ(
        apply_relayed(d, announce(older, 1), seconds(3), start), actions{});
    EXPECT_EQ(d.counters.expired_on_arrival, 1u);
    apply_relayed(d, announce(older, 2), milliseconds(2500), start);
    EXPECT_EQ(expire(d, start + milliseconds(500)).size(), 1u);
}

// A relayed message of an unknown incarnation is from a predecessor if it was
// heard before the current incarnation was first heard.
TEST(directory, passed_on_predecessor_does_not_replace_the_successor)
{
    directory d;
    apply_announcement(d, announce(newer, 1), start);
    apply_relayed(
        d, announce(older, 99), milliseconds(1500), start + seconds(1));
    EXPECT_TRUE(present(d, newer));
}

// While the live agent is silent, a repeated datagram of its predecessor must
// not replace it.
TEST(directory, repeated_message_of_a_predecessor_is_no_sign_of_life)
{
    directory d;
    apply_announcement(d, announce(older, 50), start);
    apply_announcement(d, announce(newer, 1), start + seconds(1));
    apply_announcement(d, announce(older, 50), start + milliseconds(3500));
    EXPECT_TRUE(present(d, newer));
    apply_announcement(d, announce(older, 51), start + milliseconds(3600));
    EXPECT_TRUE(present(d, older))
        << "a higher sequence shows that the agent is alive";
}

TEST(directory, a_newer_message_with_older_evidence_does_not_shorten_the_lease)
{
    directory d;
    apply_announcement(d, announce(older, 1), start);
    apply_relayed(d, announce(older, 2), seconds(1), start);
    EXPECT_EQ(d.servers.at(s1)->last.sequence, 2u);
    EXPECT_EQ(d.servers.at(s1)->expires, start + seconds(3));
}

TEST(directory, heartbeat_of_a_registrar_keeps_an_entry_and_updates_its_load)
{
    directory d;
    apply_relayed(d, announce(older, 1), milliseconds(0), start);
    const auto key = heartbeat_key(s1, older);
    wire::directory_update batch;
    batch.alive = {{key, 200, 4}, {12345, 0, 1}};
    apply_update(d, batch, start + seconds(2));
    EXPECT_EQ(d.counters.unknown_heartbeat, 1u);
    EXPECT_EQ(expire(d, start + milliseconds(4799)), actions{});
    EXPECT_EQ(d.servers.at(s1)->last.load.in_progress, 4u);
    EXPECT_EQ(expire(d, start + milliseconds(4800)).size(), 1u);
    // The key of an expired incarnation must not be found.
    EXPECT_FALSE(apply_heartbeat(d, {key, 0, 1}, start + seconds(5)));
}

TEST(directory, exact_load_of_a_direct_entry_is_kept)
{
    directory d;
    auto a = announce(older, 1);
    a.load.in_progress = 3;
    apply_announcement(d, a, start);
    apply_heartbeat(d, {heartbeat_key(s1, older), 0, 8}, start + seconds(1));
    EXPECT_EQ(d.servers.at(s1)->last.load.in_progress, 3u);
}

TEST(directory, number_of_servers_is_bounded)
{
    directory d;
    d.options.max_servers = 1;
    apply_announcement(d, announce(older, 1, "a"), start);
    EXPECT_EQ(apply_announcement(d, announce(older, 1, "b"), start), actions{});
    EXPECT_EQ(d.counters.refused_full, 1u);
}

TEST(directory, memory_of_past_incarnations_is_bounded_and_ends)
{
    directory d;
    for (std::uint64_t i = 1; i <= 100; ++i)
        apply_announcement(d, announce(base::incarnation{i}, 1), start);
    EXPECT_EQ(d.past_incarnations.at(s1).size(), max_past_incarnations);
    EXPECT_EQ(d.heartbeat_keys.size(), 1u);
    expire(d, start + seconds(3));
    expire(d, start + seconds(63));
    EXPECT_TRUE(d.past_incarnations.empty());
    EXPECT_TRUE(d.heartbeat_keys.empty());
}

// After any reordering, loss and repetition, once only the live agent sends,
// the directory holds its incarnation and newest state within 4 s.
RC_GTEST_PROP(directory, converges_to_the_live_agent, ())
{
    directory d;
    std::vector<wire::announcement> sent;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    for (std::uint64_t i = 1; i <= count; ++i) {
        sent.push_back(announce(older, i));
        sent.push_back(announce(newer, i));
    }
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, sent.size()));
    auto now = start;
    for (const auto index : order) {
        now += milliseconds(*rc::gen::inRange(0, 900));
        if (*rc::gen::arbitrary<bool>())
            apply_announcement(d, sent[index], now);
        else
            apply_relayed(d, sent[index], milliseconds(100), now);
        expire(d, now);
    }
    const auto last = now;
    for (auto sequence = count + 1; now < last + seconds(4); ++sequence) {
        now += seconds(1);
        expire(d, now);
        apply_announcement(d, announce(newer, sequence), now);
    }
    RC_ASSERT(present(d, newer));
    RC_ASSERT(d.servers.at(s1)->expires == now + seconds(3));
    RC_ASSERT(d.servers.size() == d.heartbeat_keys.size());
}

RC_GTEST_PROP(directory, sequence_never_falls_within_an_incarnation, ())
{
    directory d;
    std::uint64_t highest = 0;
    for (const auto sequence :
         *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
        apply_announcement(d, announce(older, sequence + 1u), start);
        highest = std::max<std::uint64_t>(highest, sequence + 1u);
        RC_ASSERT(d.servers.at(s1)->last.sequence == highest);
    }
}

// A receiver reconstructs the load from its step; the step must not move.
RC_GTEST_PROP(directory, load_step_survives_reconstruction, ())
{
    wire::load_report load;
    load.limit = *rc::gen::inRange<std::uint32_t>(1, 1000);
    load.in_progress = *rc::gen::inRange<std::uint32_t>(0, load.limit + 1);
    load.queued = *rc::gen::inRange<std::uint32_t>(0, 20 * load.limit);
    const auto step = load_step(load);
    const auto copy = load_of_step(step, load);
    RC_ASSERT(load_step(copy) == step);
    // Not below the true load, except for the last step, which has no upper
    // bound.
    if (step < max_load_step)
        RC_ASSERT(copy.in_progress >= load.in_progress);
}

} // namespace
} // namespace oleanderhinge::membership
