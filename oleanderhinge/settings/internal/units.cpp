#include "oleanderhinge/settings/internal/units.hpp"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace oleanderhinge::settings::internal
{

namespace
{

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

// Smallest first, in microseconds.
constexpr std::array<unit, 5> duration_units = {
    {{"us", 1},
     {"ms", 1000},
     {"s", 1'000'000},
     {"min", 60'000'000},
     {"h", 3'600'000'000}}};

constexpr std::array<unit, 4> size_units = {
    {{"B", 1},
     {"KiB", std::uint64_t(1) << 10},
     {"MiB", std::uint64_t(1) << 20},
     {"GiB", std::uint64_t(1) << 30}}};

template <class T>
std::optional<T> parse_whole(std::string_view text)
{
    T value{};
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

template <std::size_t Size>
std::optional<std::uint64_t>
factor_of(std::string_view name, const std::array<unit, Size>& units)
{
    for (const auto& item : units)
        if (item.name == name)
            return item.factor;
    return std::nullopt;
}

// A count and one of `units`; at most `limit` in the smallest unit.
template <std::size_t Size>
std::optional<std::uint64_t> parse_with_unit(
    std::string_view text,
    const std::array<unit, Size>& units,
    std::uint64_t limit)
{
    const auto end =
        std::min(text.find_first_not_of("0123456789"), text.size());
    const auto count = parse_whole<std::uint64_t>(text.substr(0, end));
    const auto factor = factor_of(text.substr(end), units);
    if (!count || !factor || *count > limit / *factor)
        return std::nullopt;
    return *count * *factor;
}

// A decimal fraction and one of `units`, rounded to the smallest unit.
template <std::size_t Size>
std::optional<std::uint64_t> parse_fraction(
    std::string_view text,
    const std::array<unit, Size>& units,
    std::uint64_t limit)
{
    const auto end =
        std::min(text.find_first_not_of("0123456789."), text.size());
    const auto count = parse_whole<double>(text.substr(0, end));
    const auto factor = factor_of(text.substr(end), units);
    if (!count || !factor || *count * double(*factor) >= double(limit))
        return std::nullopt;
    return std::uint64_t(std::llround(*count * double(*factor)));
}

} // namespace

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    return parse_whole<std::int64_t>(text);
}

std::optional<double> parse_number(std::string_view text)
{
    const auto value = parse_whole<double>(text);
    return value && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<bool> parse_boolean(std::string_view text)
{
    if (text == "true")
        return true;
    if (text == "false")
        return false;
    return std::nullopt;
}

std::optional<base::duration> parse_duration(std::string_view text)
{
    const auto limit =
        std::uint64_t(std::numeric_limits<base::duration::rep>::max());
    const auto us = text.find('.') == std::string_view::npos
                        ? parse_with_unit(text, duration_units, limit)
                        : parse_fraction(text, duration_units, limit);
    if (!us)
        return std::nullopt;
    return base::duration(base::duration::rep(*us));
}

std::optional<std::uint64_t> parse_size(std::string_view text)
{
    return parse_with_unit(
        text, size_units, std::numeric_limits<std::uint64_t>::max());
}

std::optional<wire::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    const auto port = parse_whole<std::uint16_t>(text.substr(colon + 1));
    // Brackets keep the colons of an IPv6 number apart from the port.
    if (error || !port || address.is_v6() != bracketed)
        return std::nullopt;
    return wire::endpoint{address.to_string(), *port};
}

std::optional<std::vector<wire::endpoint>>
parse_endpoint_list(std::string_view text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [](char c) { return c == ','; });
    std::vector<wire::endpoint> endpoints;
    for (auto& part : parts) {
        boost::algorithm::trim(part);
        auto parsed = parse_endpoint(part);
        if (!parsed)
            return std::nullopt;
        endpoints.push_back(std::move(*parsed));
    }
    return endpoints;
}

std::string format_duration(base::duration value)
{
    const auto us = value.count();
    for (auto at = duration_units.rbegin(); at != duration_units.rend(); ++at) {
        const auto factor = base::duration::rep(at->factor);
        if (us != 0 && us % factor == 0)
            return std::to_string(us / factor) + std::string(at->name);
    }
    return "0s";
}

} // namespace oleanderhinge::settings::internal
