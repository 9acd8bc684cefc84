// Guards against calls that run twice, run after they were cancelled, or are
// reported as not run although they may have run.
#include "oleanderhinge/agent/calls.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <sstream>
#include <string>

namespace oleanderhinge::agent
{
namespace
{

using namespace std::chrono_literals;

const base::request_id request{base::incarnation{7}, 1};

wire::call call_message(std::uint32_t attempt)
{
    wire::call m;
    m.request = request;
    m.attempt = base::attempt_number{attempt};
    m.server = base::backend_server_id{"stores-1"};
    m.agent_incarnation = base::incarnation{100};
    m.body = "book";
    m.budget_ms = 1000;
    return m;
}

std::string render(const call_action& a)
{
    std::ostringstream out;
    if (const auto* slot = std::get_if<request_call_slot>(&a))
        out << "slot " << slot->attempt;
    else if (const auto* free = std::get_if<release_call_slot>(&a))
        out << "release " << free->attempt << (free->ran ? " ran" : "");
    else if (const auto* run = std::get_if<run_call>(&a))
        out << "run " << run->message.attempt << ' ' << run->message.body;
    else if (const auto* sent = std::get_if<send_result>(&a))
        out << "result " << sent->message.attempt << " link " << sent->to << ' '
            << (sent->message.failure.code == base::failure_code::none
                    ? std::to_string(sent->message.answer.status)
                    : base::to_string(sent->message.failure.state));
    return out.str();
}

// Runs a script of events, separated by semicolons: "call 1 5" is the call of
// attempt 1 on link 5. The link is 1 if omitted.
struct call_script {
    call_table table{
        base::backend_server_id{"stores-1"},
        base::incarnation{100},
        {},
        {},
        {},
        {},
        {},
        0};
    base::time_point now{100s};

    call_event parse(const std::string& line)
    {
        std::istringstream in(line);
        std::string name;
        std::uint32_t number = 0;
        std::uint64_t link = 0;
        in >> name >> number;
        const base::attempt_number attempt{number};
        if (!(in >> link))
            link = 1;
        if (name == "call")
            return call_received{call_message(number), peer_link{link}};
        if (name == "slot")
            return call_slot_granted{request, attempt};
        if (name == "noslot")
            return call_slot_refused{
                request,
                attempt,
                base::not_run(base::failure_code::overloaded, "full")};
        if (name == "cancel")
            return cancel_received{{request, attempt}, peer_link{link}};
        if (name == "unlink")
            return call_link_closed{peer_link{number}};
        if (name == "leave")
            return call_availability_changed{
                base::not_run(base::failure_code::server_leaving, "leaving")};
        if (name == "wait") {
            now += std::chrono::milliseconds(number);
            return call_ticked{};
        }
        call_finished e{request, attempt, {}, {201, {}, "booked"}};
        if (name == "unknown")
            e.failure =
                base::may_have_run(base::failure_code::server_failed, "lost");
        else if (name == "unsent")
            e.failure =
                base::not_run(base::failure_code::server_failed, "refused");
        return e;
    }

    std::vector<call_action> actions(const std::string& line)
    {
        const auto e = parse(line);
        return advance(table, e, now);
    }

    std::string run(const std::string& script)
    {
        std::string text;
        std::istringstream in(script);
        for (std::string line; std::getline(in, line, ';');)
            for (const auto& a : this->actions(line))
                text += (text.empty() ? "" : "; ") + render(a);
        return text;
    }
};

TEST(calls, run_at_most_once_with_a_true_verdict)
{
    struct row {
        const char* failure;
        const char* before;
        const char* events;
        const char* actions;
    };
    constexpr auto running = "call 1;slot 1";
    constexpr auto finished = "call 1;slot 1;done 1";
    const row rows[] = {
        {"in order",
         "",
         "call 1;slot 1;done 1",
         "slot 1; run 1 book; release 1 ran; result 1 link 1 201"},
        {"delivered again while queued", "call 1", "call 1", ""},
        {"delivered again while running", running, "call 1", ""},
        {"delivered again after its end",
         finished,
         "call 1",
         "result 1 link 1 201"},
        {"delivered again on a new link",
         running,
         "call 1 5;done 1",
         "release 1 ran; result 1 link 5 201"},
        {"answered twice", finished, "done 1", ""},
        {"no answer from the service",
         running,
         "unknown 1;call 1",
         "release 1 ran; result 1 link 1 may_have_run; "
         "result 1 link 1 may_have_run"},
        {"service not reached",
         running,
         "unsent 1",
         "release 1; result 1 link 1 not_run"},
        {"refused by the queue",
         "call 1",
         "noslot 1",
         "result 1 link 1 not_run"},
        {"cancelled while queued",
         "call 1",
         "cancel 1;slot 1;call 1",
         "release 1; result 1 link 1 not_run; release 1; "
         "result 1 link 1 not_run"},
        {"cancelled while running",
         running,
         "cancel 1;done 1",
         "release 1 ran; result 1 link 1 201"},
        {"cancelled after its end",
         finished,
         "cancel 1",
         "result 1 link 1 201"},
        {"cancelled before the call arrives",
         "",
         "cancel 1;call 1",
         "result 1 link 1 not_run; result 1 link 1 not_run"},
        {"link closes while queued",
         "call 1",
         "unlink 1;slot 1",
         "release 1; release 1"},
        {"link closes while running",
         running,
         "unlink 1;done 1;call 1 5",
         "release 1 ran; result 1 link 5 201"},
        {"time budget over when the slot is granted",
         "call 1;wait 1000",
         "slot 1",
         "release 1; result 1 link 1 not_run"},
        {"leaving", "leave", "call 1", "result 1 link 1 not_run"},
        {"leaving does not end a running call",
         "call 1;slot 1;leave",
         "done 1",
         "release 1 ran; result 1 link 1 201"},
        {"a new attempt is another call",
         finished,
         "call 2;slot 2",
         "slot 2; run 2 book"},
    };
    for (const auto& r : rows) {
        call_script script;
        script.run(r.before);
        EXPECT_EQ(script.run(r.events), r.actions) << r.failure;
    }
}

TEST(calls, other_servers_and_incarnations_are_refused)
{
    call_script script;
    auto m = call_message(1);
    m.agent_incarnation = base::incarnation{99};
    auto actions =
        advance(script.table, call_received{m, peer_link{1}}, script.now);
    EXPECT_EQ(render(actions.at(0)), "result 1 link 1 not_run");
    m = call_message(1);
    m.server = base::backend_server_id{"stores-2"};
    actions = advance(script.table, call_received{m, peer_link{1}}, script.now);
    EXPECT_EQ(render(actions.at(0)), "result 1 link 1 not_run");
    EXPECT_TRUE(script.table.calls.empty());
}

// A full table must not remove the record of a call that ran, since a repeat
// would run again. It must not report an unknown call as cancelled either,
// since it has no room for the record that prevents a late run.
TEST(calls, records_are_bounded_and_kept_for_their_time)
{
    call_script script;
    script.table.limits.max_calls = 1;
    script.run("call 1;slot 1;done 1");
    EXPECT_EQ(script.run("call 2"), "result 2 link 1 not_run");
    EXPECT_EQ(script.run("cancel 2"), "result 2 link 1 may_have_run");
    script.run("wait 59999");
    EXPECT_EQ(script.run("call 1"), "result 1 link 1 201");
    script.run("wait 1");
    EXPECT_TRUE(script.table.calls.empty());
    EXPECT_EQ(script.table.kept_answer_bytes, 0U);
}

// A call whose answer was dropped must be reported as `ran`, so that it is not
// repeated elsewhere.
TEST(calls, dropped_answers_say_that_the_call_ran)
{
    call_script script;
    script.table.limits.max_answer_bytes = 8;
    script.run("call 1;slot 1;done 1;call 2;slot 2;done 2");
    EXPECT_EQ(script.run("call 1"), "result 1 link 1 ran");
    EXPECT_EQ(script.run("call 2"), "result 2 link 1 201");
    script.run("wait 60000");
    EXPECT_EQ(script.table.kept_answer_bytes, 0U);
    EXPECT_TRUE(script.table.kept_answers.empty());
}

RC_GTEST_PROP(calls, no_call_runs_twice_or_after_not_run, ())
{
    const char* const names[] = {
        "call ", "slot ", "noslot ", "cancel ", "done ", "unknown ", "call "};
    call_script script;
    std::map<std::uint32_t, int> runs;
    std::map<std::uint32_t, int> reported_not_run;
    const auto count = *rc::gen::inRange(5, 60);
    for (int i = 0; i < count; ++i) {
        const auto attempt = *rc::gen::inRange(1, 4);
        const auto line =
            *rc::gen::inRange(0, 20) == 0
                ? std::string("unlink 1")
                : names[*rc::gen::inRange(0, 7)] + std::to_string(attempt);
        for (const auto& a : script.actions(line)) {
            if (const auto* run = std::get_if<run_call>(&a)) {
                const auto number = run->message.attempt.value();
                RC_ASSERT(++runs[number] == 1);
                RC_ASSERT(reported_not_run[number] == 0);
            } else if (const auto* sent = std::get_if<send_result>(&a)) {
                const auto& m = sent->message;
                if (m.failure.code != base::failure_code::none &&
                    m.failure.state == base::execution::not_run) {
                    ++reported_not_run[m.attempt.value()];
                    RC_ASSERT(runs[m.attempt.value()] == 0);
                }
            }
        }
    }
}

} // namespace
} // namespace oleanderhinge::agent
