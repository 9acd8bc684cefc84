#include "oleanderhinge/admin/print.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>
#include <sstream>
#include <utility>

namespace oleanderhinge::admin
{

namespace json = boost::json;

namespace
{

// A value without the quotes of a string.
std::string plain(const json::value* value)
{
    if (value == nullptr || value->is_null())
        return "-";
    if (value->is_string())
        return std::string(value->as_string());
    return json::serialize(*value);
}

const json::value* member(const json::value& of, std::string_view name)
{
    const auto* object = of.if_object();
    return object != nullptr ? object->if_contains(name) : nullptr;
}

std::string text_of(const json::value& of, std::string_view name)
{
    return plain(member(of, name));
}

const json::array* list_of(const json::value& of, std::string_view name)
{
    const auto* value = member(of, name);
    return value != nullptr ? value->if_array() : nullptr;
}

bool set_by_system(std::string_view name)
{
    return name == "modified" || name == "number";
}

// The members of one object that a change sets, with the old value.
void describe_fields(
    const json::value* before, const json::object& after, std::ostream& out)
{
    for (const auto& field : after) {
        if (set_by_system(field.key()))
            continue;
        const auto* old =
            before != nullptr ? member(*before, field.key()) : nullptr;
        if (old == nullptr)
            out << "      " << field.key() << ": " << plain(&field.value())
                << '\n';
        else if (*old != field.value())
            out << "      " << field.key() << ": " << plain(old) << " -> "
                << plain(&field.value()) << '\n';
    }
}

void describe_change(const json::value& change, std::ostream& out)
{
    const auto* before = member(change, "before");
    const auto* after = member(change, "after");
    const bool existed = before != nullptr && !before->is_null();
    const auto* set = after != nullptr ? after->if_object() : nullptr;
    out << (set == nullptr ? "  - "
            : existed      ? "  ~ "
                           : "  + ")
        << text_of(change, "object") << '\n';
    if (set != nullptr)
        describe_fields(existed ? before : nullptr, *set, out);
}

template <class Number>
std::optional<Number> number_of(std::string_view text)
{
    Number value{};
    const auto [end, failed] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<timeline::event_kind> kind_of(std::string_view name)
{
    using timeline::event_kind;
    for (unsigned i = 0; i <= unsigned(event_kind::request_failed); ++i)
        if (name == timeline::to_string(event_kind(i)))
            return event_kind(i);
    return std::nullopt;
}

std::optional<base::request_id> request_of(std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == text.npos)
        return std::nullopt;
    const auto origin = number_of<std::uint64_t>(text.substr(0, dash));
    const auto sequence = number_of<std::uint64_t>(text.substr(dash + 1));
    if (!origin || !sequence)
        return std::nullopt;
    return base::request_id{base::incarnation{*origin}, *sequence};
}

std::string time_of(base::stamp at)
{
    constexpr std::uint64_t us_per_second = 1'000'000;
    const auto us = timeline::wall_us(at);
    const auto seconds = std::time_t(us / us_per_second);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%H:%M:%S.", &parts);
    auto fraction = std::to_string(us % us_per_second);
    fraction.insert(0, 6 - fraction.size(), '0');
    return text + fraction;
}

} // namespace

std::string describe_plan(const json::value& plan)
{
    std::ostringstream out;
    out << "plan " << text_of(plan, "id") << " on revision "
        << text_of(plan, "base_revision") << ": " << text_of(plan, "status");
    if (member(plan, "confirmed_at") != nullptr)
        out << " as revision " << text_of(plan, "confirmed_at");
    out << '\n';
    if (const auto* changes = list_of(plan, "changes"))
        for (const auto& change : *changes)
            describe_change(change, out);
    if (const auto* conflicts = list_of(plan, "conflicts"))
        for (const auto& conflict : *conflicts)
            out << "  conflict: " << text_of(conflict, "object")
                << " was changed at revision "
                << text_of(conflict, "changed_at") << '\n';
    return out.str();
}

std::string
table(const json::array& rows, const std::vector<std::string>& columns)
{
    std::vector<std::vector<std::string>> cells{columns};
    for (const auto& row : rows) {
        auto& line = cells.emplace_back();
        for (const auto& column : columns)
            line.push_back(text_of(row, column));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : cells)
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    std::string out;
    for (const auto& line : cells) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            text += line[i];
            if (i + 1 < line.size())
                text.append(widths[i] + 2 - line[i].size(), ' ');
        }
        out += text + '\n';
    }
    return out;
}

std::string describe_status(const json::value& status)
{
    std::string out;
    const auto* object = status.if_object();
    if (object == nullptr)
        return out;
    for (const auto& field : *object)
        if (field.key() != "members")
            out +=
                std::string(field.key()) + ": " + plain(&field.value()) + '\n';
    if (const auto* members = list_of(status, "members"))
        out += table(*members, {"vm", "link", "admin", "voter"});
    return out;
}

std::string describe_problem(const json::value& problem)
{
    std::ostringstream out;
    out << text_of(problem, "code") << ": " << text_of(problem, "detail")
        << " (" << text_of(problem, "execution") << ")\n";
    if (const auto* faults = list_of(problem, "faults"))
        for (const auto& fault : *faults)
            out << "  " << plain(&fault) << '\n';
    if (const auto* conflicts = list_of(problem, "conflicts"))
        for (const auto& conflict : *conflicts)
            out << "  " << text_of(conflict, "object")
                << " was changed at revision "
                << text_of(conflict, "changed_at") << '\n';
    return out.str();
}

std::string describe_events(const std::vector<timeline::event>& events)
{
    std::ostringstream out;
    for (const auto& item : events) {
        out << time_of(item.at) << "  " << item.vm << "  "
            << timeline::to_string(item.kind);
        if (item.request)
            out << "  " << *item.request;
        out << "  " << item.detail << '\n';
    }
    return out.str();
}

std::vector<timeline::event> parse_events(const json::value& list)
{
    std::vector<timeline::event> events;
    const auto* items = list.if_array();
    if (items == nullptr)
        return events;
    for (const auto& item : *items) {
        const auto stamp = number_of<std::uint64_t>(text_of(item, "stamp"));
        const auto sequence =
            number_of<std::uint64_t>(text_of(item, "sequence"));
        const auto kind = kind_of(text_of(item, "kind"));
        if (!stamp || !sequence || !kind)
            continue;
        events.push_back(
            {.at = base::stamp{*stamp},
             .vm = base::vm_id{text_of(item, "vm")},
             .sequence = *sequence,
             .kind = *kind,
             .request = request_of(text_of(item, "request")),
             .detail = text_of(item, "detail")});
    }
    return events;
}

} // namespace oleanderhinge::admin
