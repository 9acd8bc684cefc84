#include "oleanderhinge/gateway/server_signals.hpp"

#include <algorithm>
#include <charconv>
#include <compare>

namespace oleanderhinge::gateway
{

namespace
{

// 31 years: more than a process lives, and within the range of a time point.
constexpr double max_parsed_seconds = 1e9;

const server_signal*
find(const server_signals& signals, const server_incarnation& server)
{
    const auto found = signals.servers.find(server.id);
    return found != signals.servers.end() &&
                   found->second.started_ms == server.started_ms
               ? &found->second
               : nullptr;
}

// The entry of this process; null if a later one is known under its id.
server_signal* entry_of(server_signals& signals, const server_incarnation& of)
{
    auto& entry = signals.servers[of.id];
    if (entry.started_ms > of.started_ms)
        return nullptr;
    if (entry.started_ms < of.started_ms)
        entry = {of.started_ms, false, std::nullopt};
    return &entry;
}

} // namespace

bool note_leaving(server_signals& signals, const server_incarnation& server)
{
    auto* entry = entry_of(signals, server);
    if (entry == nullptr || entry->leaving)
        return false;
    entry->leaving = true;
    return true;
}

bool note_backoff(
    server_signals& signals,
    const server_incarnation& server,
    base::time_point until,
    base::time_point now)
{
    auto* entry = entry_of(signals, server);
    if (entry == nullptr)
        return false;
    const bool accepted = !entry->backoff_until || *entry->backoff_until <= now;
    entry->backoff_until =
        std::max(entry->backoff_until.value_or(until), until);
    return accepted;
}

std::vector<base::backend_server_id>
end_backoffs(server_signals& signals, base::time_point now)
{
    std::vector<base::backend_server_id> ended;
    for (auto& [id, signal] : signals.servers)
        if (signal.backoff_until && *signal.backoff_until <= now) {
            signal.backoff_until.reset();
            ended.push_back(id);
        }
    std::erase_if(signals.servers, [](const auto& item) {
        return !item.second.leaving && !item.second.backoff_until;
    });
    return ended;
}

void forget_others(server_signals& signals, const server_incarnation& server)
{
    const auto found = signals.servers.find(server.id);
    if (found != signals.servers.end() &&
        found->second.started_ms != server.started_ms)
        signals.servers.erase(found);
}

void forget_absent(
    server_signals& signals,
    const std::function<bool(const base::backend_server_id&)>& is_known)
{
    struct absent_server {
        bool in_backoff;
        std::uint64_t started_ms;
        base::backend_server_id id;

        auto operator<=>(const absent_server&) const = default;
    };
    std::vector<absent_server> absent;
    for (const auto& [id, signal] : signals.servers)
        if (!is_known(id))
            absent.push_back(
                {signal.backoff_until.has_value(), signal.started_ms, id});
    if (absent.size() <= max_absent_signals)
        return;
    std::ranges::sort(absent, std::ranges::greater{});
    for (std::size_t i = max_absent_signals; i < absent.size(); ++i)
        signals.servers.erase(absent[i].id);
}

bool accepts_requests(
    const server_signals& signals,
    const server_incarnation& server,
    base::time_point now)
{
    const auto* signal = find(signals, server);
    return signal == nullptr ||
           (!signal->leaving &&
            (!signal->backoff_until || *signal->backoff_until <= now));
}

std::optional<base::time_point> backoff_end(
    const server_signals& signals,
    const server_incarnation& server,
    base::time_point now)
{
    const auto* signal = find(signals, server);
    if (signal == nullptr || signal->leaving || !signal->backoff_until ||
        *signal->backoff_until <= now)
        return std::nullopt;
    return signal->backoff_until;
}

std::optional<base::duration> parse_retry_after(std::string_view value)
{
    // Neither a sign nor a point may come first, and a digit comes last.
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    if (value.empty() || !is_digit(value.front()) || !is_digit(value.back()))
        return std::nullopt;
    double seconds = 0;
    const char* end = value.data() + value.size();
    const auto [stop, failed] =
        std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    if (stop != end ||
        (failed != std::errc() && failed != std::errc::result_out_of_range))
        return std::nullopt;
    if (failed != std::errc())
        seconds = max_parsed_seconds;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(seconds, max_parsed_seconds)));
}

base::duration backoff_time(
    base::duration requested, base::duration max, base::random_source& random)
{
    const auto granted = std::min(requested, max);
    const auto jitter = std::min(
        std::chrono::duration_cast<base::duration>(granted * backoff_jitter),
        max_backoff_jitter);
    return granted +
           std::chrono::duration_cast<base::duration>(jitter * random.unit());
}

} // namespace oleanderhinge::gateway
