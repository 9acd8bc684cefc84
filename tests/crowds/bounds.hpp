// The bounds that a process has to keep while a crowd stays.
//
// Example:
//   expect_bounds(run, "gateway", {.memory = 56'000'000}, "whole bodies",
//                 [&] { return ask() == 200; });
#pragma once

#include "tests/harness/processes.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace oleanderhinge::tests
{

struct process_bounds {
    // In bytes.
    std::size_t memory = 0;
    std::size_t descriptors = 1024;
};

// The process lives, has kept the bounds until an ordinary request is answered,
// and answers one, after some tries. Prints the figures.
void expect_bounds(
    processes& run,
    const std::string& name,
    const process_bounds& bounds,
    const std::string& what,
    const std::function<bool()>& ask);

} // namespace oleanderhinge::tests
