#include "oleanderhinge/settings/schema.hpp"

#include "oleanderhinge/settings/internal/units.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace oleanderhinge::settings
{

namespace
{

const char* describe(value_type type)
{
    switch (type) {
    case value_type::text:
        return "text";
    case value_type::integer:
        return "integer";
    case value_type::number:
        return "number";
    case value_type::boolean:
        return "true or false";
    case value_type::duration:
        return "duration with unit us, ms, s, min or h";
    case value_type::size:
        return "size with unit B, KiB, MiB or GiB";
    case value_type::endpoint:
        return "endpoint such as 127.0.0.1:7301";
    case value_type::endpoint_list:
        return "endpoints such as 127.0.0.1:7301, separated by commas";
    }
    return "unknown type";
}

std::string describe_range(const key& item)
{
    if (item.smallest.empty() && item.largest.empty())
        return {};
    if (item.largest.empty())
        return "at least " + item.smallest;
    if (item.smallest.empty())
        return "at most " + item.largest;
    return item.smallest + " to " + item.largest;
}

// What is allowed, for messages.
std::string allowed(const key& item)
{
    std::string text = describe(item.type);
    if (const auto range = describe_range(item); !range.empty())
        text += ", " + range;
    if (!item.fallback.empty())
        text += " (default " + item.fallback + ")";
    return text;
}

std::string full_name(const key& item)
{
    return item.section + "." + item.name;
}

// Parsed value of a scalar with a range, as a number that keeps the order.
std::optional<long double> scalar(value_type type, const std::string& text)
{
    using opt = std::optional<long double>;
    switch (type) {
    case value_type::integer: {
        const auto v = internal::parse_integer(text);
        return v ? opt(*v) : opt();
    }
    case value_type::number: {
        const auto v = internal::parse_number(text);
        return v ? opt(*v) : opt();
    }
    case value_type::duration: {
        const auto v = internal::parse_duration(text);
        return v ? opt(v->count()) : opt();
    }
    case value_type::size: {
        const auto v = internal::parse_size(text);
        return v ? opt(*v) : opt();
    }
    default:
        return std::nullopt;
    }
}

bool has_range(value_type type)
{
    return type == value_type::integer || type == value_type::number ||
           type == value_type::duration || type == value_type::size;
}

bool in_notation(value_type type, const std::string& text)
{
    if (has_range(type))
        return scalar(type, text).has_value();
    switch (type) {
    case value_type::boolean:
        return internal::parse_boolean(text).has_value();
    case value_type::endpoint:
        return internal::parse_endpoint(text).has_value();
    case value_type::endpoint_list:
        return internal::parse_endpoint_list(text).has_value();
    default:
        return !text.empty();
    }
}

// Limits in a schema are written by programmers; a wrong one is their error.
long double limit_of(const key& item, const std::string& text)
{
    const auto value = scalar(item.type, text);
    if (!value)
        throw std::logic_error(
            "schema: range of " + full_name(item) + ": \"" + text + "\"");
    return *value;
}

// Why `text` is refused; empty if it is allowed.
std::string refusal(const key& item, const std::string& text)
{
    if (text.empty())
        return "the value is empty";
    if (!in_notation(item.type, text))
        return "the value is not in the notation of its type";
    if (!has_range(item.type))
        return {};
    const auto value = *scalar(item.type, text);
    if (!item.smallest.empty() && value < limit_of(item, item.smallest))
        return "the value is too small";
    if (!item.largest.empty() && value > limit_of(item, item.largest))
        return "the value is too large";
    return {};
}

// --- INI ------------------------------------------------------------------

std::vector<std::string> split_lines(const std::string& contents)
{
    std::vector<std::string> lines;
    std::istringstream in(contents);
    for (std::string line; std::getline(in, line);)
        lines.push_back(std::move(line));
    return lines;
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += line + '\n';
    return text;
}

bool opens_section(const std::string& line)
{
    const auto first = line.find_first_not_of(" \t");
    return first != std::string::npos && line[first] == '[';
}

// Removes a refused line, and for a section header the lines of the section
// too, so that they are not read as part of the section before.
void blank(std::vector<std::string>& lines, std::size_t at)
{
    const bool section = opens_section(lines[at]);
    lines[at].clear();
    for (++at; section && at < lines.size() && !opens_section(lines[at]); ++at)
        lines[at].clear();
}

// Parses the INI text. The parser stops at its first fault, so each refused
// line is removed and the rest is parsed again; `faults` gets one entry each.
boost::property_tree::ptree read_tree(
    const std::string& contents,
    const std::string& name,
    std::vector<std::string>& faults)
{
    auto lines = split_lines(contents);
    // Each round removes a line, so the loop ends.
    while (true) {
        boost::property_tree::ptree tree;
        std::istringstream in(join_lines(lines));
        try {
            boost::property_tree::read_ini(in, tree);
            return tree;
        } catch (const boost::property_tree::ini_parser_error& e) {
            const std::size_t at = e.line() - 1;
            if (at >= lines.size() || lines[at].empty()) {
                faults.push_back(name + ": " + e.message());
                return {};
            }
            faults.push_back(
                name + ":" + std::to_string(e.line()) + ": \"" + lines[at] +
                "\": " + e.message() +
                "; allowed: [section], key = value, or a comment after # or ;" +
                ", each section and key once");
            blank(lines, at);
        }
    }
}

using located = std::map<std::string, std::string>;

// "section.key" to value of the whole tree.
located flatten(
    const boost::property_tree::ptree& tree,
    const std::string& name,
    std::vector<std::string>& faults)
{
    located found;
    for (const auto& [section, keys] : tree) {
        // A key before the first section has a value and no children.
        if (keys.empty()) {
            auto fault = name + ": ";
            fault += section;
            fault += " = \"" + keys.data() + "\": the key is outside a ";
            fault += "section; allowed: keys of a section";
            faults.push_back(std::move(fault));
        }
        const auto prefix = section + ".";
        for (const auto& [item, value] : keys) {
            auto full = prefix;
            full += item;
            found[full] = value.data();
        }
    }
    return found;
}

std::string names_of_section(const schema& keys, const std::string& section)
{
    std::string names;
    for (const auto& k : keys)
        if (k.section == section)
            names += (names.empty() ? "" : ", ") + k.name;
    return names;
}

std::string sections_of(const schema& keys)
{
    std::set<std::string> sections;
    for (const auto& k : keys)
        sections.insert(k.section);
    std::string names;
    for (const auto& s : sections)
        names += (names.empty() ? "" : ", ") + s;
    return names;
}

std::string unknown_key(
    const std::string& full,
    const std::string& value,
    const schema& keys,
    const std::string& name)
{
    const auto dot = full.find('.');
    const auto section = full.substr(0, dot);
    const auto names = names_of_section(keys, section);
    const auto start = name + ": [" + section + "] " + full.substr(dot + 1) +
                       " = \"" + value + "\": ";
    if (names.empty())
        return start + "unknown section; allowed: " + sections_of(keys);
    return start + "unknown key; allowed: " + names;
}

std::string joined(const std::vector<std::string>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "\n") + fault;
    return text;
}

void check_schema(const schema& keys)
{
    std::set<std::string> names;
    for (const auto& k : keys)
        if (!names.insert(full_name(k)).second)
            throw std::logic_error("schema: duplicate key " + full_name(k));
}

// Checks one key; returns the value to use, if any.
std::optional<std::string> check_key(
    const key& item,
    const located& found,
    const std::string& name,
    std::vector<std::string>& faults)
{
    const auto at = found.find(full_name(item));
    const auto start = name + ": [" + item.section + "] " + item.name;
    if (at == found.end()) {
        if (!item.fallback.empty())
            return item.fallback;
        if (!item.optional)
            faults.push_back(
                start + ": the key is missing; allowed: " + allowed(item));
        return std::nullopt;
    }
    const auto reason = refusal(item, at->second);
    if (!reason.empty())
        faults.push_back(
            start + " = \"" + at->second + "\": " + reason +
            "; allowed: " + allowed(item));
    return at->second;
}

// Getter result or a programming error.
template <class T>
T required(std::optional<T> parsed, std::string_view name)
{
    if (!parsed)
        throw std::logic_error(
            "settings: " + std::string(name) + " read as a wrong type");
    return std::move(*parsed);
}

} // namespace

values::values(std::map<std::string, std::string> checked)
    : texts(checked.begin(), checked.end())
{
}

bool values::has(std::string_view name) const
{
    return this->texts.find(name) != this->texts.end();
}

std::string values::text(std::string_view name) const
{
    const auto found = this->texts.find(name);
    if (found == this->texts.end())
        throw std::logic_error("settings: no value " + std::string(name));
    return found->second;
}

std::int64_t values::integer(std::string_view name) const
{
    return required(internal::parse_integer(this->text(name)), name);
}

double values::number(std::string_view name) const
{
    return required(internal::parse_number(this->text(name)), name);
}

bool values::boolean(std::string_view name) const
{
    return required(internal::parse_boolean(this->text(name)), name);
}

base::duration values::duration(std::string_view name) const
{
    return required(internal::parse_duration(this->text(name)), name);
}

std::uint64_t values::size(std::string_view name) const
{
    return required(internal::parse_size(this->text(name)), name);
}

wire::endpoint values::endpoint(std::string_view name) const
{
    return required(internal::parse_endpoint(this->text(name)), name);
}

std::vector<wire::endpoint> values::endpoint_list(std::string_view name) const
{
    return required(internal::parse_endpoint_list(this->text(name)), name);
}

base::result<values> load(const std::string& path, const schema& keys)
{
    std::ifstream in(path);
    std::ostringstream contents;
    // A folder opens but cannot be read.
    if (!in || (in.peek(), in.bad()))
        return base::fail(
            base::error_code::io, path + ": the file cannot be read");
    contents << in.rdbuf();
    return parse(contents.str(), keys, path);
}

base::result<values>
parse(const std::string& contents, const schema& keys, const std::string& name)
{
    check_schema(keys);
    std::vector<std::string> faults;
    auto found = flatten(read_tree(contents, name, faults), name, faults);
    std::map<std::string, std::string> checked;
    for (const auto& item : keys) {
        auto value = check_key(item, found, name, faults);
        if (value)
            checked[full_name(item)] = std::move(*value);
        found.erase(full_name(item));
    }
    for (const auto& [full, value] : found)
        faults.push_back(unknown_key(full, value, keys, name));
    if (!faults.empty())
        return base::fail(base::error_code::out_of_range, joined(faults));
    return values(std::move(checked));
}

std::string document(const schema& keys)
{
    std::string table = "| setting | type | default | range | meaning |\n"
                        "|---|---|---|---|---|\n";
    for (const auto& item : keys) {
        const auto fallback = !item.fallback.empty() ? "`" + item.fallback + "`"
                              : item.optional        ? std::string("none")
                                                     : std::string("required");
        table += "| `" + full_name(item) + "` | " + describe(item.type) +
                 " | " + fallback + " | " + describe_range(item) + " | " +
                 item.help + " |\n";
    }
    return table;
}

} // namespace oleanderhinge::settings
