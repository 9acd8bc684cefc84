#include "oleanderhinge/control/internal/object_reader.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace oleanderhinge::control::internal
{

namespace json = boost::json;

namespace
{

// Formats a value for a message, truncated to 40 characters.
std::string abbreviated(const json::value& value)
{
    constexpr std::size_t max_length = 40;
    auto text = json::serialize(value);
    if (text.size() > max_length)
        text = text.substr(0, max_length) + "...";
    return text;
}

std::optional<wire::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failed] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    std::string address(text.substr(0, colon));
    boost::system::error_code bad;
    boost::asio::ip::make_address(address, bad);
    if (bad || failed != std::errc() || port == 0 ||
        end != digits.data() + digits.size())
        return std::nullopt;
    return wire::endpoint{std::move(address), port};
}

} // namespace

object_reader::object_reader(
    const json::object& from,
    std::string object_path,
    std::vector<std::string>& faults)
    : source(from)
    , path(std::move(object_path))
    , found_faults(faults)
{
}

void object_reader::fault(const std::string& text)
{
    if (this->found_faults.size() < max_faults)
        this->found_faults.push_back(this->path + ": " + text);
}

const json::value* object_reader::find_member(const char* name)
{
    this->known_names.insert(name);
    return this->source.if_contains(name);
}

void object_reader::text(const char* name, std::string& to)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return;
    if (value->is_string())
        to = std::string(value->as_string());
    else
        this->fault(
            std::string(name) + " is " + abbreviated(*value) +
            ", must be a string");
}

void object_reader::boolean(const char* name, bool& to)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return;
    if (value->is_bool())
        to = value->as_bool();
    else
        this->fault(
            std::string(name) + " is " + abbreviated(*value) +
            ", must be true or false");
}

void object_reader::number(const char* name, std::uint32_t& to)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return;
    boost::system::error_code failed;
    const auto read = value->to_number<std::uint32_t>(failed);
    if (!failed && !value->is_double())
        to = read;
    else
        this->fault(
            std::string(name) + " is " + abbreviated(*value) +
            ", must be an integer from 0 to " +
            std::to_string(std::numeric_limits<std::uint32_t>::max()));
}

void object_reader::endpoint(const char* name, wire::endpoint& to)
{
    std::string value;
    this->text(name, value);
    if (const auto parsed = parse_endpoint(value))
        to = *parsed;
    else
        this->fault(
            std::string(name) + " is '" + value.substr(0, 40) +
            "', must be an IP number and a port such as 127.0.0.1:7501");
}

bool object_reader::object(
    const char* name, const std::function<void(object_reader&)>& read)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return false;
    if (!value->is_object()) {
        this->fault(
            std::string(name) + " is " + abbreviated(*value) +
            ", must be an object");
        return true;
    }
    object_reader inner(
        value->as_object(), this->path + "." + name, this->found_faults);
    read(inner);
    inner.report_unknown_members();
    return true;
}

void object_reader::texts(const char* name, std::vector<std::string>& to)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return;
    const auto* list = value->if_array();
    const bool strings =
        list != nullptr &&
        std::all_of(list->begin(), list->end(), [](const json::value& item) {
            return item.is_string();
        });
    if (!strings) {
        this->fault(
            std::string(name) + " is " + abbreviated(*value) +
            ", must be a list of strings");
        return;
    }
    for (const auto& item : *list)
        to.emplace_back(item.as_string());
}

void object_reader::choose(
    const char* name, std::span<const std::string_view> names, std::size_t& to)
{
    const auto* value = this->find_member(name);
    if (value == nullptr)
        return;
    const auto* chosen = value->if_string();
    const auto found = std::find_if(
        names.begin(), names.end(), [chosen](std::string_view one) {
            return chosen != nullptr && *chosen == one;
        });
    if (found != names.end()) {
        to = std::size_t(found - names.begin());
        return;
    }
    std::string allowed;
    for (const auto& one : names)
        allowed += (allowed.empty() ? "" : ", ") + std::string(one);
    this->fault(
        std::string(name) + " is " + abbreviated(*value) + ", must be one of " +
        allowed);
}

void object_reader::report_unknown_members()
{
    // Set by the system. Accepted and ignored, so that a client can read an
    // object, edit it and put it back.
    for (const char* name : {"modified", "number"})
        this->known_names.insert(name);
    for (const auto& member : this->source)
        if (!this->known_names.contains(member.key()))
            this->fault(
                "'" + std::string(member.key()).substr(0, 40) +
                "' is no member of this object");
}

} // namespace oleanderhinge::control::internal
