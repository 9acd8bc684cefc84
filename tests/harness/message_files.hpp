// Messages of tests in files with {names} to be replaced.
//
// Example:
//   const auto text = message(folder + "report.json", {{"sequence", "7"}});
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace oleanderhinge::tests
{

using replacements = std::map<std::string, std::string>;

inline std::string message(const std::string& file, const replacements& values)
{
    const std::ifstream in(file);
    if (!in)
        throw std::runtime_error("cannot read " + file);
    std::ostringstream text;
    text << in.rdbuf();
    std::string result = text.str();
    for (const auto& [name, value] : values)
        boost::replace_all(result, "{" + name + "}", value);
    return result;
}

// Of a file with a header field a line.
inline std::vector<wire::header>
header_fields(const std::string& file, const replacements& values)
{
    std::istringstream text(message(file, values));
    std::vector<wire::header> result;
    for (std::string line; std::getline(text, line);) {
        const auto colon = line.find(": ");
        result.push_back({line.substr(0, colon), line.substr(colon + 2)});
    }
    return result;
}

} // namespace oleanderhinge::tests
