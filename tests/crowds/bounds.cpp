#include "tests/crowds/bounds.hpp"

#include "tests/harness/http.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace oleanderhinge::tests
{

void expect_bounds(
    processes& run,
    const std::string& name,
    const process_bounds& bounds,
    const std::string& what,
    const std::function<bool()>& ask)
{
    ASSERT_TRUE(run.is_running(name)) << what;
    std::size_t descriptors = 0;
    const bool answered = wait_until([&] {
        descriptors = std::max(descriptors, run.open_descriptors(name));
        return ask();
    });
    EXPECT_TRUE(answered) << what;
    ASSERT_TRUE(run.is_running(name)) << what;
    descriptors = std::max(descriptors, run.open_descriptors(name));
    const auto peak = run.peak_memory(name);
    EXPECT_LE(peak, bounds.memory) << what;
    EXPECT_LE(descriptors, bounds.descriptors) << what;
    std::printf(
        "%s: %zu bytes, %zu descriptors\n", what.c_str(), peak, descriptors);
}

} // namespace oleanderhinge::tests
