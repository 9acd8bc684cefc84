#include "oleanderhinge/fleet/server_limits.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace oleanderhinge::fleet
{

namespace
{

constexpr double max_limit = 1e6;

bool holds(const limit_statement& statement, base::time_point now)
{
    return statement.per_second && now < statement.stated + statement_lifetime;
}

} // namespace

base::duration permit_lifetime(double per_second)
{
    constexpr double least_seconds = 1;
    constexpr double unused_permits = 2;
    constexpr double most_extra_seconds = 3;
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(
            least_seconds +
            std::min(unused_permits / per_second, most_extra_seconds)));
}

bool note(
    limit_table& limits,
    const wire::server_limit& statement,
    base::time_point now)
{
    if (statement.per_second && std::isnan(*statement.per_second))
        return false;
    const auto started_ms = statement.started_ms;
    const auto in_force = [&] {
        return limit_of(limits, statement.server, started_ms, now).value_or(0);
    };
    const auto stated = now - std::chrono::milliseconds(statement.age_ms);
    const double before = in_force();
    const auto [found, added] = limits.servers.try_emplace(statement.server);
    auto& known = found->second;
    if (!added && (known.started_ms > started_ms ||
                   (known.started_ms == started_ms && known.stated > stated)))
        return false;
    known = {started_ms, {}, stated};
    if (statement.per_second)
        known.per_second =
            std::clamp(*statement.per_second, least_limit, max_limit);
    return before != in_force();
}

void expire(limit_table& limits, base::time_point now)
{
    std::erase_if(limits.servers, [&](const auto& item) {
        return now >= item.second.stated + statement_lifetime;
    });
}

std::optional<double> limit_of(
    const limit_table& limits,
    const base::backend_server_id& server,
    std::uint64_t started_ms,
    base::time_point now)
{
    const auto found = limits.servers.find(server);
    if (found == limits.servers.end() ||
        found->second.started_ms != started_ms || !holds(found->second, now))
        return std::nullopt;
    return found->second.per_second;
}

wire::server_limit as_message(
    const base::backend_server_id& server,
    const limit_statement& statement,
    base::time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - statement.stated);
    return {
        server,
        statement.started_ms,
        statement.per_second,
        std::uint32_t(age.count())};
}

wire::server_limits all_limits(const limit_table& limits, base::time_point now)
{
    wire::server_limits all;
    for (const auto& [server, statement] : limits.servers)
        if (holds(statement, now))
            all.items.push_back(as_message(server, statement, now));
    return all;
}

std::optional<double> parse_limit(std::string_view value)
{
    // Neither a sign nor a point may come first, and a digit comes last.
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    if (value.empty() || !is_digit(value.front()) || !is_digit(value.back()))
        return std::nullopt;
    double parsed = 0;
    const char* end = value.data() + value.size();
    const auto [stop, failed] =
        std::from_chars(value.data(), end, parsed, std::chars_format::fixed);
    if (stop != end || failed != std::errc())
        return std::nullopt;
    return std::clamp(parsed, least_limit, max_limit);
}

} // namespace oleanderhinge::fleet
