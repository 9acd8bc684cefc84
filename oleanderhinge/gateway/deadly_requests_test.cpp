// Guards against one request that comes again and again, with the same target,
// customer and body, and crashes each server that begins to run it.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

class deadly_requests : public forwarder_fixture
{
protected:
    // Sends the request to both servers, which crash, and takes what identifies
    // it from the evidence for other gateways.
    std::vector<base::prompt_part> crash_both_servers(const std::string& target)
    {
        this->first.behave = crash(this->first);
        this->second.behave = crash(this->second);
        EXPECT_EQ(this->ask(target).answer.status, 502U);
        std::vector<base::prompt_part> shared;
        for (const auto& news : this->shared_evidence)
            for (const auto& item : news.crashes)
                shared.insert(
                    shared.end(), item.shared.begin(), item.shared.end());
        return shared;
    }

    // Another gateway has seen one more crash.
    void note_crash_elsewhere(base::prompt_part shared)
    {
        fleet::note_crash(
            this->quarantine,
            {part_of("elsewhere"), {shared}},
            {"elsewhere", 80},
            base::monotonic_now());
    }
};

// Guards against a request that reaches servers after the third crash, because
// each repetition is taken for another request or all for a single crash.
TEST_F(deadly_requests, a_repeated_request_is_refused_after_the_third_crash)
{
    const auto shared = this->crash_both_servers("/talk/x");
    ASSERT_EQ(shared.size(), 2U);
    EXPECT_EQ(shared[0], shared[1]);
    this->note_crash_elsewhere(shared[0]);
    backend third(this->io);
    third.behave = stream;
    this->selector.servers = {};
    this->selector.health.clear();
    ++this->selector.generation;
    this->add_server("third", "near", third);
    this->request_id = "r2";
    EXPECT_EQ(this->ask("/talk/x").answer.status, 503U);
    EXPECT_EQ(third.seen.size(), 0U);
    // Neither another target nor another customer's request is refused.
    EXPECT_EQ(this->ask("/talk/y").answer.status, 200U);
    this->key = "mint key";
    EXPECT_EQ(this->ask("/talk/x").answer.status, 200U);
}

// Guards against a request that goes on to a third server after two crashes,
// and against callers who are told that it has not run.
TEST_F(deadly_requests, calls_without_a_prompt_are_watched_too)
{
    const auto shared = this->crash_both_servers("/read/x");
    ASSERT_EQ(shared.size(), 2U);
    EXPECT_EQ(shared[0], shared[1]);
    this->note_crash_elsewhere(shared[0]);
    this->request_id = "r2";
    EXPECT_EQ(this->ask("/read/x").answer.status, 503U);
    EXPECT_EQ(this->runs(), 2U);
}

// A server stops to accept connections and leaves a call without an answer.
// Guards against evidence from a call that timed out, and against the time that
// looking for it would take from the next attempt.
TEST_F(deadly_requests, a_call_that_timed_out_is_no_evidence)
{
    this->first.behave = [this](
                             const net::http_request&,
                             net::http_exchange&) -> asio::awaitable<void> {
        this->first.server.drain();
        asio::steady_timer timer(this->io);
        while (this->second.seen.empty()) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->second.behave = answer;
    EXPECT_EQ(this->ask("/read/x").answer.status, 200U);
    EXPECT_TRUE(this->shared_evidence.empty());
}

// Guards against refusing a sound request that was present at three crashes.
TEST_F(deadly_requests, an_answer_clears_the_request)
{
    const auto shared = this->crash_both_servers("/talk/x");
    ASSERT_EQ(shared.size(), 2U);
    backend third(this->io);
    third.behave = stream;
    this->add_server("third", "near", third);
    this->request_id = "r2";
    EXPECT_EQ(this->ask("/talk/x").answer.status, 200U);
    this->note_crash_elsewhere(shared[0]);
    this->request_id = "r3";
    EXPECT_EQ(this->ask("/talk/x").answer.status, 200U);
}

} // namespace
} // namespace oleanderhinge::gateway
