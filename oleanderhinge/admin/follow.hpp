// Follows one request through the logs of several processes.
//
// Besides the request's own lines, those count that changed what was known of
// its servers and of the configuration in the seconds before its end.
//
// Example:
//   const auto lines = follow({{"edge-1", log1}, {"control", log2}}, "9c41");
//   for (const auto& line : lines) print(line.source, line.text);
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <string>
#include <vector>

namespace oleanderhinge::admin
{

struct log_file {
    // Name of the process, shown before its lines.
    std::string source;
    std::string contents;
};

struct log_line {
    std::string source;
    std::string text;

    bool operator==(const log_line&) const = default;
};

// What happened to a server this long before a request began may explain it:
// the longest time for which a gateway leaves a server out.
inline constexpr base::duration follow_window = std::chrono::seconds(5);

// Lines that explain the request, in the order of their times; empty if no line
// names it. Lines without a time are skipped.
std::vector<log_line>
follow(const std::vector<log_file>& logs, const std::string& request);

} // namespace oleanderhinge::admin
