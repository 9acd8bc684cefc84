#include "oleanderhinge/control_state/queries.hpp"

#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <cstddef>

namespace oleanderhinge::control_state
{

namespace
{

constexpr std::size_t uuid_length = 36;
// The first 48 bits of a UUIDv7 are its time.
constexpr int uuid_time_digits = 12;

// The object with `key`, wrapped into `Put`; empty if there is none.
template <class Put, class Map, class Key>
std::optional<wire::change> find_as_put(const Map& objects, const Key& key)
{
    const auto found = objects.find(key);
    if (found == objects.end())
        return std::nullopt;
    return wire::change{Put{found->second}};
}

// Visitor of `present_value`.
struct value_finder {
    const wire::configuration& config;

    using found = std::optional<wire::change>;

    found operator()(const wire::put_route& item) const
    {
        return find_as_put<wire::put_route>(this->config.routes, item.value.id);
    }
    found operator()(const wire::remove_route& item) const
    {
        return find_as_put<wire::put_route>(this->config.routes, item.id);
    }
    found operator()(const wire::put_customer& item) const
    {
        return find_as_put<wire::put_customer>(
            this->config.customers, item.value.id);
    }
    found operator()(const wire::remove_customer& item) const
    {
        return find_as_put<wire::put_customer>(this->config.customers, item.id);
    }
    found operator()(const wire::put_order& item) const
    {
        return find_as_put<wire::put_order>(
            this->config.orders, item.value.server);
    }
    found operator()(const wire::remove_order& item) const
    {
        return find_as_put<wire::put_order>(this->config.orders, item.server);
    }
    found operator()(const wire::put_shares&) const
    {
        return wire::change{wire::put_shares{this->config.shares}};
    }
    found operator()(const wire::put_forwarding&) const
    {
        return wire::change{wire::put_forwarding{this->config.forwarding}};
    }
    found operator()(const wire::patch_forwarding&) const
    {
        return wire::change{wire::put_forwarding{this->config.forwarding}};
    }
};

// Returns -1 for a character that is no hexadecimal digit.
int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

bool is_uuid(std::string_view text)
{
    if (text.size() != uuid_length)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : hex_value(text[i]) < 0)
            return false;
    }
    return true;
}

wire::config_update full_update(const state& from)
{
    return {base::revision{}, from.config.at, {from.config}, {}};
}

} // namespace

const plan* find_plan(const state& from, const base::plan_id& id)
{
    const auto found = from.plans.find(id);
    return found == from.plans.end() ? nullptr : &found->second;
}

wire::config_update update_since(const state& from, base::revision have)
{
    if (have == base::revision{} || have > from.config.at ||
        have < from.changes_after)
        return full_update(from);
    wire::config_update update{have, from.config.at, {}, {}};
    const auto first = std::find_if(
        from.changes.begin(), from.changes.end(), [have](const auto& kept) {
            return kept.first > have;
        });
    update.changes.assign(first, from.changes.end());
    // The kept changes can be larger than the configuration itself and would
    // not fit into one frame then.
    if (wire::to_bytes(update.changes).size() > max_configuration_bytes)
        return full_update(from);
    return update;
}

base::revision last_changed(const state& from, const wire::change& item)
{
    if (present_value(from.config, item))
        return wire::last_modified(from.config, item);
    const auto removed = from.removals.find(wire::object_name(item));
    return removed == from.removals.end() ? base::revision{} : removed->second;
}

std::optional<wire::change>
present_value(const wire::configuration& config, const wire::change& item)
{
    return std::visit(value_finder{config}, item);
}

std::optional<std::uint64_t> uuid_v7_ms(std::string_view key)
{
    constexpr std::size_t version_offset = 14;
    constexpr std::size_t variant_offset = 19;
    if (!is_uuid(key) || key[version_offset] != '7' ||
        (hex_value(key[variant_offset]) >> 2) != 0b10)
        return std::nullopt;
    std::uint64_t ms = 0;
    int digits = 0;
    for (std::size_t i = 0; digits < uuid_time_digits; ++i) {
        if (key[i] == '-')
            continue;
        ms = (ms << 4) | std::uint64_t(hex_value(key[i]));
        ++digits;
    }
    return ms;
}

} // namespace oleanderhinge::control_state
