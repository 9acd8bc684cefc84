// Notation of single settings values.
//
// Example:
//   parse_duration("250ms");          // 250 ms
//   format_duration(seconds(5));      // "5s"
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::settings::internal
{

// Each returns nothing if the text is not in the notation or overflows.

std::optional<std::int64_t> parse_integer(std::string_view text);
// Finite decimal fraction.
std::optional<double> parse_number(std::string_view text);
// "true" or "false".
std::optional<bool> parse_boolean(std::string_view text);
// Non-negative integer with the unit us, ms, s, min or h.
std::optional<base::duration> parse_duration(std::string_view text);
// Non-negative integer with the unit B, KiB, MiB or GiB.
std::optional<std::uint64_t> parse_size(std::string_view text);
// IP number and port: "127.0.0.1:7301" or "[::1]:7301".
std::optional<wire::endpoint> parse_endpoint(std::string_view text);
// Endpoints separated by commas; at least one.
std::optional<std::vector<wire::endpoint>>
parse_endpoint_list(std::string_view text);

// Shortest notation in the largest unit that divides the duration.
std::string format_duration(base::duration value);

} // namespace oleanderhinge::settings::internal
