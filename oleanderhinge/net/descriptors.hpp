// How the open descriptors of a process are divided, so that callers, backend
// servers and the rest (control, management, files) do not use up each other's.
//
// Example:
//   const auto parts = split_descriptors(descriptor_limit());
//   limits.max_connections = parts.callers;
#pragma once

#include <cstddef>

namespace oleanderhinge::net
{

// In descriptors. What is in no part is for links, files and listeners.
struct descriptor_parts {
    std::size_t callers = 0;
    std::size_t servers = 0;
    std::size_t management = 0;
};

descriptor_parts split_descriptors(std::size_t limit);

// The limit of this process.
std::size_t descriptor_limit();

} // namespace oleanderhinge::net
