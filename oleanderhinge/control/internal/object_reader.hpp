// Reads the members of a JSON object and reports every fault with its path.
//
// Example:
//   object_reader reader(value.as_object(), "body", faults);
//   reader.text("version", route.version);
//   reader.report_unknown_members();
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::control::internal
{

// Further faults of one body are dropped; they would not help the client.
inline constexpr std::size_t max_faults = 50;

// Each function leaves its target unchanged if the member is missing, or has a
// wrong type or value; the latter adds a fault. For `endpoint`, a missing
// member is a fault, too.
class object_reader
{
public:
    object_reader(
        const boost::json::object& from,
        std::string object_path,
        std::vector<std::string>& faults);

    void text(const char* name, std::string& to);
    void boolean(const char* name, bool& to);
    void number(const char* name, std::uint32_t& to);
    void endpoint(const char* name, wire::endpoint& to);
    // Calls `read` for the member and reports its unknown members. Returns
    // false if the member is missing.
    bool
    object(const char* name, const std::function<void(object_reader&)>& read);

    template <class Id>
    void id(const char* name, Id& to)
    {
        std::string value = to.value();
        this->text(name, value);
        to = Id{std::move(value)};
    }

    template <class Id>
    void ids(const char* name, std::vector<Id>& to)
    {
        std::vector<std::string> values;
        this->texts(name, values);
        for (auto& value : values)
            to.emplace_back(std::move(value));
    }

    // Reads an enumeration; `names` has the name of each value, in order from
    // 0.
    template <class Enum>
    void
    choice(const char* name, std::span<const std::string_view> names, Enum& to)
    {
        auto index = std::size_t(to);
        this->choose(name, names, index);
        to = Enum(index);
    }

    // Returns the member, null if it is missing, and makes `name` a known one.
    const boost::json::value* find_member(const char* name);

    void fault(const std::string& text);
    // Adds a fault for each member of the object that no function has read.
    void report_unknown_members();

private:
    void texts(const char* name, std::vector<std::string>& to);
    void choose(
        const char* name,
        std::span<const std::string_view> names,
        std::size_t& to);

    const boost::json::object& source;
    const std::string path;
    std::vector<std::string>& found_faults;
    std::set<std::string_view> known_names;
};

} // namespace oleanderhinge::control::internal
