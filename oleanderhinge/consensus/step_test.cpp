// Tests single rules of the protocol whose violation would not show in most
// runs of the cluster tests: which acknowledgments count for the lease, commits
// of entries of older terms, messages for other disks, limits on data in
// flight and on snapshot chunks.
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

// Member 1 of 3, alone; the test plays the others. Member i has the disk
// incarnation i. The log starts with the membership.
struct tested_member {
    explicit tested_member(std::vector<entry> later = {}, limits bounds = {})
    {
        membership members;
        for (std::uint64_t i = 1; i <= 3; ++i)
            members.push_back({vm(i), incarnation{i}, {}, {}, true, false});
        setup options{vm(1), incarnation{1}, {}, bounds, 7};
        options.vote.current_term = term{1};
        options.entries.push_back(
            {term{1},
             log_index{1},
             entry_kind::membership,
             encode_membership(members)});
        for (auto& e : later)
            options.entries.push_back(std::move(e));
        this->state = make_state(std::move(options), this->now);
    }

    std::vector<action> feed(event e)
    {
        auto out = step(this->state, std::move(e), this->now);
        for (const auto& a : out) {
            if (const auto* p = std::get_if<persist>(&a))
                this->write_sequence = p->write_sequence;
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
        const auto current = this->state.vote.current_term;
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
        this->feed(persisted{this->write_sequence});
        this->grant(2, false);
        ASSERT_EQ(this->state.role, role::leader);
        this->feed(persisted{this->write_sequence});
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
    std::uint64_t write_sequence = 0;
    node_state state;
};

template <class Action>
std::vector<Action> actions_of_type(const std::vector<action>& actions)
{
    std::vector<Action> out;
    for (const auto& a : actions) {
        if (const auto* found = std::get_if<Action>(&a))
            out.push_back(*found);
    }
    return out;
}

// The bodies of this type among the messages to member `to`.
template <class Body>
std::vector<Body> sent_to(const std::vector<action>& actions, std::uint64_t to)
{
    std::vector<Body> out;
    for (const auto& s : actions_of_type<send>(actions)) {
        const auto* found = std::get_if<Body>(&s.content.content);
        if (found != nullptr && s.to == vm(to))
            out.push_back(*found);
    }
    return out;
}

TEST(step, acknowledgments_of_an_earlier_term_give_no_lease)
{
    tested_member s;
    s.elect();
    const auto first = s.state.vote.current_term;
    s.acknowledge(2, log_index{2}, first, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
    s.message(3, append_request{}, term{first.value() + 3});
    ASSERT_EQ(s.state.role, role::follower);
    s.elect();
    EXPECT_FALSE(holds_lease(s.state, s.now));
    s.acknowledge(2, log_index{2}, first, s.now);
    EXPECT_FALSE(holds_lease(s.state, s.now));
    s.acknowledge(2, log_index{2}, s.state.vote.current_term, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
}

// Send time of the latest append_request to member 2.
base::time_point sent_at(const std::vector<action>& actions)
{
    const auto requests = sent_to<append_request>(actions, 2);
    return requests.empty()
               ? base::time_point{}
               : base::time_point{base::duration(requests.back().sent_us)};
}

TEST(step, a_leader_that_wakes_after_its_lease_answers_no_read)
{
    tested_member s;
    s.elect();
    const auto term_start = s.state.leading.term_start_index;
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, term_start, current, s.now);
    const auto round = sent_at(s.feed(read_requested{1}));
    EXPECT_EQ(
        actions_of_type<read_ready>(
            s.acknowledge(2, term_start, current, round))
            .size(),
        1u);
    s.now = round + s.state.times.lease_duration;
    EXPECT_TRUE(actions_of_type<read_ready>(s.feed(read_requested{2})).empty());
    // An acknowledgment that was delayed on its way counts from the time at
    // which the acknowledged message was sent.
    EXPECT_TRUE(actions_of_type<read_ready>(
                    s.acknowledge(2, term_start, current, round))
                    .empty());
    const auto rejections = actions_of_type<rejected>(s.feed(tick{}));
    ASSERT_EQ(rejections.size(), 1u);
    EXPECT_EQ(rejections[0].tag, 2u);
    EXPECT_EQ(s.state.role, role::follower);
}

// Guards against a read that is answered on the strength of a lease: its clock
// may have stood still with the VM, so that it does not show that others have
// gone on.
TEST(step, a_read_needs_an_answer_to_a_message_sent_after_it)
{
    tested_member s;
    s.elect();
    const auto term_start = s.state.leading.term_start_index;
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, term_start, current, s.now);
    ASSERT_TRUE(holds_lease(s.state, s.now));
    // The clock does not move from here on.
    const auto before_read = sent_at(s.feed(read_requested{1}));
    const auto later = s.feed(read_requested{2});
    EXPECT_TRUE(actions_of_type<read_ready>(later).empty());
    // Answers to what was sent before the reads.
    for (const std::uint64_t from : {2U, 3U})
        EXPECT_TRUE(actions_of_type<read_ready>(
                        s.acknowledge(from, term_start, current, start + 3s))
                        .empty());
    // The first round is older than the second read, which gets a round of its
    // own.
    const auto first = s.acknowledge(2, term_start, current, before_read);
    ASSERT_EQ(actions_of_type<read_ready>(first).size(), 1u);
    EXPECT_EQ(actions_of_type<read_ready>(first)[0].tag, 1u);
    const auto second_round = sent_at(first);
    EXPECT_GT(second_round, before_read);
    const auto second = s.acknowledge(3, term_start, current, second_round);
    ASSERT_EQ(actions_of_type<read_ready>(second).size(), 1u);
    EXPECT_EQ(actions_of_type<read_ready>(second)[0].tag, 2u);
}

// Guards against a leader that stood still, whose reads a higher term ends.
TEST(step, a_read_ends_when_an_answer_shows_a_higher_term)
{
    tested_member s;
    s.elect();
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, s.state.leading.term_start_index, current, s.now);
    s.feed(read_requested{1});
    const auto ended = s.message(3, append_reply{}, current.next());
    EXPECT_TRUE(actions_of_type<read_ready>(ended).empty());
    ASSERT_EQ(actions_of_type<rejected>(ended).size(), 1u);
    EXPECT_EQ(s.state.role, role::follower);
}

TEST(step, a_read_waits_for_the_first_commit_of_the_term)
{
    tested_member s;
    s.elect();
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, log_index{1}, current, s.now);
    EXPECT_TRUE(holds_lease(s.state, s.now));
    EXPECT_TRUE(actions_of_type<read_ready>(s.feed(read_requested{1})).empty());
    // A later message is answered, but nothing of the term is committed.
    s.now += s.state.times.heartbeat_interval;
    const auto sent = sent_at(s.feed(tick{}));
    EXPECT_TRUE(actions_of_type<read_ready>(
                    s.acknowledge(2, log_index{1}, current, sent))
                    .empty());
    const auto done =
        s.acknowledge(2, s.state.leading.term_start_index, current, sent);
    EXPECT_EQ(actions_of_type<read_ready>(done).size(), 1u);
}

// Each row: what the leader has committed when it sends its last message to
// member 1, which has two entries. Guards against a follower that lags and
// vouches for what it has as the newest.
TEST(step, a_follower_has_caught_up_only_with_its_leaders_commits)
{
    struct row {
        const char* what;
        log_index committed;
        term of_last_entry;
        bool has_caught_up;
    };
    const term current{4};
    const row rows[] = {
        {"all committed", log_index{2}, current, true},
        {"the end of the log is missing here", log_index{3}, current, false},
        {"no entry of the term is committed", log_index{1}, current, false},
        {"a new leader knows of no later commit", log_index{2}, term{2}, false},
    };
    for (const auto& r : rows) {
        tested_member s({{r.of_last_entry, log_index{2}, {}, "a"}});
        append_request request;
        request.previous = log_index{2};
        request.previous_term = r.of_last_entry;
        request.committed = r.committed;
        EXPECT_FALSE(has_caught_up(s.state)) << r.what;
        s.message(2, request, current);
        EXPECT_EQ(has_caught_up(s.state), r.has_caught_up) << r.what;
    }
}

// Guards against a member that vouches for a snapshot that is out of date when
// it has arrived.
TEST(step, a_snapshot_does_not_show_what_its_leader_has_committed)
{
    tested_member s;
    snapshot_chunk chunk;
    chunk.last = log_index{9};
    chunk.last_term = term{4};
    chunk.members = members_of(s.state);
    chunk.size = 1;
    chunk.data = "a";
    s.message(2, chunk, term{4});
    EXPECT_EQ(s.state.committed, log_index{9});
    EXPECT_FALSE(has_caught_up(s.state));
}

TEST(step, entries_of_an_older_term_are_not_committed_by_counting)
{
    tested_member s({{term{1}, log_index{2}, entry_kind::command, "old"}});
    s.elect();
    s.acknowledge(2, log_index{2}, s.state.vote.current_term, s.now);
    s.acknowledge(3, log_index{2}, s.state.vote.current_term, s.now);
    EXPECT_EQ(s.state.committed, log_index{0});
    s.acknowledge(2, log_index{3}, s.state.vote.current_term, s.now);
    EXPECT_EQ(s.state.committed, log_index{3});
}

TEST(step, the_own_copy_counts_only_once_it_is_durable)
{
    tested_member s;
    s.elect();
    s.acknowledge(
        2, s.state.leading.term_start_index, s.state.vote.current_term, s.now);
    const auto out = s.feed(proposals{{{1, "a"}}});
    // The entry is sent to the followers in parallel with the own write.
    EXPECT_EQ(sent_to<append_request>(out, 2).size(), 1u);
    const auto index = last_index(s.state.log);
    s.acknowledge(2, index, s.state.vote.current_term, s.now);
    EXPECT_LT(s.state.committed, index);
    s.feed(persisted{s.write_sequence});
    EXPECT_EQ(s.state.committed, index);
}

TEST(step, another_disk_gives_neither_votes_nor_acknowledgments)
{
    const incarnation other_disk{99};
    tested_member s;
    s.now += 3s;
    s.feed(tick{});
    s.grant(2, true, other_disk);
    EXPECT_TRUE(s.state.campaign.pre_vote);
    s.grant(2, true);
    EXPECT_FALSE(s.state.campaign.pre_vote);
    s.feed(persisted{s.write_sequence});
    s.grant(2, false, other_disk);
    EXPECT_EQ(s.state.role, role::candidate);
    s.grant(2, false);
    ASSERT_EQ(s.state.role, role::leader);
    s.feed(persisted{s.write_sequence});
    const auto term_start = s.state.leading.term_start_index;
    s.acknowledge(2, term_start, s.state.vote.current_term, s.now, other_disk);
    EXPECT_EQ(s.state.committed, log_index{0});
    EXPECT_FALSE(holds_lease(s.state, s.now));
}

TEST(step, messages_for_another_disk_are_answered_by_an_announcement_only)
{
    tested_member s;
    const auto before = s.state.vote;
    const message m{term{9}, incarnation{2}, incarnation{99}, append_request{}};
    const auto out = s.feed(message_received{vm(2), m});
    EXPECT_EQ(sent_to<disk_announcement>(out, 2).size(), 1u);
    EXPECT_EQ(actions_of_type<send>(out).size(), 1u);
    auto ask = m;
    ask.content = vote_request{term{9}, log_index{9}, term{9}};
    EXPECT_TRUE(s.feed(message_received{vm(2), ask}).empty());
    EXPECT_EQ(s.state.vote, before);
}

// A delayed copy of an announcement from before a disk was replaced must not
// bring the old disk back.
TEST(step, only_a_fresh_answer_replaces_a_disk)
{
    tested_member s;
    s.elect();
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, s.state.leading.term_start_index, current, s.now);
    disk_announcement m;
    m.echo_term = current;
    m.echo_sent_us =
        (s.now - s.state.times.lease_duration).time_since_epoch().count();
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
    tested_member s;
    // A member that has just started may have acknowledged a lease before.
    EXPECT_TRUE(s.message(2, ask, term{7}).empty());
    EXPECT_EQ(s.state.vote.current_term, term{1});
    s.now += s.state.times.election_timeout_min;
    s.message(3, append_request{}, term{1});
    s.now += s.state.times.election_timeout_min - 1ms;
    EXPECT_TRUE(s.message(2, ask, term{7}).empty());
    s.now += 1ms;
    s.message(2, ask, term{7});
    EXPECT_EQ(s.state.vote, (vote_record{term{7}, vm(2)}));
}

TEST(step, a_vote_is_sent_only_once_it_is_durable)
{
    tested_member s;
    s.now += s.state.times.election_timeout_min;
    const vote_request ask{term{7}, log_index{9}, term{5}};
    EXPECT_TRUE(sent_to<vote_reply>(s.message(2, ask, term{7}), 2).empty());
    const auto out =
        sent_to<vote_reply>(s.feed(persisted{s.write_sequence}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_TRUE(out[0].granted);
}

TEST(step, an_entry_is_acknowledged_only_once_it_is_durable)
{
    tested_member s;
    append_request r{log_index{1}, term{1}};
    r.entries.push_back({term{1}, log_index{2}, entry_kind::command, "a"});
    EXPECT_TRUE(sent_to<append_reply>(s.message(2, r, term{1}), 2).empty());
    // A heartbeat is acknowledged at once, since the lease needs it.
    const append_request heartbeat{log_index{2}, term{1}};
    auto out = sent_to<append_reply>(s.message(2, heartbeat, term{1}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].match, log_index{1});
    out = sent_to<append_reply>(s.feed(persisted{s.write_sequence}), 2);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].match, log_index{2});
}

// If one member already belongs to a cluster, or knows a different disk of
// another member, the rest must not form a second cluster.
TEST(step, a_cluster_forms_only_if_all_initial_members_agree)
{
    setup options{vm(1), incarnation{1}};
    for (std::uint64_t i = 1; i <= 3; ++i)
        options.initial.push_back({vm(i), {}, {}, {}, true, false});
    auto state = make_state(std::move(options), start);
    const auto receive = [&](std::uint64_t i, const disk_announcement& m) {
        const message announcement{{}, incarnation{i}, {}, m};
        step(state, message_received{vm(i), announcement}, start);
    };
    disk_announcement agreed;
    for (std::uint64_t i = 1; i <= 3; ++i)
        agreed.known_disks[vm(i)] = incarnation{i};
    auto other_disk = agreed;
    other_disk.known_disks[vm(1)] = incarnation{99};
    auto already_in_cluster = agreed;
    already_in_cluster.has_logged_membership = true;
    receive(2, agreed);
    for (const auto& m :
         {other_disk, already_in_cluster, disk_announcement{}}) {
        receive(3, m);
        EXPECT_FALSE(is_admitted(state));
    }
    receive(3, agreed);
    EXPECT_TRUE(is_voter(state));
}

// Guards against a leader that keeps the lead although its disk is full, and
// against a transfer to a member whose disk may be full, too.
TEST(step, a_leader_with_a_full_disk_hands_over_to_a_voter_that_has_stored_more)
{
    tested_member s;
    s.elect();
    const auto current = s.state.vote.current_term;
    s.acknowledge(2, last_index(s.state.log), current, s.now);
    s.feed(disk_state{true});
    s.now += 200ms;
    EXPECT_TRUE(sent_to<timeout_now>(s.feed(tick{}), 2).empty());
    s.feed(proposals{{{7, "x"}}});
    EXPECT_TRUE(sent_to<timeout_now>(s.feed(tick{}), 2).empty());
    s.acknowledge(2, last_index(s.state.log), current, s.now);
    EXPECT_EQ(sent_to<timeout_now>(s.feed(tick{}), 2).size(), 1U);
    EXPECT_EQ(s.state.role, role::follower);
}

// Guards against a candidate whose vote is never durable.
TEST(step, a_member_with_a_full_disk_does_not_stand_for_election)
{
    tested_member s;
    s.feed(disk_state{true});
    s.now += 5s;
    EXPECT_TRUE(sent_to<vote_request>(s.feed(tick{}), 2).empty());
    s.feed(disk_state{false});
    s.now += 5s;
    EXPECT_EQ(sent_to<vote_request>(s.feed(tick{}), 2).size(), 1U);
}

// Guards against a log of large commands that stays in memory.
TEST(step, the_entries_that_stay_in_memory_are_bounded_in_bytes)
{
    limits bounds;
    bounds.trailing_bytes = 1000;
    tested_member s({}, bounds);
    s.elect();
    proposals many;
    for (std::uint64_t i = 0; i < 100; ++i)
        many.batch.push_back({i, std::string(100, 'x')});
    s.feed(std::move(many));
    s.feed(persisted{s.write_sequence});
    const auto last = last_index(s.state.log);
    s.acknowledge(2, last, s.state.vote.current_term, s.now);
    s.feed(snapshot_taken{last, std::make_shared<const std::string>("s")});
    EXPECT_EQ(s.state.log.entries.size(), 10U);
}

TEST(step, windows_and_chunks_are_bounded)
{
    limits bounds;
    bounds.max_in_flight_entries = 100;
    bounds.max_append_entries = 10;
    bounds.trailing_entries = 0;
    tested_member s({}, bounds);
    s.elect();
    s.acknowledge(
        2, s.state.leading.term_start_index, s.state.vote.current_term, s.now);
    proposals many;
    for (std::uint64_t i = 0; i < 1000; ++i)
        many.batch.push_back({i, "x"});
    std::size_t entries = 0;
    for (const auto& r : sent_to<append_request>(s.feed(std::move(many)), 2)) {
        EXPECT_LE(r.entries.size(), 10u);
        entries += r.entries.size();
    }
    EXPECT_EQ(entries, 100u);
    s.feed(persisted{s.write_sequence});
    const auto last = last_index(s.state.log);
    s.acknowledge(2, last, s.state.vote.current_term, s.now);
    const std::size_t size = (std::size_t(5) << 20) / 2;
    s.feed(
        snapshot_taken{last, std::make_shared<const std::string>(size, 's')});
    std::size_t bytes = 0;
    for (int i = 0; i < 4; ++i) {
        s.now += 150ms;
        // Member 3 has an empty log and reports the bytes that it received.
        const auto out =
            i == 0 ? s.message(
                         3,
                         append_reply{
                             false,
                             {},
                             s.state.leading.peers[vm(3)].last_sent_previous},
                         s.state.vote.current_term)
                   : s.message(
                         3,
                         snapshot_reply{last, bytes},
                         s.state.vote.current_term);
        for (const auto& chunk : sent_to<snapshot_chunk>(out, 3)) {
            EXPECT_LE(chunk.data.size(), std::size_t(1) << 20);
            EXPECT_EQ(chunk.offset, bytes);
            bytes += chunk.data.size();
        }
    }
    EXPECT_EQ(bytes, size);
}

TEST(step, malformed_messages_are_refused)
{
    const auto is_decoded = [](const wire::consensus_message& m) {
        return base::handle(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode(m));
                return true;
            },
            [](const base::error&) { return false; });
    };
    append_request r;
    r.entries.push_back({term{1}, log_index{1}, entry_kind::command, "a"});
    const message well_formed{term{1}, incarnation{1}, incarnation{2}, r};
    EXPECT_TRUE(is_decoded(encode(0, well_formed)));
    auto bytes = encode(0, well_formed);
    for (std::size_t n = 0; n < bytes.payload.size(); ++n)
        EXPECT_FALSE(is_decoded({0, bytes.payload.substr(0, n)}));
    const auto is_decoded_with = [&](auto change) {
        auto m = well_formed;
        change(std::get<append_request>(m.content).entries[0]);
        return is_decoded(encode(0, m));
    };
    EXPECT_FALSE(is_decoded_with([](entry& e) { e.index = log_index{2}; }));
    EXPECT_FALSE(is_decoded_with([](entry& e) { e.kind = entry_kind(7); }));
    EXPECT_FALSE(
        is_decoded_with([](entry& e) { e.kind = entry_kind::membership; }));
}

} // namespace
} // namespace oleanderhinge::consensus
