// Lines of a head whose field name is none. For tests only.
//
// Example:
//   for (const auto& line : odd_head_lines()) expect_failure(head + line);
#pragma once

#include <string>
#include <vector>

namespace oleanderhinge::net::test
{

// Each ends with its line break.
inline std::vector<std::string> odd_head_lines()
{
    using namespace std::string_literals;
    std::vector<std::string> lines;
    for (const auto& line :
         {// Continues the field before it, in the grammar of old.
          " Odd: x"s,     "\tOdd: x"s,     "  x"s,       " "s,
          "\t"s,          " : x"s,         "Odd : x"s,   "Odd\t: x"s,
          "Odd name: x"s, "Odd\tname: x"s, "\0Odd: x"s,  "O\0dd: x"s,
          "Odd\0: x"s,    "\1Odd: x"s,     "O\13dd: x"s, "O\14dd: x"s,
          "O\33dd: x"s,   "Odd\177: x"s,   "O\rdd: x"s,  "O\ndd: x"s,
          "\nOdd: x"s,    "O\200dd: x"s,   ": x"s,       "Odd"s})
        lines.push_back(line + "\r\n");
    return lines;
}

// Lines that are fields, although they look odd.
inline std::vector<std::string> sound_head_lines()
{
    return {
        "Odd:x\r\n",
        "Odd:\r\n",
        "Odd: \t x \t\r\n",
        "Odd: x y\tz\r\n",
        "Odd: : x\r\n",
        "!#$%&'*+-.^_`|~0: x\r\n"};
}

// The head with the line behind each of its lines, and so in front of a body.
inline std::vector<std::string>
insert_line(const std::string& head, const std::string& line)
{
    std::vector<std::string> heads;
    for (auto at = head.find("\r\n"); at != head.npos && at + 2 < head.size();
         at = head.find("\r\n", at + 2))
        heads.push_back(head.substr(0, at + 2) + line + head.substr(at + 2));
    return heads;
}

} // namespace oleanderhinge::net::test
