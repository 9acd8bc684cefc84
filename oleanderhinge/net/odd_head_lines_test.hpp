// Lines in the place of a field of a head. For tests only.
//
// Example:
//   for (const auto& line : odd_head_lines()) expect_failure(head + line);
#pragma once

#include <string>
#include <vector>

namespace oleanderhinge::net::test
{

// Obsolete line folding, and lines with an invalid field name or none. Each
// ends with its line break.
inline std::vector<std::string> odd_head_lines()
{
    using namespace std::string_literals;
    const std::vector<std::string> folded{
        " Odd: x", "\tOdd: x", "  x", " ", "\t", " : x"};
    const std::vector<std::string> blank_in_name{
        "Odd : x", "Odd\t: x", "Odd name: x", "Odd\tname: x"};
    const std::vector<std::string> other_byte_in_name{
        "\0Odd: x"s,
        "O\0dd: x"s,
        "Odd\0: x"s,
        "\1Odd: x",
        "O\13dd: x",
        "O\14dd: x",
        "O\33dd: x",
        "Odd\177: x",
        "O\200dd: x"};
    const std::vector<std::string> line_end_in_name{
        "O\rdd: x", "O\ndd: x", "\nOdd: x"};
    const std::vector<std::string> no_name{": x", "Odd"};
    std::vector<std::string> lines;
    for (const auto& group :
         {folded, blank_in_name, other_byte_in_name, line_end_in_name, no_name})
        for (const auto& line : group)
            lines.push_back(line + "\r\n");
    return lines;
}

// Valid fields that look odd.
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

// Copies of the head, each with the line behind another one of its lines.
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
