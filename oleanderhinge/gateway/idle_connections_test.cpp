// Guards against a gateway that runs out of descriptors.
#include "oleanderhinge/gateway/forwarder_fixture_test.hpp"

namespace oleanderhinge::gateway
{
namespace
{

using namespace test;

// Guards against connections to replaced servers that stay open for good: only
// a request to the same address would drop them.
TEST_F(forwarder_fixture, idle_connections_to_a_replaced_server_are_closed)
{
    this->first.behave = answer;
    EXPECT_EQ(this->ask("/read/x").answer.status, 200U);
    EXPECT_EQ(this->forward.idle_connections(), 1U);
    EXPECT_EQ(this->first.server.connections(), 1U);
    this->selector.servers = {};
    ++this->selector.generation;
    // Three times as long as connections are reused.
    const auto limit = steady_now() + 3 * max_idle_time;
    while (this->first.server.connections() > 0 && steady_now() < limit) {
        this->forward.tick();
        this->io.run_for(std::chrono::milliseconds(50));
        this->io.restart();
    }
    EXPECT_EQ(this->first.server.connections(), 0U);
    EXPECT_EQ(this->forward.idle_connections(), 0U);
}

} // namespace
} // namespace oleanderhinge::gateway
