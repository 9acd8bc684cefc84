// Kills, freezes and restarts single processes of a running deployment. Each
// caller must get a correct answer or an error with a true verdict.
#include "tests/harness/fleet.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace oleanderhinge::tests
{
namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

std::string execution_of(const std::string& problem)
{
    boost::system::error_code failed;
    const auto value = json::parse(problem, failed);
    if (failed || !value.is_object())
        return "none";
    const auto* state = value.as_object().if_contains("execution");
    return state == nullptr ? "none" : std::string(state->as_string().c_str());
}

// A deployment that serves.
class failure : public testing::Test
{
protected:
    void begin(fleet_options chosen)
    {
        this->f = std::make_unique<fleet>(std::move(chosen));
        this->f->start();
        const auto reply = this->f->confirm(fleet::usual_intents());
        ASSERT_EQ(reply.status, 200U) << reply.body;
        for (std::size_t i = 0; i < this->f->options.entries; ++i)
            ASSERT_TRUE(this->f->wait_serving(i));
    }

    // Runs a long chat and calls `fault` after its third token.
    chat_result chat_during(const std::function<void()>& fault)
    {
        std::size_t events = 0;
        bool injected = false;
        return this->f->chat(
            0, long_prompt, 200, fleet::customer_token, [&](const auto& part) {
                for (const char c : part)
                    events += c == '\n' ? 1 : 0;
                if (events >= 6 && !injected) {
                    injected = true;
                    fault();
                }
            });
    }

    // Servers whose engine ran something since `before`.
    std::string busy_server(std::size_t stage)
    {
        std::string found;
        std::size_t most = 0;
        for (std::size_t r = 0; r < this->f->options.replicas; ++r) {
            const auto name = fleet::server_name(stage, r);
            const auto size = this->f->run.read(name + ".runs").size();
            if (size - this->sizes[name] > most) {
                most = size - this->sizes[name];
                found = name;
            }
        }
        return found;
    }

    void remember_sizes()
    {
        for (std::size_t s = 0; s < this->f->options.stages; ++s)
            for (std::size_t r = 0; r < this->f->options.replicas; ++r) {
                const auto name = fleet::server_name(s, r);
                this->sizes[name] = this->f->run.read(name + ".runs").size();
            }
    }

    // 60 words, so that a fault in the middle leaves time to act.
    const std::string long_prompt = [] {
        std::string text;
        for (int i = 0; i < 60; ++i)
            text += "word" + std::to_string(i) + " ";
        return text;
    }();

    std::unique_ptr<fleet> f;
    std::map<std::string, std::size_t> sizes;
};

// The stage that serves the request dies, freezes or loses its engine in the
// middle; the answer must still be whole, from the tokens already delivered.
TEST_F(failure, a_stage_fails_in_the_middle_of_an_answer)
{
    struct row {
        const char* fault;
        std::size_t stage;
        bool engine;
        int signal;
    };
    const row rows[] = {
        {"middle agent killed", 1, false, SIGKILL},
        {"last agent frozen", 2, false, SIGSTOP},
        {"head engine killed", 0, true, SIGKILL},
    };
    for (const auto& r : rows) {
        ASSERT_NO_FATAL_FAILURE(
            this->begin({.replicas = 2, .services = 0, .step_ms = 5}));
        this->remember_sizes();
        std::string victim;
        const auto answer = this->chat_during([&] {
            const auto server = this->busy_server(r.stage);
            victim = r.engine ? server : fleet::agent_of(server);
            this->f->run.signal(victim, r.signal);
        });
        EXPECT_FALSE(victim.empty()) << r.fault;
        EXPECT_TRUE(answer.complete) << r.fault << ": " << answer.problem;
        EXPECT_EQ(answer.text, fleet::expected_text(this->long_prompt, 200))
            << r.fault;
        // New requests are served while the victim is still gone.
        EXPECT_TRUE(this->f->chat(0, "next").complete) << r.fault;
        this->f.reset();
    }
}

// Without a second server of a stage the answer cannot go on; the stream must
// end with an error and never look complete.
TEST_F(failure, an_answer_that_cannot_go_on_ends_with_an_error)
{
    ASSERT_NO_FATAL_FAILURE(
        this->begin({.replicas = 1, .services = 0, .step_ms = 5}));
    const auto answer = this->chat_during([&] {
        this->f->run.signal(fleet::agent_of(fleet::server_name(1, 0)), SIGKILL);
    });
    EXPECT_FALSE(answer.complete);
    EXPECT_EQ(execution_of(answer.problem), "ran");
    EXPECT_TRUE(
        fleet::expected_text(this->long_prompt, 200).starts_with(answer.text));
}

// Callers at the same time, tokens interleaved: each gets its own answer.
TEST_F(failure, many_callers_get_their_own_answers_while_a_stage_is_restarted)
{
    ASSERT_NO_FATAL_FAILURE(
        this->begin({.replicas = 2, .services = 0, .step_ms = 2}));
    std::vector<chat_result> answers(24);
    std::vector<std::jthread> callers;
    std::atomic<std::size_t> done{0};
    for (std::size_t i = 0; i < answers.size(); ++i)
        callers.emplace_back([&, i] {
            answers[i] = this->f->chat(0, "caller " + std::to_string(i), 40);
            ++done;
        });
    const auto victim = fleet::agent_of(fleet::server_name(1, 0));
    this->f->run.kill(victim);
    this->f->start_agent(1, 0);
    for (auto& caller : callers)
        caller.join();
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto& answer = answers[i];
        const auto whole =
            fleet::expected_text("caller " + std::to_string(i), 40);
        if (answer.complete)
            EXPECT_EQ(answer.text, whole);
        else
            EXPECT_NE(execution_of(answer.problem), "none") << answer.status;
        EXPECT_TRUE(whole.starts_with(answer.text));
    }
}

// The service books and the answer is lost: the caller must not be told
// `not_run`, and a resend must not book again.
TEST_F(failure, an_agent_that_dies_during_a_booking_never_leads_to_a_second_one)
{
    ASSERT_NO_FATAL_FAILURE(
        this->begin({.stages = 3, .services = 1, .service_delay_ms = 1500}));
    http_reply first;
    std::jthread caller([&] { first = this->f->reserve(0, "order-7"); });
    ASSERT_TRUE(wait_until([&] { return this->f->bookings().size() == 1; }));
    this->f->run.kill(fleet::agent_of(fleet::service_name(0)));
    caller.join();
    EXPECT_NE(first.status, 201U);
    EXPECT_EQ(execution_of(first.body), "may_have_run") << first.body;
    this->f->start_service_agent(0);
    const auto again = this->f->reserve(0, "order-7");
    EXPECT_EQ(execution_of(again.body), "may_have_run") << again.body;
    EXPECT_EQ(this->f->bookings().size(), 1U);
    ASSERT_TRUE(wait_until(
        [&] { return this->f->reserve(0, "order-8").status == 201; }));
}

// The entry node dies between dispatch and outcome; the caller resends through
// another entry node.
TEST_F(failure, a_resend_through_another_entry_node_does_not_book_again)
{
    ASSERT_NO_FATAL_FAILURE(
        this->begin({.entries = 2, .services = 1, .service_delay_ms = 1500}));
    http_reply first;
    std::jthread caller([&] { first = this->f->reserve(0, "order-9"); });
    ASSERT_TRUE(wait_until([&] { return this->f->bookings().size() == 1; }));
    this->f->run.kill(fleet::entry_name(0));
    caller.join();
    EXPECT_EQ(first.status, 0U);
    const auto again = this->f->reserve(1, "order-9");
    EXPECT_EQ(execution_of(again.body), "may_have_run") << again.body;
    EXPECT_EQ(this->f->bookings().size(), 1U);
}

// Concurrent resends of one key through both entry nodes book once.
TEST_F(failure, concurrent_resends_book_once)
{
    ASSERT_NO_FATAL_FAILURE(
        this->begin({.entries = 2, .services = 1, .service_delay_ms = 200}));
    std::vector<http_reply> replies(8);
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < replies.size(); ++i)
        callers.emplace_back(
            [&, i] { replies[i] = this->f->reserve(i % 2, "order-10"); });
    for (auto& caller : callers)
        caller.join();
    for (const auto& reply : replies) {
        EXPECT_EQ(reply.status, 201U) << reply.body;
        EXPECT_EQ(reply.body, replies[0].body);
    }
    EXPECT_EQ(this->f->bookings().size(), 1U);
}

// SIGTERM on every role with streams open: no answer is cut off.
TEST_F(failure, graceful_shutdown_cuts_off_no_answer)
{
    for (const auto& name :
         {fleet::agent_of(fleet::server_name(0, 0)),
          fleet::agent_of(fleet::server_name(1, 0)),
          fleet::entry_name(0)}) {
        ASSERT_NO_FATAL_FAILURE(
            this->begin({.replicas = 2, .services = 0, .step_ms = 5}));
        const auto answer =
            this->chat_during([&] { this->f->run.signal(name, SIGTERM); });
        EXPECT_TRUE(answer.complete) << name << ": " << answer.problem;
        EXPECT_EQ(answer.text, fleet::expected_text(this->long_prompt, 200));
        EXPECT_EQ(this->f->run.wait(name), 0) << name;
        this->f.reset();
    }
}

} // namespace
} // namespace oleanderhinge::tests
