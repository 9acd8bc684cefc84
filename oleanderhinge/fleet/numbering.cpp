#include "oleanderhinge/fleet/numbering.hpp"

#include <algorithm>
#include <limits>

namespace oleanderhinge::fleet
{

namespace
{

constexpr std::uint64_t full_cache = 255;

template <class To, class From>
To saturate(From value)
{
    return To(std::min<From>(value, std::numeric_limits<To>::max()));
}

} // namespace

wire::server_loads::item
pack_load(std::uint32_t number, const wire::engine_load& load)
{
    wire::server_loads::item item;
    item.server = number;
    item.slowness = float(load.slowness);
    if (load.cache_total != 0)
        item.cache_use = std::uint8_t(
            std::min(load.cache_used, load.cache_total) * full_cache /
            load.cache_total);
    item.running = saturate<std::uint16_t>(load.running);
    item.waiting = saturate<std::uint16_t>(load.waiting);
    item.first_layer = saturate<std::uint16_t>(load.layers.first.value());
    item.end_layer = saturate<std::uint16_t>(load.layers.end.value());
    return item;
}

wire::engine_load unpack_load(const wire::server_loads::item& item)
{
    wire::engine_load load;
    load.slowness = double(item.slowness);
    load.cache_used = item.cache_use;
    load.cache_total = full_cache;
    load.running = item.running;
    load.waiting = item.waiting;
    load.layers = {
        base::layer_index{item.first_layer}, base::layer_index{item.end_layer}};
    return load;
}

bool is_sparse(const numbering& from, std::size_t known_servers)
{
    constexpr std::size_t allowance = 1024;
    return from.servers.size() > 2 * known_servers + allowance;
}

wire::server_numbers all_numbers(const numbering& from)
{
    return {0, from.servers};
}

void learn(peer_numbering& known, const wire::server_numbers& received)
{
    if (received.first == 0)
        known.servers.clear();
    if (received.first != known.servers.size())
        return;
    known.servers.insert(
        known.servers.end(), received.servers.begin(), received.servers.end());
}

} // namespace oleanderhinge::fleet
