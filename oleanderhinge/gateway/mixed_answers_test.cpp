// Guards against answers that hold bytes of another answer, of a server's error
// or of no answer at all.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

class mixed_answers : public forwarder_fixture
{
};

// Breaks off inside the first event.
asio::awaitable<void> break_off_in_first_event(
    const net::http_request& request, net::http_exchange& exchange)
{
    co_await exchange.begin_stream(200, "", server_headers(request));
    co_await exchange.write_chunk("id: 1\nda");
}

// Guards against a piece of the first server's answer in front of the second
// one's, when the first breaks off inside its first event.
TEST_F(mixed_answers, part_of_a_first_event_is_not_joined_to_the_next_answer)
{
    this->prefer_first_path();
    this->first.behave = break_off_in_first_event;
    this->second.behave = stream;
    const auto outcome = this->ask("/talk/x");
    EXPECT_EQ(outcome.answer.status, 200U);
    EXPECT_EQ(outcome.answer.body, three_events);
    EXPECT_EQ(this->runs(), 2U);
}

} // namespace
} // namespace oleanderhinge::gateway
