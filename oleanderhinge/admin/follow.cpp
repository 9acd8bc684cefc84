#include "oleanderhinge/admin/follow.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

namespace oleanderhinge::admin
{

namespace
{

struct timed_line {
    base::time_point time;
    log_line line;
};

// Lines of any process that tell of trouble with a server.
constexpr std::array<std::string_view, 3> server_events{
    "server_suspected", "order", "order_failed"};
// What a process learns of a server matters where the request was served; every
// process writes it again.
constexpr std::string_view server_learned = "server_changed";
// Lines that change what the process itself knows or may do.
constexpr std::array<std::string_view, 6> own_events{
    "configuration_applied",
    "control_connected",
    "control_lost",
    "draining",
    "started",
    "log_lines_dropped"};

// The time at the start of a line, as the daemons write it.
std::optional<base::time_point> time_of(const std::string& text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    if (std::sscanf(
            text.c_str(),
            "%4d-%2u-%2uT%2d:%2d:%9lf",
            &year,
            &month,
            &day,
            &hour,
            &minute,
            &second) != 6)
        return std::nullopt;
    const std::chrono::sys_days date{
        std::chrono::year(year) / std::chrono::month(month) /
        std::chrono::day(day)};
    const auto since = date.time_since_epoch() + std::chrono::hours(hour) +
                       std::chrono::minutes(minute);
    return base::time_point(
        std::chrono::duration_cast<base::duration>(since) +
        base::duration(std::int64_t(second * 1e6)));
}

// The value of `key=value` in a line; empty if it has none.
std::string_view value_of(std::string_view text, std::string_view key)
{
    for (auto at = text.find(key); at != text.npos;
         at = text.find(key, at + 1)) {
        const auto value = at + key.size();
        if ((at == 0 || text[at - 1] == ' ') && value < text.size() &&
            text[value] == '=') {
            const auto end = std::min(text.find(' ', value), text.size());
            return text.substr(value + 1, end - value - 1);
        }
    }
    return {};
}

template <class Events>
bool is_one_of(std::string_view event, const Events& events)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

// Addresses are written with and without a port.
std::string without_port(std::string_view address)
{
    return std::string(address.substr(0, address.find(':')));
}

void add_servers(std::set<std::string>& servers, std::string_view text)
{
    std::istringstream ids{std::string(value_of(text, "to"))};
    for (std::string id; std::getline(ids, id, ',');)
        servers.insert(id);
    for (const auto* key : {"at_fault", "waits_for"})
        if (const auto address = value_of(text, key); !address.empty())
            servers.insert(without_port(address));
}

std::vector<timed_line> read(const std::vector<log_file>& logs)
{
    std::vector<timed_line> lines;
    for (const auto& log : logs) {
        std::istringstream from(log.contents);
        for (std::string text; std::getline(from, text);)
            if (const auto time = time_of(text))
                lines.push_back({*time, {log.source, text}});
    }
    std::stable_sort(
        lines.begin(),
        lines.end(),
        [](const timed_line& left, const timed_line& right) {
            return left.time < right.time;
        });
    return lines;
}

// What the request's own lines say.
struct findings {
    base::time_point first;
    base::time_point last;
    std::set<std::string> sources;
    std::set<std::string> servers;
};

std::optional<findings>
find_request(const std::vector<timed_line>& lines, const std::string& request)
{
    std::optional<findings> found;
    for (const auto& item : lines) {
        if (value_of(item.line.text, "request") != request)
            continue;
        if (!found)
            found.emplace().first = item.time;
        found->last = item.time;
        found->sources.insert(item.line.source);
        add_servers(found->servers, item.line.text);
    }
    return found;
}

bool explains(
    const log_line& line, const findings& found, const std::string& request)
{
    if (value_of(line.text, "request") == request)
        return true;
    const auto event = value_of(line.text, "event");
    if (event == "leader_elected")
        return true;
    if (is_one_of(event, own_events))
        return found.sources.contains(line.source);
    if (event == server_learned && !found.sources.contains(line.source))
        return false;
    return (event == server_learned || is_one_of(event, server_events)) &&
           (found.servers.contains(
                std::string(value_of(line.text, "server"))) ||
            found.servers.contains(
                without_port(value_of(line.text, "address"))));
}

} // namespace

std::vector<log_line>
follow(const std::vector<log_file>& logs, const std::string& request)
{
    const auto lines = read(logs);
    const auto found = find_request(lines, request);
    std::vector<log_line> chosen;
    if (!found)
        return chosen;
    for (const auto& item : lines)
        if (item.time + follow_window >= found->first &&
            item.time <= found->last && explains(item.line, *found, request))
            chosen.push_back(item.line);
    return chosen;
}

} // namespace oleanderhinge::admin
