// Guards against layer steps that run twice, out of order, at the wrong stage
// or after their attempt was fenced or closed, and against slots that ended
// attempts never release.
#include "oleanderhinge/chain/execution.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace oleanderhinge::chain
{
namespace
{

using namespace std::chrono_literals;

const base::request_id request{base::incarnation{7}, 1};
constexpr std::uint32_t layers_per_stage = 8;

stage_identity identity(std::uint32_t position)
{
    return {
        base::backend_server_id{"server-" + std::to_string(position)},
        base::incarnation{100 + position},
        {base::layer_index{position * layers_per_stage},
         base::layer_index{(position + 1) * layers_per_stage}},
        3 * layers_per_stage};
}

wire::open_attempt open_message(std::uint32_t attempt, std::uint32_t position)
{
    wire::open_attempt m;
    m.request = request;
    m.attempt = base::attempt_number{attempt};
    m.position = position;
    m.prompt = "why does the left flipper stick";
    m.max_tokens = 50;
    m.budget_ms = 5000;
    for (std::uint32_t i = 0; i < 3; ++i) {
        const auto self = identity(i);
        m.chain.push_back(
            {self.server,
             self.agent_incarnation,
             {"127.0.0.1", std::uint16_t(9000 + i)},
             self.layers});
    }
    return m;
}

struct renderer {
    std::ostringstream out;

    template <class T>
    std::string key(const T& m)
    {
        return std::to_string(m.attempt.value()) + "/" +
               std::to_string(m.token.value());
    }
    void operator()(const request_slot& a)
    {
        out << (a.head ? "queue " : "slot ") << a.attempt;
    }
    void operator()(const release_slot& a)
    {
        out << "release " << a.attempt << " tokens " << a.tokens;
    }
    void operator()(const run_step& a)
    {
        out << "run " << key(a) << (a.prefill ? " prefill" : "");
    }
    void operator()(const free_engine_state& a)
    {
        out << "forget " << a.attempt;
    }
    void operator()(const forward_step& a)
    {
        out << "forward " << key(a.message) << " layer " << a.message.next_layer
            << " port " << a.to.port << " try " << a.try_number;
    }
    void operator()(const acknowledge& a)
    {
        const char* names[] = {"taken", "repeated", "fenced"};
        out << "ack " << key(a.message) << ' ' << names[int(a.reason)];
    }
    void operator()(const refuse_step& a)
    {
        out << "refuse-step " << key(a.message);
    }
    void operator()(const send_token& a)
    {
        out << "token " << a.message.attempt << '/' << a.message.index
            << " link " << a.to << ' ' << a.message.finish_reason;
    }
    void operator()(const grant_attempt& a)
    {
        out << "granted " << a.message.attempt;
    }
    void append_verdict(const base::verdict& v)
    {
        out << ' ' << base::to_string(v.state) << ' '
            << base::to_string(v.code);
    }
    void operator()(const refuse_attempt& a)
    {
        out << "refused " << a.message.attempt;
        append_verdict(a.message.reason);
    }
    void operator()(const fail_attempt& a)
    {
        out << "failed " << a.message.attempt;
        append_verdict(a.message.reason);
    }
    void operator()(const confirm_close& a)
    {
        out << "closed " << a.message.attempt << " link " << a.to << ' '
            << base::to_string(a.message.state);
    }
    void operator()(const record_fenced& a)
    {
        out << "fenced " << a.attempt << " by " << a.by;
    }
};

std::string render(const action& a)
{
    renderer r;
    std::visit(r, a);
    auto text = r.out.str();
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

// Applies events given as text, for example "step 2 0" for the step of attempt
// 2, token 0. Links are numbered; link 1 is the one of the entry node.
class stage_script
{
public:
    explicit stage_script(
        std::uint32_t stage_position, execution_limits limits = {})
        : position(stage_position)
        , table(make_attempt_table(identity(stage_position), limits))
    {
    }

    // Applies events separated by ";" and returns the actions as text,
    // separated by "; ".
    std::string run(const std::string& script)
    {
        std::string text;
        std::istringstream in(script);
        for (std::string line; std::getline(in, line, ';');)
            for (const auto& a : this->actions(line))
                text += (text.empty() ? "" : "; ") + render(a);
        return text;
    }

    std::vector<action> actions(const std::string& line)
    {
        const auto e = parse(line);
        return advance(table, e, now);
    }

    base::time_point now{100s};
    const std::uint32_t position;
    attempt_table table;

private:
    event parse(const std::string& line)
    {
        std::istringstream in(line);
        std::string name;
        std::uint32_t number = 0;
        std::uint32_t second = 0;
        std::uint32_t third = 0;
        in >> name >> number;
        const base::attempt_number attempt{number};
        if (name == "open")
            return open_received{
                open_message(number, position),
                peer_link{in >> second ? second : 1}};
        if (name == "slot")
            return slot_granted{request, attempt};
        if (name == "noslot")
            return slot_refused{
                request,
                attempt,
                base::not_run(base::failure_code::overloaded, "full")};
        if (name == "start")
            return start_received{{request, attempt}};
        if (name == "lost")
            return engine_lost{"no answer"};
        if (name == "unlink")
            return link_closed{peer_link{number}};
        if (name == "leave" || name == "stay")
            return intake(name == "leave");
        if (name == "wait") {
            now += std::chrono::milliseconds(number);
            return ticked{};
        }
        if (name == "close")
            return close_received{
                {request, attempt, {}}, peer_link{in >> second ? second : 1}};
        in >> second;
        const base::token_index token{second};
        if (name == "step")
            return step_received{
                {request,
                 attempt,
                 token,
                 base::layer_index{
                     in >> third ? third : position * layers_per_stage},
                 "x"},
                peer_link{2}};
        if (name == "ack") {
            in >> third;
            return ack_received{
                {request, attempt, token, base::layer_index{third}}};
        }
        std::string outcome;
        in >> outcome;
        return finished(attempt, token, name, outcome);
    }

    event intake(bool leaving) const
    {
        availability_changed e;
        if (leaving)
            e.refusal =
                base::not_run(base::failure_code::server_leaving, "leaving");
        e.layers = identity(position).layers;
        e.layer_count = 3 * layers_per_stage;
        return e;
    }

    static event finished(
        base::attempt_number attempt,
        base::token_index token,
        const std::string& name,
        const std::string& outcome)
    {
        step_finished e;
        e.request = request;
        e.attempt = attempt;
        e.token = token;
        e.text = "word";
        e.last = outcome == "last";
        e.finish_reason = e.last ? "stop" : "";
        if (name == "failed")
            e.failure = {
                outcome == "unsent" ? base::execution::not_run
                                    : base::execution::may_have_run,
                base::failure_code::server_failed,
                "failed",
                {}};
        else if (name != "done")
            throw std::invalid_argument(name);
        return e;
    }
};

struct row {
    const char* failure;
    std::uint32_t position;
    const char* before;
    const char* events;
    const char* actions;
};

void check(const std::vector<row>& rows)
{
    for (const auto& r : rows) {
        stage_script stage(r.position);
        stage.run(r.before);
        EXPECT_EQ(stage.run(r.events), r.actions) << r.failure;
    }
}

constexpr auto ready = "open 1;slot 1";
constexpr auto running = "open 1;slot 1;step 1 0";
constexpr auto forwarded = "open 1;slot 1;step 1 0;done 1 0";

TEST(execution, chain_runs_in_order)
{
    check({
        {"head queues", 0, "", "open 1;slot 1", "queue 1; granted 1"},
        {"others do not wait", 1, "", "open 1", "slot 1"},
        {"head starts", 0, ready, "start 1", "run 1/0 prefill"},
        {"head forwards",
         0,
         "open 1;slot 1;start 1",
         "done 1 0",
         "forward 1/0 layer 8 port 9001 try 1"},
        {"middle runs and forwards",
         1,
         ready,
         "step 1 0;done 1 0",
         "ack 1/0 taken; run 1/0 prefill; "
         "forward 1/0 layer 16 port 9002 try 1"},
        {"last sends the token and starts the next at the head",
         2,
         running,
         "done 1 0",
         "token 1/0 link 1; forward 1/1 layer 0 port 9000 try 1"},
        {"second token has no prefill",
         1,
         forwarded,
         "step 1 1",
         "ack 1/1 taken; run 1/1"},
        {"end of the answer",
         2,
         running,
         "done 1 0 last",
         "token 1/0 link 1 stop"},
    });
}

TEST(execution, lost_repeated_and_misplaced_steps)
{
    check({
        {"doubled while running", 1, running, "step 1 0", "ack 1/0 repeated"},
        {"doubled after it ran", 1, forwarded, "step 1 0", "ack 1/0 repeated"},
        {"token skipped", 1, forwarded, "step 1 2", "refuse-step 1/2"},
        {"next token while one runs",
         1,
         running,
         "step 1 1",
         "refuse-step 1/1"},
        {"wrong layer", 1, ready, "step 1 0 16", "refuse-step 1/0"},
        {"not started at the head", 0, ready, "step 1 0", "refuse-step 1/0"},
        {"started twice", 0, "open 1;slot 1;start 1", "start 1", ""},
        {"start without a slot", 0, "open 1", "start 1", ""},
        {"start at another stage", 1, ready, "start 1", ""},
        {"step before the slot", 1, "open 1", "step 1 0", "refuse-step 1/0"},
        {"step of an unknown attempt", 1, "", "step 1 0", "refuse-step 1/0"},
        {"step of an attempt that was not opened here",
         1,
         ready,
         "step 2 0",
         "refuse-step 2/0"},
        {"lost step is sent again",
         1,
         forwarded,
         "wait 300",
         "forward 1/0 layer 16 port 9002 try 2"},
        {"acknowledged step is not sent again",
         1,
         forwarded,
         "ack 1 0 16;wait 300",
         ""},
        {"acknowledgment of another step",
         1,
         forwarded,
         "ack 1 0 8;ack 1 1 16;wait 300",
         "forward 1/0 layer 16 port 9002 try 2"},
        {"next token acknowledges the one before",
         1,
         forwarded,
         "step 1 1;wait 300",
         "ack 1/1 taken; run 1/1"},
        {"next stage is gone",
         1,
         forwarded,
         "wait 300;wait 300;wait 300",
         "forward 1/0 layer 16 port 9002 try 2; "
         "forward 1/0 layer 16 port 9002 try 3; "
         "failed 1 ran link_lost; release 1 tokens 9; forget 1"},
        {"engine answers twice", 1, forwarded, "done 1 0", ""},
        {"engine answers for another token", 1, running, "done 1 1", ""},
    });
}

TEST(execution, fences_and_closes)
{
    check({
        {"fenced attempt still sends",
         1,
         "open 1;slot 1;open 2;slot 2",
         "step 1 0",
         "ack 1/0 fenced"},
        {"higher attempt ends a lower one",
         1,
         ready,
         "open 2",
         "fenced 1 by 2; release 1 tokens 0; slot 2"},
        {"higher attempt while the engine runs",
         1,
         running,
         "open 2;slot 2;done 1 0",
         "fenced 1 by 2; slot 2; granted 2; release 1 tokens 9; forget 1"},
        {"late open of a lower attempt",
         1,
         "open 2;slot 2",
         "open 1",
         "refused 1 not_run fenced"},
        {"open of an attempt that ran",
         1,
         "open 1;slot 1;step 1 0;done 1 0;open 2",
         "open 1",
         "failed 1 ran fenced"},
        {"close before any step",
         1,
         ready,
         "close 1;step 1 0",
         "release 1 tokens 0; closed 1 link 1 not_run; ack 1/0 fenced"},
        {"close races with a running step",
         1,
         running,
         "close 1;step 1 0;done 1 0",
         "ack 1/0 fenced; release 1 tokens 9; forget 1; closed 1 link 1 ran"},
        {"close of a step without an answer",
         1,
         running,
         "close 1;failed 1 0",
         "release 1 tokens 9; forget 1; closed 1 link 1 may_have_run"},
        {"close of a step that was not sent",
         1,
         running,
         "close 1;failed 1 0 unsent",
         "release 1 tokens 0; closed 1 link 1 not_run"},
        {"close is repeated on another link",
         1,
         "open 1;slot 1;step 1 0;done 1 0;close 1",
         "close 1 5",
         "closed 1 link 5 ran"},
        {"close overtakes open",
         1,
         "close 1",
         "open 1;step 1 0",
         "refused 1 not_run fenced; ack 1/0 fenced"},
        {"close of a higher attempt fences the lower",
         1,
         ready,
         "close 2;step 1 0",
         "fenced 1 by 2; release 1 tokens 0; closed 2 link 1 not_run; "
         "ack 1/0 fenced"},
        {"open is repeated", 1, ready, "open 1", "granted 1"},
        {"open is repeated on another link",
         1,
         ready,
         "open 1 5",
         "refused 1 not_run fenced"},
        {"grant after close",
         0,
         "open 1;close 1",
         "slot 1",
         "release 1 tokens 0"},
        {"refused by the queue",
         0,
         "open 1",
         "noslot 1;start 1",
         "refused 1 not_run overloaded; release 1 tokens 0"},
    });
}

TEST(execution, closed_links_engine_failures_and_deadlines)
{
    check({
        {"entry link closes", 1, ready, "unlink 1", "release 1 tokens 0"},
        {"entry link closes while the engine runs",
         1,
         running,
         "unlink 1;done 1 0",
         "release 1 tokens 9; forget 1"},
        {"another link closes", 1, ready, "unlink 2", ""},
        {"link closes while it waits for the close",
         1,
         "open 1;slot 1;step 1 0;close 1",
         "unlink 1;done 1 0",
         "release 1 tokens 9; forget 1"},
        {"time budget is over while queued",
         0,
         "open 1",
         "wait 5000",
         "failed 1 not_run deadline_exceeded; release 1 tokens 0"},
        {"engine fails",
         1,
         running,
         "failed 1 0",
         "failed 1 may_have_run server_failed; release 1 tokens 9; forget 1"},
        {"engine was not reached",
         1,
         running,
         "failed 1 0 unsent",
         "failed 1 not_run server_failed; release 1 tokens 0"},
        {"engine fails at a later token",
         1,
         "open 1;slot 1;step 1 0;done 1 0;step 1 1",
         "failed 1 1 unsent",
         "failed 1 ran server_failed; release 1 tokens 10; forget 1"},
        {"engine is lost",
         1,
         ready,
         "lost;step 1 0",
         "failed 1 not_run server_failed; release 1 tokens 0; ack 1/0 fenced"},
        {"leaving refuses new attempts",
         1,
         "leave",
         "open 1",
         "refused 1 not_run server_leaving"},
        {"leaving goes on with open ones",
         1,
         "open 1;slot 1;leave",
         "step 1 0",
         "ack 1/0 taken; run 1/0 prefill"},
    });
}

TEST(execution, chains_that_do_not_match_the_stage_are_refused)
{
    struct fault {
        const char* name;
        std::function<void(wire::open_attempt&)> change;
    };
    const fault faults[] = {
        {"older incarnation",
         [](auto& m) { m.chain[1].agent_incarnation = base::incarnation{1}; }},
        {"another server",
         [](auto& m) { m.chain[1].server = base::backend_server_id{"x"}; }},
        {"position outside", [](auto& m) { m.position = 3; }},
        {"other layers",
         [](auto& m) { m.chain[1].layers.end = base::layer_index{15}; }},
        {"overlap",
         [](auto& m) { m.chain[2].layers.first = base::layer_index{15}; }},
        {"gap at the end", [](auto& m) { m.chain.pop_back(); }},
        {"empty stage",
         [](auto& m) { m.chain[2].layers.end = m.chain[2].layers.first; }},
    };
    for (const auto& f : faults) {
        stage_script stage(1);
        auto m = open_message(1, 1);
        f.change(m);
        const auto actions =
            advance(stage.table, open_received{m, peer_link{1}}, stage.now);
        ASSERT_EQ(actions.size(), 1U) << f.name;
        EXPECT_EQ(render(actions[0]), "refused 1 not_run no_server") << f.name;
        EXPECT_EQ(open_attempts(stage.table), 0U) << f.name;
    }
}

// If a fence is removed early, a late `open_attempt` of a fenced attempt is
// accepted; if fences are never removed, the table grows without bound.
TEST(execution, fences_are_kept_for_their_time_and_bounded)
{
    execution_limits limits;
    limits.max_requests = 1;
    stage_script stage(1, limits);
    stage.run("open 2;slot 2;close 2");
    auto other = open_message(1, 1);
    other.request.sequence = 2;
    const auto open_other = [&] {
        const auto actions =
            advance(stage.table, open_received{other, peer_link{1}}, stage.now);
        return render(actions.at(0));
    };
    EXPECT_EQ(open_other(), "refused 1 not_run overloaded");
    stage.run("wait 59999");
    EXPECT_EQ(stage.run("open 1"), "refused 1 not_run fenced");
    EXPECT_EQ(open_other(), "refused 1 not_run overloaded");
    stage.run("wait 1");
    EXPECT_EQ(open_other(), "slot 1");
    EXPECT_EQ(stage.table.requests.size(), 1U);
}

// A single stage that holds all layers is head and last stage at once.
TEST(execution, chain_of_one_stage)
{
    auto self = identity(0);
    self.layer_count = layers_per_stage;
    auto table = make_attempt_table(self, {});
    auto m = open_message(1, 0);
    m.chain.resize(1);
    m.max_tokens = 2;
    m.delivered = {"one"};
    const base::time_point now{100s};
    std::string text;
    const auto feed = [&](const event& e) {
        for (const auto& a : advance(table, e, now))
            text += render(a) + ";";
    };
    feed(open_received{m, peer_link{1}});
    feed(slot_granted{request, m.attempt});
    feed(start_received{{request, m.attempt}});
    step_finished done;
    done.request = request;
    done.attempt = m.attempt;
    done.token = base::token_index{1};
    feed(done);
    // A resumed attempt starts after the delivered tokens, and `max_tokens`
    // includes them.
    EXPECT_EQ(
        text, "queue 1;granted 1;run 1/1 prefill;token 1/1 link 1 length;");
}

TEST(execution, same_events_give_same_actions)
{
    const std::string folder = std::string(OLEANDERHINGE_SOURCE_DIR) +
                               "/oleanderhinge/chain/testdata/";
    for (const auto position : {0U, 1U, 2U}) {
        std::ifstream in(
            folder + "execution_" + std::to_string(position) + ".golden");
        ASSERT_TRUE(in) << position;
        stage_script first(position);
        stage_script second(position);
        std::string line;
        while (std::getline(in, line)) {
            const auto arrow = line.find(" => ");
            ASSERT_NE(arrow, std::string::npos) << line;
            const auto events = line.substr(0, arrow);
            auto actions = line.substr(arrow + 4);
            if (actions == "-")
                actions.clear();
            EXPECT_EQ(first.run(events), actions) << events;
            EXPECT_EQ(second.run(events), actions) << events;
        }
    }
}

// Checks the actions of a random sequence of events: steps run once, in order
// and not after a fence or close, and slots are released.
struct invariant_checker {
    std::map<std::uint32_t, std::uint32_t> next_token;
    std::uint32_t highest_opened = 0;
    std::uint32_t highest_closed = 0;
    std::map<std::uint32_t, int> slots;
    std::map<std::uint32_t, std::uint32_t> on_engine;

    void check(const action& a)
    {
        if (const auto* run = std::get_if<run_step>(&a)) {
            const auto attempt = run->attempt.value();
            RC_ASSERT(run->token.value() == this->next_token[attempt]++);
            RC_ASSERT(attempt >= this->highest_opened);
            RC_ASSERT(attempt > this->highest_closed);
            RC_ASSERT(!this->on_engine.contains(attempt));
            this->on_engine[attempt] = run->token.value();
        } else if (const auto* closed = std::get_if<confirm_close>(&a)) {
            this->highest_closed =
                std::max(this->highest_closed, closed->message.attempt.value());
            for (const auto& [attempt, token] : this->on_engine)
                RC_ASSERT(attempt != closed->message.attempt.value());
        } else if (const auto* slot = std::get_if<request_slot>(&a)) {
            ++this->slots[slot->attempt.value()];
        } else if (const auto* free = std::get_if<release_slot>(&a)) {
            this->slots[free->attempt.value()] = 0;
        }
    }
};

std::string random_event(const invariant_checker& checker)
{
    const auto attempt = std::to_string(*rc::gen::inRange(1, 5));
    const auto token = std::to_string(*rc::gen::inRange(0, 4));
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return "open " + attempt;
    case 1:
        return "close " + attempt + " " + token;
    case 2:
        return "wait " + std::to_string(*rc::gen::inRange(0, 400));
    case 3:
        return *rc::gen::inRange(0, 8) == 0
                   ? "unlink 1"
                   : "ack " + attempt + " " + token + " 16";
    case 4:
    case 5:
        return "slot " + attempt;
    case 6:
        return "start " + attempt;
    case 7:
    case 8:
    case 9:
        return "step " + attempt + " " + token;
    default:
        break;
    }
    if (checker.on_engine.empty())
        return "step " + attempt + " 0";
    const auto& [running_attempt, running_token] = *checker.on_engine.begin();
    return (*rc::gen::inRange(0, 6) == 0 ? "failed " : "done ") +
           std::to_string(running_attempt) + " " +
           std::to_string(running_token);
}

// With random duplicated, late and reordered events.
RC_GTEST_PROP(execution, no_step_runs_twice_out_of_order_or_after_a_fence, ())
{
    stage_script stage(*rc::gen::inRange<std::uint32_t>(0, 3));
    invariant_checker checker;
    const auto feed = [&](const std::string& text) {
        std::istringstream in(text);
        std::string name;
        std::uint32_t number = 0;
        in >> name >> number;
        if (name == "open" && number > checker.highest_opened &&
            number > checker.highest_closed)
            checker.highest_opened = number;
        if (name == "done" || name == "failed")
            checker.on_engine.erase(number);
        for (const auto& a : stage.actions(text))
            checker.check(a);
    };
    const auto count = *rc::gen::inRange(10, 80);
    for (int i = 0; i < count; ++i)
        feed(random_event(checker));
    // All slots are released once the engine has answered and all attempts are
    // closed.
    while (!checker.on_engine.empty())
        feed(
            "done " + std::to_string(checker.on_engine.begin()->first) + " " +
            std::to_string(checker.on_engine.begin()->second));
    feed("close 9");
    RC_ASSERT(open_attempts(stage.table) == 0U);
    for (const auto& [attempt, held] : checker.slots)
        RC_ASSERT(held == 0);
}

} // namespace
} // namespace oleanderhinge::chain
