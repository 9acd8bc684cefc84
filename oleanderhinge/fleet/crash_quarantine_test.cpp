// Guards against requests that crash one server after the other, and against
// refusing sound requests because servers crashed under them.
#include "oleanderhinge/fleet/crash_quarantine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace oleanderhinge::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr base::prompt_part deadly{1000};
constexpr base::prompt_part shared_first{1};
constexpr base::prompt_part other_first{2};

base::time_point at(base::duration since_start)
{
    return base::time_point(1h) + since_start;
}

// A request with its own part and shared parts.
prompt make_prompt(std::uint64_t own, std::vector<base::prompt_part> shared)
{
    return {base::prompt_part{1'000'000 + own}, std::move(shared)};
}

wire::endpoint server(std::uint64_t number)
{
    return {"10.0.0." + std::to_string(number), 80};
}

const prompt sound = make_prompt(0, {shared_first});
const prompt poisoned = make_prompt(1, {shared_first, deadly});

// Servers crash under `count` requests, one each 400 ms from `start` on, which
// share only the deadly part.
void crash_servers(crash_quarantine& q, int count, base::duration start)
{
    for (int i = 0; i < count; ++i)
        note_crash(
            q,
            make_prompt(
                std::uint64_t(10 + i),
                {base::prompt_part{std::uint64_t(100 + i)}, deadly}),
            server(std::uint64_t(i)),
            at(start + i * 400ms));
}

// Guards against a repeated request whose crashes count as one, and against
// refusing the parts that it shares with sound requests.
TEST(crash_quarantine, a_repeated_request_is_quarantined_without_its_parts)
{
    constexpr base::prompt_part key{7};
    crash_quarantine q;
    const auto crash_under = [&](std::uint64_t attempt) {
        const auto time = at(std::int64_t(attempt) * 400ms);
        note_crash(q, poisoned, server(attempt), time);
        note_crash(
            q,
            whole_request(key, base::prompt_part{attempt}),
            server(attempt),
            time);
    };
    const auto next = whole_request(key, base::prompt_part{99});
    crash_under(1);
    EXPECT_TRUE(may_repeat_after_crash(q, next));
    crash_under(2);
    EXPECT_FALSE(may_repeat_after_crash(q, next));
    EXPECT_FALSE(quarantined_until(q, next, at(1s)));
    crash_under(3);
    EXPECT_TRUE(quarantined_until(q, next, at(2s)));
    EXPECT_FALSE(quarantined_until(q, poisoned, at(2s)));
    note_answer(q, next, at(3s));
    EXPECT_FALSE(quarantined_until(q, next, at(3s)));
}

// Guards against a quarantine that begins after more crashes than it needs, or
// that covers parts which the crashes have in common with sound requests.
TEST(crash_quarantine, the_part_that_all_crashes_share_is_quarantined)
{
    crash_quarantine q;
    note_answer(q, sound, at(0s));
    crash_servers(q, 2, 1s);
    EXPECT_FALSE(quarantined_until(q, poisoned, at(2s)));
    crash_servers(q, 3, 1s);
    EXPECT_EQ(
        quarantined_until(q, poisoned, at(2s)), at(1800ms + quarantine_time));
    EXPECT_FALSE(quarantined_until(q, sound, at(2s)));
    EXPECT_EQ(quarantined_parts(q, at(2s)), 1U);
}

// All poisoned requests share their first part with sound ones that have not
// been answered lately. Guards against refusing those, too.
TEST(crash_quarantine, of_several_parts_the_last_is_blamed)
{
    crash_quarantine q;
    for (std::uint64_t i = 0; i < 4; ++i)
        note_crash(
            q,
            make_prompt(i, {shared_first, deadly}),
            server(i),
            at(400ms * int(i)));
    EXPECT_TRUE(quarantined_until(q, poisoned, at(2s)));
    EXPECT_FALSE(quarantined_until(q, sound, at(2s)));
}

// Guards against a request that is repeated and counts as several.
TEST(crash_quarantine, repetitions_of_one_request_count_once)
{
    crash_quarantine q;
    for (int i = 0; i < 5; ++i)
        note_crash(q, poisoned, server(std::uint64_t(i)), at(2s * i));
    EXPECT_FALSE(quarantined_until(q, poisoned, at(11s)));
    EXPECT_TRUE(may_repeat_after_crash(q, poisoned));
}

// Guards against a second crash by the repetition of a request whose part has
// crashed the server of another one.
TEST(crash_quarantine, a_request_on_a_suspected_part_is_not_repeated)
{
    crash_quarantine q;
    crash_servers(q, 1, 0s);
    EXPECT_TRUE(may_repeat_after_crash(q, poisoned));
    note_crash(q, poisoned, server(9), at(1s));
    EXPECT_FALSE(may_repeat_after_crash(q, poisoned));
    EXPECT_TRUE(may_repeat_after_crash(q, sound));
}

// Many servers lose their power at once while sound requests wait on them.
// Guards against a quarantine of a part that is answered elsewhere.
TEST(crash_quarantine, parts_that_are_answered_are_not_suspected)
{
    crash_quarantine q;
    note_answer(q, sound, at(0s));
    for (std::uint64_t i = 0; i < 10; ++i)
        note_crash(q, make_prompt(i, {shared_first}), server(i), at(1s));
    EXPECT_FALSE(quarantined_until(q, sound, at(1s)));
    EXPECT_TRUE(all_crashes(q, at(1s)).crashes.empty());
}

// One server crashes while many requests with a part that has not been answered
// lately wait there. Guards against counting that as many crashes.
TEST(crash_quarantine, requests_that_lose_the_same_server_saw_one_crash)
{
    crash_quarantine q;
    for (std::uint64_t i = 0; i < 10; ++i)
        note_crash(
            q, make_prompt(i, {shared_first}), server(1), at(10ms * int(i)));
    EXPECT_FALSE(quarantined_until(q, sound, at(1s)));
    EXPECT_TRUE(may_repeat_after_crash(q, sound));
}

// A quarantine turns out wrong: a request that was sent before is answered.
// Guards against refusing sound requests until its end.
TEST(crash_quarantine, an_answer_ends_a_wrong_quarantine)
{
    crash_quarantine q;
    crash_servers(q, 4, 0s);
    ASSERT_TRUE(quarantined_until(q, poisoned, at(2s)));
    const auto news = note_answer(q, poisoned, at(2s));
    EXPECT_EQ(news.answered, (std::vector<wire::answered_part>{{deadly, 0}}));
    EXPECT_FALSE(quarantined_until(q, poisoned, at(2s)));
}

// Guards against a quarantine that never ends, and against one after which
// several servers end before it is renewed.
TEST(crash_quarantine, it_ends_and_one_crash_renews_it)
{
    crash_quarantine q;
    crash_servers(q, 3, 0s);
    const auto end = at(800ms + quarantine_time);
    expire(q, end);
    EXPECT_FALSE(quarantined_until(q, poisoned, end));
    note_crash(q, poisoned, server(9), end + 1s);
    EXPECT_EQ(
        quarantined_until(q, poisoned, end + 2s), end + 1s + quarantine_time);
    expire(q, end + crash_memory + 2s);
    EXPECT_TRUE(q.suspects.empty());
}

// The crashes are seen by different gateways. Guards against evidence that
// stays where it was seen.
TEST(crash_quarantine, evidence_of_several_gateways_adds_up)
{
    std::vector<crash_quarantine> gateways(5);
    crash_quarantine control;
    for (std::size_t i = 0; i < 3; ++i) {
        const auto request =
            make_prompt(i, {base::prompt_part{100 + i}, deadly});
        const auto now = at(400ms * int(i));
        const auto news = note_crash(gateways[i], request, server(i), now);
        ASSERT_EQ(news.crashes.size(), 1U);
        EXPECT_EQ(apply(control, news, now).relay, news);
        EXPECT_TRUE(is_empty(apply(control, news, now + 3ms).relay));
        for (auto& gateway : gateways)
            apply(gateway, news, now + 2ms);
    }
    for (const auto& gateway : gateways)
        EXPECT_TRUE(quarantined_until(gateway, poisoned, at(1s)));
}

// Guards against a process that connects later and blames another part than the
// others do, or none.
TEST(crash_quarantine, a_process_that_connects_learns_all_crashes)
{
    // The deadly part has the smaller id.
    constexpr base::prompt_part first{5000};
    crash_quarantine here;
    crash_quarantine there;
    for (std::uint64_t i = 0; i < 2; ++i) {
        note_crash(
            here,
            make_prompt(i, {first, deadly}),
            server(i),
            at(400ms * int(i)));
        note_crash(
            there,
            make_prompt(10 + i, {first, deadly}),
            server(10 + i),
            at(400ms * int(i)));
    }
    apply(here, all_crashes(there, at(2s)), at(2s));
    EXPECT_TRUE(quarantined_until(here, poisoned, at(2s)));
    EXPECT_FALSE(quarantined_until(here, make_prompt(0, {first}), at(2s)));
}

// One gateway's requests lose their servers while another gateway gets answers
// on the same parts. Guards against a quarantine that only the second
// one could have prevented.
TEST(crash_quarantine, answers_of_other_gateways_clear_a_part)
{
    crash_quarantine here;
    crash_quarantine there;
    note_answer(there, sound, at(0s));
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto news =
            note_crash(here, make_prompt(i, {shared_first}), server(i), at(1s));
        const auto effect = apply(there, news, at(1010ms));
        EXPECT_TRUE(is_empty(effect.relay));
        apply(here, effect.reply, at(1020ms));
    }
    EXPECT_FALSE(quarantined_until(here, sound, at(2s)));
}

// Guards against memory that grows with the number of parts in requests that
// lost their servers, and of parts that are answered, and against a quarantine
// that crashes on other parts end.
TEST(crash_quarantine, memory_is_bounded)
{
    crash_quarantine q;
    crash_servers(q, 3, 0s);
    for (std::uint64_t i = 0; i < 3 * max_suspects; ++i)
        for (std::uint64_t request = 0; request < 12; ++request)
            note_crash(
                q,
                make_prompt(i * 100 + request, {base::prompt_part{5000 + i}}),
                server(1),
                at(1s + 1ms * int(i)));
    EXPECT_LE(q.suspects.size(), max_suspects);
    EXPECT_LE(
        all_crashes(q, at(10s)).crashes.size(),
        max_suspects * max_crashes_per_part);
    EXPECT_TRUE(quarantined_until(q, poisoned, at(3s)));
    for (std::uint64_t i = 0; i < 3 * max_answered_parts; ++i)
        note_answer(q, make_prompt(0, {base::prompt_part{i}}), at(10s));
    EXPECT_LE(q.answered.size(), max_answered_parts);
}

// Servers crash at random under sound and poisoned requests, while other
// requests with the sound parts are answered every second. Guards against a
// quarantine of a sound part, and against poison that is not found after as
// many requests as needed.
RC_GTEST_PROP(crash_quarantine, only_the_deadly_part_is_quarantined, ())
{
    constexpr std::uint64_t sound_parts = 5;
    crash_quarantine q;
    std::set<std::uint64_t> poisoned_requests;
    for (int i = 0; i < 100; ++i) {
        const auto now = at(100ms * i);
        if (i % 10 == 0)
            for (std::uint64_t part = 1; part <= sound_parts; ++part)
                note_answer(q, make_prompt(0, {base::prompt_part{part}}), now);
        const base::prompt_part first{
            *rc::gen::inRange<std::uint64_t>(1, sound_parts + 1)};
        const auto own = *rc::gen::inRange<std::uint64_t>(1, 20);
        auto request = make_prompt(own, {first});
        if (*rc::gen::arbitrary<bool>()) {
            request.shared.push_back(deadly);
            poisoned_requests.insert(own);
        }
        note_crash(q, request, server(std::uint64_t(i)), now);
        RC_ASSERT(!quarantined_until(q, make_prompt(0, {first}), now));
        RC_ASSERT(
            quarantined_until(q, poisoned, now).has_value() ==
            (poisoned_requests.size() >= quarantine_crashes));
    }
}

} // namespace
} // namespace oleanderhinge::fleet
