// Reads the members of a JSON object and reports every fault with its place.
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

// More faults than these help nobody.
inline constexpr std::size_t max_faults = 50;

// Each reader leaves its target unchanged if the member is missing.
class object_reader
{
public:
    object_reader(
        const boost::json::object& from,
        std::string place,
        std::vector<std::string>& faults);

    void text(const char* name, std::string& to);
    void boolean(const char* name, bool& to);
    void number(const char* name, std::uint32_t& to);
    void endpoint(const char* name, wire::endpoint& to);
    // False if the member is missing.
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

    // An enumeration whose values count through `names`.
    template <class Enum>
    void
    choice(const char* name, std::span<const std::string_view> names, Enum& to)
    {
        auto index = std::size_t(to);
        this->choose(name, names, index);
        to = Enum(index);
    }

    // The member, which counts as known from then on; null if it is missing.
    const boost::json::value* take(const char* name);

    void fault(const std::string& text);
    void refuse_unknown();

private:
    void texts(const char* name, std::vector<std::string>& to);
    void choose(
        const char* name,
        std::span<const std::string_view> names,
        std::size_t& to);

    const boost::json::object& source;
    const std::string where;
    std::vector<std::string>& out;
    std::set<std::string_view> known;
};

} // namespace oleanderhinge::control::internal
