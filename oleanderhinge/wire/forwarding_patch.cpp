#include "oleanderhinge/wire/forwarding_patch.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace oleanderhinge::wire
{

namespace
{

std::string_view name_of(const forwarding_route& item)
{
    return item.name;
}

std::string_view name_of(const forwarding_service& item)
{
    return item.name;
}

std::string_view name_of(const forwarding_customer& item)
{
    return item.id.value();
}

template <class Item>
std::vector<list_segment<Item>>
difference(const std::vector<Item>& from, const std::vector<Item>& to)
{
    std::unordered_map<std::string_view, std::uint32_t> positions;
    positions.reserve(from.size());
    for (std::uint32_t at = 0; at < from.size(); ++at)
        positions.emplace(name_of(from[at]), at);
    std::vector<list_segment<Item>> segments;
    // Position in `from` behind the last kept item.
    std::uint32_t kept_end = 0;
    for (const auto& item : to) {
        const auto found = positions.find(name_of(item));
        // An item that has moved to the front is sent as a new one.
        const bool is_kept = found != positions.end() &&
                             found->second >= kept_end &&
                             from[found->second] == item;
        if (!is_kept) {
            if (segments.empty())
                segments.emplace_back();
            segments.back().added.push_back(item);
            continue;
        }
        const bool continues = !segments.empty() &&
                               segments.back().added.empty() &&
                               found->second == kept_end;
        if (continues)
            ++segments.back().kept_count;
        else
            segments.push_back({found->second, 1, {}});
        kept_end = found->second + 1;
    }
    return segments;
}

template <class Item>
bool segments_fit(
    const std::vector<Item>& base,
    const std::vector<list_segment<Item>>& segments)
{
    std::uint64_t kept_end = 0;
    for (const auto& segment : segments) {
        if (segment.kept_count == 0)
            continue;
        if (segment.kept_first < kept_end)
            return false;
        kept_end = std::uint64_t(segment.kept_first) + segment.kept_count;
    }
    return kept_end <= base.size();
}

template <class Item>
void apply_segments(
    std::vector<Item>& items, const std::vector<list_segment<Item>>& segments)
{
    std::vector<Item> result;
    for (const auto& segment : segments) {
        const auto first = items.begin() + segment.kept_first;
        std::move(
            first, first + segment.kept_count, std::back_inserter(result));
        result.insert(result.end(), segment.added.begin(), segment.added.end());
    }
    items = std::move(result);
}

} // namespace

forwarding_patch
make_patch(const forwarding_table& from, const forwarding_table& to)
{
    return {
        from.version,
        to.version,
        difference(from.routes, to.routes),
        difference(from.services, to.services),
        difference(from.customers, to.customers),
        to.needs_keys};
}

bool fits(const forwarding_table& base, const forwarding_patch& patch)
{
    return base.version == patch.base_version &&
           segments_fit(base.routes, patch.routes) &&
           segments_fit(base.services, patch.services) &&
           segments_fit(base.customers, patch.customers);
}

void apply_patch(forwarding_table& table, const forwarding_patch& patch)
{
    table.version = patch.version;
    apply_segments(table.routes, patch.routes);
    apply_segments(table.services, patch.services);
    apply_segments(table.customers, patch.customers);
    table.needs_keys = patch.needs_keys;
}

} // namespace oleanderhinge::wire
