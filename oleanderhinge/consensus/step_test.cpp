// Guards against single rules of the protocol that a change could break
// without an effect on most runs: evidence for the lease, commits of older
// terms, messages for other disks, bounded windows and chunks.
#include "oleanderhinge/consensus/queries.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::consensus
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{100s};

vm_id vm(std::uint64_t i)
{
    return vm_id{std::to_string(i)};
}

// Member 1 of 3; member i has the disk i. The log starts with the membership.
struct subject {
    explicit subject(std::vector<entry> more = {}, limits bounds = {})
    {
        membership members;
        for (std::uint64_t i = 1; i <= 3; ++i)
            members.push_back({vm(i), incarnation{i}, {}, {}, true, false});
        setup from{vm(1), incarnation{1}, {}, bounds, 7};
        from.vote.current = term{1};
        from.entries.push_back(
            {term{1},
             log_index{1},
             entry_kind::membership,
             encode_membership(members)});
        for (auto& e : more)
            from.entries.push_back(std::move(e));
        this->state = make_state(std::move(from), this->now);
    }

    std::vector<action> feed(event e)
    {
        auto out = step(this->state, std::move(e), this->now);
        for (const auto& a : out) {
            if (const auto* p = std::get_if<persist>(&a))
                this->ticket = p->ticket;
        }
        return out;
    }

    std::vector<action>
    message(std::uint64_t from, body content, term of, incarnation disk = {})
    {
        const auto sender = disk == incarnation{} ? incarnation{from} : disk;
        return this->feed(message_received{
            vm(from), {of, sender, this->state.disk, std::move(content)}});
    }

    void grant(std::uint64_t from, bool pre_vote, incarnation disk = {})
    {
        const auto current = this->state.vote.current;
        this->message(
            from,
            vote_reply{pre_vote ? current.next() : current, pre_vote, true},
            current,
            disk);
    }

    void elect()
    {
        this->now += 3s;
        this->feed(tick{});
        this->grant(2, true);
        this->feed(persisted{this->ticket});
        this->grant(2, false);
        ASSERT_EQ(this->state.role, role::leader);
        this->feed(persisted{this->ticket});
    }

    std::vector<action> acknowledge(
        std::uint64_t from,
        log_index match,
        term of,
        base::time_point sent,
        incarnation disk = {})
    {
        return this->message(
            from,
            append_reply{true, match, {}, sent.time_since_epoch().count()},
            of,
            disk);
    }

    base::time_point now = start;
    std::uint64_t ticket = 0;
    node_state state;
};

template <class Action>
std::vector<Action> only(const std::vector<action>& actions)
{
    std::vector<Action> out;
    for (const auto& a : actions) {
        if (const auto* found = std::get_if<Action>(&a))
            out.push_back(*found);
    }
    return out;
}

// Messages with a body of this type to `to`.
template <class Body>
std::vector<Body> sent(const std::vector<action>& actions, std::uint64_t to)
{
    std::vector<Body> out;
    for (const auto& s : only<send>(actions)) {
        const auto* found = std::get_if<Body>(&s.content.content);
        if (found != nullptr && s.to == vm(to))
            out.push_back(*found);
    }
    return out;
}

TEST(step, acknowledgments_of_an_earlier_term_give_no_lease)
{
    subject s;
    s.elect();
    const auto first = s.state.vote.current;
    s.acknowledge(2, log_index{2}, first, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
    s.message(3, append_request{}, term{first.value() + 3});
    ASSERT_EQ(s.state.role, role::follower);
    s.elect();
    EXPECT_FALSE(holds_lease(s.state, s.now));
    s.acknowledge(2, log_index{2}, first, s.now);
    EXPECT_FALSE(holds_lease(s.state, s.now));
    s.acknowledge(2, log_index{2}, s.state.vote.current, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
}

TEST(step, a_leader_that_wakes_after_its_lease_answers_no_read)
{
    subject s;
    s.elect();
    const auto opened = s.state.leading.opened;
    s.acknowledge(2, opened, s.state.vote.current, s.now);
    EXPECT_EQ(only<read_ready>(s.feed(read_requested{1})).size(), 1u);
    const auto sent_at = s.now;
    s.now += s.state.times.lease;
    EXPECT_TRUE(only<read_ready>(s.feed(read_requested{2})).empty());
    // An acknowledgment that waited in a socket proves the past only.
    EXPECT_TRUE(only<read_ready>(
                    s.acknowledge(2, opened, s.state.vote.current, sent_at))
                    .empty());
    const auto lapsed = only<rejected>(s.feed(tick{}));
    ASSERT_EQ(lapsed.size(), 1u);
    EXPECT_EQ(lapsed[0].tag, 2u);
    EXPECT_EQ(s.state.role, role::follower);
}

TEST(step, a_read_waits_for_the_first_commit_of_the_term)
{
    subject s;
    s.elect();
    s.acknowledge(2, log_index{1}, s.state.vote.current, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
    EXPECT_TRUE(only<read_ready>(s.feed(read_requested{1})).empty());
    const auto done =
        s.acknowledge(2, s.state.leading.opened, s.state.vote.current, s.now);
    EXPECT_EQ(only<read_ready>(done).size(), 1u);
}

TEST(step, entries_of_an_older_term_are_not_committed_by_counting)
{
    subject s({{term{1}, log_index{2}, entry_kind::command, "old"}});
    s.elect();
    s.acknowledge(2, log_index{2}, s.state.vote.current, s.now);
    s.acknowledge(3, log_index{2}, s.state.vote.current, s.now);
    EXPECT_EQ(s.state.committed, log_index{0});
    s.acknowledge(2, log_index{3}, s.state.vote.current, s.now);
    EXPECT_EQ(s.state.committed, log_index{3});
}

TEST(step, the_own_copy_counts_only_once_it_is_durable)
{
    subject s;
    s.elect();
    s.acknowledge(2, s.state.leading.opened, s.state.vote.current, s.now);
    const auto out = s.feed(proposals{{{1, "a"}}});
    // The followers get the entry in parallel with the own write.
    EXPECT_EQ(sent<append_request>(out, 2).size(), 1u);
    const auto index = last_index(s.state.log);
    s.acknowledge(2, index, s.state.vote.current, s.now);
    EXPECT_LT(s.state.committed, index);
    s.feed(persisted{s.ticket});
    EXPECT_EQ(s.state.committed, index);
}

TEST(step, another_disk_gives_neither_votes_nor_acknowledgments)
{
    const incarnation other{99};
    subject s;
    s.now += 3s;
    s.feed(tick{});
    s.grant(2, true, other);
    EXPECT_TRUE(s.state.campaign.pre_vote);
    s.grant(2, true);
    EXPECT_FALSE(s.state.campaign.pre_vote);
    s.feed(persisted{s.ticket});
    s.grant(2, false, other);
    EXPECT_EQ(s.state.role, role::candidate);
    s.grant(2, false);
    ASSERT_EQ(s.state.role, role::leader);
    s.feed(persisted{s.ticket});
    const auto opened = s.state.leading.opened;
    s.acknowledge(2, opened, s.state.vote.current, s.now, other);
    EXPECT_EQ(s.state.committed, log_index{0});
    EXPECT_FALSE(holds_lease(s.state, s.now));
}

TEST(step, messages_for_another_disk_are_answered_by_an_introduction_only)
{
    subject s;
    const auto before = s.state.vote;
    const message m{term{9}, incarnation{2}, incarnation{99}, append_request{}};
    const auto out = s.feed(message_received{vm(2), m});
    EXPECT_EQ(sent<introduction>(out, 2).size(), 1u);
    EXPECT_EQ(only<send>(out).size(), 1u);
    auto ask = m;
    ask.content = vote_request{term{9}, log_index{9}, term{9}};
    EXPECT_TRUE(s.feed(message_received{vm(2), ask}).empty());
    EXPECT_EQ(s.state.vote, before);
}

// A copy of an introduction from before a repair must not undo it.
TEST(step, only_a_fresh_answer_replaces_a_disk)
{
    subject s;
    s.elect();
    const auto current = s.state.vote.current;
    s.acknowledge(2, s.state.leading.opened, current, s.now);
    introduction m;
    m.echo_term = current;
    m.echo_sent_us = (s.now - s.state.times.lease).time_since_epoch().count();
    s.message(3, m, term{}, incarnation{99});
    EXPECT_EQ(voter_count(members_of(s.state)), 3u);
    m.echo_sent_us = s.now.time_since_epoch().count();
    m.echo_term = term{1};
    s.message(3, m, term{}, incarnation{99});
    EXPECT_EQ(voter_count(members_of(s.state)), 3u);
    m.echo_term = current;
    s.message(3, m, term{}, incarnation{99});
    EXPECT_EQ(voter_count(members_of(s.state)), 2u);
    const auto* learner = find_member(members_of(s.state), vm(3));
    ASSERT_NE(learner, nullptr);
    EXPECT_EQ(learner->disk, incarnation{99});
    EXPECT_TRUE(learner->promote);
}

TEST(step, votes_are_refused_while_a_leader_may_hold_a_lease)
{
    const vote_request ask{term{7}, log_index{9}, term{5}};
    subject s;
    // After a start: the lease may have been acknowledged before it.
    EXPECT_TRUE(s.message(2, ask, term{7}).empty());
    EXPECT_EQ(s.state.vote.current, term{1});
    s.now += s.state.times.election_min;
    s.message(3, append_request{}, term{1});
    s.now += s.state.times.election_min - 1ms;
    EXPECT_TRUE(s.message(2, ask, term{7}).empty());
    s.now += 1ms;
    s.message(2, ask, term{7});
    EXPECT_EQ(s.state.vote, (vote_record{term{7}, vm(2)}));
}

TEST(step, a_vote_is_sent_only_once_it_is_durable)
{
    subject s;
    s.now += s.state.times.election_min;
    const vote_request ask{term{7}, log_index{9}, term{5}};
    EXPECT_TRUE(sent<vote_reply>(s.message(2, ask, term{7}), 2).empty());
    const auto out = sent<vote_reply>(s.feed(persisted{s.ticket}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_TRUE(out[0].granted);
}

TEST(step, an_entry_is_acknowledged_only_once_it_is_durable)
{
    subject s;
    append_request r{log_index{1}, term{1}};
    r.entries.push_back({term{1}, log_index{2}, entry_kind::command, "a"});
    EXPECT_TRUE(sent<append_reply>(s.message(2, r, term{1}), 2).empty());
    // A heartbeat is answered at once, for the lease.
    const append_request heartbeat{log_index{2}, term{1}};
    auto out = sent<append_reply>(s.message(2, heartbeat, term{1}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].match, log_index{1});
    out = sent<append_reply>(s.feed(persisted{s.ticket}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].match, log_index{2});
}

// One member that already belongs to a cluster, or that heard of another disk,
// keeps the rest from forming a second cluster.
TEST(step, a_cluster_forms_only_if_all_initial_members_agree)
{
    setup from{vm(1), incarnation{1}};
    for (std::uint64_t i = 1; i <= 3; ++i)
        from.initial.push_back({vm(i), {}, {}, {}, true, false});
    auto state = make_state(std::move(from), start);
    const auto hear = [&](std::uint64_t i, const introduction& m) {
        const message packed{{}, incarnation{i}, {}, m};
        step(state, message_received{vm(i), packed}, start);
    };
    introduction agreed;
    for (std::uint64_t i = 1; i <= 3; ++i)
        agreed.known[vm(i)] = incarnation{i};
    auto other = agreed;
    other.known[vm(1)] = incarnation{99};
    auto formed = agreed;
    formed.formed = true;
    hear(2, agreed);
    for (const auto& m : {other, formed, introduction{}}) {
        hear(3, m);
        EXPECT_FALSE(is_admitted(state));
    }
    hear(3, agreed);
    EXPECT_TRUE(is_voter(state));
}

TEST(step, windows_and_chunks_are_bounded)
{
    limits bounds;
    bounds.in_flight_entries = 100;
    bounds.append_entries = 10;
    bounds.trailing_entries = 0;
    subject s({}, bounds);
    s.elect();
    s.acknowledge(2, s.state.leading.opened, s.state.vote.current, s.now);
    proposals many;
    for (std::uint64_t i = 0; i < 1000; ++i)
        many.batch.push_back({i, "x"});
    std::size_t entries = 0;
    for (const auto& r : sent<append_request>(s.feed(std::move(many)), 2)) {
        EXPECT_LE(r.entries.size(), 10u);
        entries += r.entries.size();
    }
    EXPECT_EQ(entries, 100u);
    s.feed(persisted{s.ticket});
    const auto last = last_index(s.state.log);
    s.acknowledge(2, last, s.state.vote.current, s.now);
    const std::size_t size = (std::size_t(5) << 20) / 2;
    s.feed(
        snapshot_taken{last, std::make_shared<const std::string>(size, 's')});
    std::size_t bytes = 0;
    for (int i = 0; i < 4; ++i) {
        s.now += 150ms;
        // Member 3 has nothing and reports what it received.
        const auto out =
            i == 0 ? s.message(
                         3,
                         append_reply{
                             false,
                             {},
                             s.state.leading.peers[vm(3)].last_previous},
                         s.state.vote.current)
                   : s.message(
                         3, snapshot_reply{last, bytes}, s.state.vote.current);
        for (const auto& chunk : sent<snapshot_chunk>(out, 3)) {
            EXPECT_LE(chunk.data.size(), std::size_t(1) << 20);
            EXPECT_EQ(chunk.offset, bytes);
            bytes += chunk.data.size();
        }
    }
    EXPECT_EQ(bytes, size);
}

TEST(step, malformed_messages_are_refused)
{
    const auto decodes = [](const wire::consensus_message& m) {
        return base::handle(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode(m));
                return true;
            },
            [](const base::error&) { return false; });
    };
    append_request r;
    r.entries.push_back({term{1}, log_index{1}, entry_kind::command, "a"});
    const message good{term{1}, incarnation{1}, incarnation{2}, r};
    EXPECT_TRUE(decodes(encode(0, good)));
    auto bytes = encode(0, good);
    for (std::size_t n = 0; n < bytes.payload.size(); ++n)
        EXPECT_FALSE(decodes({0, bytes.payload.substr(0, n)}));
    const auto with = [&](auto change) {
        auto m = good;
        change(std::get<append_request>(m.content).entries[0]);
        return decodes(encode(0, m));
    };
    EXPECT_FALSE(with([](entry& e) { e.index = log_index{2}; }));
    EXPECT_FALSE(with([](entry& e) { e.kind = entry_kind(7); }));
    EXPECT_FALSE(with([](entry& e) { e.kind = entry_kind::membership; }));
}

} // namespace
} // namespace oleanderhinge::consensus
