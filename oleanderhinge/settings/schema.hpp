// Settings of a daemon: an INI file checked against a schema.
//
// Each key has a section, a type with its unit, a default or none, a range and
// one line of help. Unknown keys, wrong units, values out of range and missing
// keys are refused with file, section, key, value and what is allowed.
// Durations need a unit: "250ms", "5s", "2min". Sizes: "512B", "16KiB", "4MiB".
// Endpoints: "127.0.0.1:7301"; lists are separated by commas.
//
// Example:
//   const schema s{
//       {"node", "vm", value_type::text, "", "", "", "name of this VM"},
//       {"link", "busy_heartbeat", value_type::duration, "250ms", "10ms",
//        "10s", "interval of pings with requests outstanding"}};
//   BOOST_LEAF_AUTO(values, load("entry.ini", s));
//   auto heartbeat = values.duration("link.busy_heartbeat");
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::settings
{

enum class value_type : std::uint8_t {
    text,
    integer,
    // Decimal fraction such as 0.25.
    number,
    boolean,
    duration,
    size,
    endpoint,
    endpoint_list,
};

struct key {
    std::string section;
    std::string name;
    value_type type = value_type::text;
    // Empty: the key is required, unless `optional`.
    std::string fallback;
    // Smallest and largest value, in the same notation; empty means none.
    std::string smallest;
    std::string largest;
    std::string help;
    // The key may be missing and has no default; `has` tells.
    bool optional = false;
};

using schema = std::vector<key>;

// Checked values by "section.name".
class values
{
public:
    explicit values(std::map<std::string, std::string> texts);

    // The getters may be called only for keys of the schema, with its type;
    // anything else is a programming error and throws std::logic_error.
    bool has(std::string_view name) const;
    std::string text(std::string_view name) const;
    std::int64_t integer(std::string_view name) const;
    double number(std::string_view name) const;
    bool boolean(std::string_view name) const;
    base::duration duration(std::string_view name) const;
    std::uint64_t size(std::string_view name) const;
    wire::endpoint endpoint(std::string_view name) const;
    std::vector<wire::endpoint> endpoint_list(std::string_view name) const;

private:
    std::map<std::string, std::string, std::less<>> texts;
};

// Reads and checks a file. Reports all faults at once, one a line.
base::result<values> load(const std::string& path, const schema& keys);

// The same for the contents of a file; `name` stands for it in messages.
base::result<values>
parse(const std::string& contents, const schema& keys, const std::string& name);

// Markdown table of the keys with type, default, range and help, for
// docs/OPERATIONS.md.
std::string document(const schema& keys);

} // namespace oleanderhinge::settings
