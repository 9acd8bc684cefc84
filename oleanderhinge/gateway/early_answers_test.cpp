// Guards against answers that count only once the server has read the whole
// body, and against bodies that are sent to a server that wants none.
#include "oleanderhinge/gateway/early_backend_test.hpp"
#include "oleanderhinge/gateway/raw_answers_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

class early_answers : public forwarder_fixture
{
protected:
    early_answers()
        : early(io)
    {
        // The buffers of a connection to `early_backend` hold less.
        this->request_body.assign(max_body_bytes, 'x');
        this->second.behave = [](const net::http_request& request,
                                 net::http_exchange& exchange) {
            return request.target() == "/talk/x" ? stream(request, exchange)
                                                 : answer(request, exchange);
        };
    }

    // `early` takes the place of the first server.
    void restart(const std::string& bytes, early_backend::then then)
    {
        this->early.restart(bytes, then);
        this->second.seen.clear();
        this->selector.servers = {};
        this->selector.signals = {};
        this->prefer_early();
    }

    void prefer_early()
    {
        this->io.poll();
        this->selector.health.clear();
        ++this->selector.generation;
        this->add_server("first", "near", this->early.address());
        this->add_server("second", "far", this->second);
        this->prefer_first_path();
    }

    early_backend early;
};

// Guards against a refusal that is read only after the whole body has been
// written, or not at all since the server closes the connection: the caller
// waits or fails, and other requests still reach the server.
TEST_F(early_answers, a_refusal_counts_before_the_body_has_been_written)
{
    const auto refuse_with = [](const std::string& fields) {
        return with_length("503 Full", "Id: r1\r\nNot-Run: 1\r\n" + fields, "");
    };
    const auto refusal = refuse_with("Retry-After: 50\r\n");
    struct row {
        const char* what;
        std::string bytes;
        early_backend::then then;
    };
    const std::vector<row> rows{
        {"reads no further", refusal, early_backend::then::stop},
        {"after an informational answer",
         "HTTP/1.1 100 Continue\r\n\r\n" + refuse_with("Leaving: 1\r\n"),
         early_backend::then::stop},
        {"closes", refusal, early_backend::then::close}};
    for (const auto* target : {"/once/x", "/read/x", "/talk/x"})
        for (const auto& row : rows) {
            const auto what = std::string(target) + ", " + row.what;
            this->restart(row.bytes, row.then);
            EXPECT_EQ(this->ask(target).answer.status, 200U) << what;
            EXPECT_EQ(this->selector.signals.servers.size(), 1U) << what;
            this->prefer_early();
            EXPECT_EQ(this->ask(target).answer.status, 200U) << what;
            EXPECT_EQ(this->early.heads, 1) << what;
            EXPECT_EQ(this->second.seen.size(), 2U) << what;
            EXPECT_TRUE(this->early.await_close()) << what;
            EXPECT_EQ(this->early.other_bytes, 0U) << what;
        }
}

// Guards against an early answer that gets lost, and against other bytes where
// the rest of the body is due.
TEST_F(early_answers, an_answer_may_come_before_the_body_has_been_read)
{
    const auto whole = with_length("200 OK", genuine, "done");
    const auto events = in_chunks("200 OK", genuine, three_events);
    for (const auto then :
         {early_backend::then::stop, early_backend::then::close})
        for (const std::string target : {"/once/x", "/read/x", "/talk/x"}) {
            const bool streams = target == "/talk/x";
            const auto what = target + ", " + std::to_string(int(then));
            this->restart(streams ? events : whole, then);
            for (int i = 1; i <= 2; ++i) {
                const auto outcome = this->ask(target);
                EXPECT_EQ(outcome.answer.status, 200U) << what;
                EXPECT_EQ(outcome.answer.body, streams ? three_events : "done")
                    << what;
                this->prefer_early();
                EXPECT_EQ(this->early.heads, i) << what;
                EXPECT_TRUE(this->early.await_close()) << what;
            }
            EXPECT_TRUE(this->second.seen.empty()) << what;
            EXPECT_EQ(this->early.other_bytes, 0U) << what;
        }
}

} // namespace
} // namespace oleanderhinge::gateway
