// A plain service of idempotent calls under /desk/, for multi-process tests.
//
// Example:
//   fleet.add_server("desk-1", answer, desk_report);
//   ASSERT_TRUE(fleet.start(desk_table()));
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderhinge::tests
{

// Start of the processes of its servers, in Unix milliseconds.
inline constexpr std::uint64_t desk_started_ms = 1'767'225'600'000;

// The forwarding table with the service, whose host is desk.example.
std::string desk_table();

// The report of a ready server.
std::string desk_report(const std::string& address, std::size_t sequence);

} // namespace oleanderhinge::tests
