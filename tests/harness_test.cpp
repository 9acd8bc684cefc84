// Tests of what the multi-process tests are built with.
#include "tests/harness/ports.hpp"

#include <gtest/gtest.h>

#include <set>

namespace oleanderhinge::tests
{
namespace
{

// Guards against test programs that run at the same time and start processes
// on the same ports: the second process could not listen, and its deployment
// never served.
TEST(harness, test_programs_that_run_at_once_get_different_ports)
{
    constexpr std::uint32_t pid = 4321;
    port_allocator one(pid);
    port_allocator next(pid + 1);
    port_allocator later(pid + 197);
    std::set<std::uint16_t> taken;
    // Three deployments of one test take 111.
    for (int i = 0; i < 120; ++i)
        for (auto* ports : {&one, &next, &later}) {
            const auto port = ports->take();
            EXPECT_TRUE(taken.insert(port).second) << port;
        }
}

} // namespace
} // namespace oleanderhinge::tests
