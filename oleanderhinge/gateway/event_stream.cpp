#include "oleanderhinge/gateway/event_stream.hpp"

#include "oleanderhinge/net/second_answer.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace oleanderhinge::gateway
{

namespace
{

std::string_view field_value(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name))
        return {};
    line.remove_prefix(name.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::string_view event_id(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        if (const auto id = field_value(event.substr(0, end), "id:");
            !id.empty())
            return id;
        if (end == event.npos)
            break;
        event.remove_prefix(end + 1);
    }
    return {};
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, failed] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Where the first event ends, with its empty line, which does not begin before
// `from`; 0 if the event is incomplete.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != text.npos;
         at = text.find('\n', at + 1)) {
        auto rest = text.substr(at + 1);
        if (rest.starts_with('\n'))
            return at + 2;
        if (rest.starts_with("\r\n"))
            return at + 3;
    }
    return 0;
}

bool is_duplicate(const event_position& position, std::string_view id)
{
    const auto last = parse_number(position.last_id);
    const auto next = parse_number(id);
    return last && next && *next <= *last;
}

bool is_field_of_events(std::string_view name)
{
    return name.empty() || name == "data" || name == "event" || name == "id" ||
           name == "retry";
}

// "name: value", ": comment", or the name of a field alone.
bool is_field(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty())
        return true;
    const auto name = line.substr(0, line.find(':'));
    if (name.size() == line.size())
        return is_field_of_events(name);
    return std::ranges::all_of(name, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

// Whether all lines are fields. A status line inside a field may be the text of
// the event; followed by a field that events do not have, it is the head of
// another answer behind a line that broke off.
bool is_event(std::string_view text)
{
    bool after_status_line = false;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        const auto name = line.substr(0, line.find_first_of(":\r"));
        if (!is_field(line) || (after_status_line && !is_field_of_events(name)))
            return false;
        after_status_line = net::find_status_line(line) != line.npos;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return true;
}

} // namespace

std::vector<std::string> take_events(
    event_buffer& buffer, event_position& position, std::string_view bytes)
{
    std::vector<std::string> events;
    if (buffer.malformed)
        return events;
    // The bytes before these hold no empty line, except for a part of one at
    // their end. Searching them again would take quadratic time.
    constexpr std::size_t split_line = 2;
    std::size_t from = std::max(buffer.partial.size(), split_line) - split_line;
    buffer.partial.append(bytes);
    std::size_t begin = 0;
    while (const auto end = find_event_end(buffer.partial, from)) {
        auto event = buffer.partial.substr(begin, end - begin);
        if (!is_event(event)) {
            buffer.malformed = true;
            break;
        }
        begin = end;
        from = end;
        const std::string id(event_id(event));
        if (!id.empty() && is_duplicate(position, id))
            continue;
        if (!id.empty())
            position.last_id = id;
        ++position.event_count;
        events.push_back(std::move(event));
    }
    buffer.partial.erase(0, begin);
    buffer.malformed |= buffer.partial.size() > max_event_bytes;
    return events;
}

} // namespace oleanderhinge::gateway
