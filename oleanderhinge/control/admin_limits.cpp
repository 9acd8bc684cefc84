#include "oleanderhinge/control/admin_limits.hpp"

#include "oleanderhinge/net/descriptors.hpp"

namespace oleanderhinge::control
{

namespace
{

// The largest forwarding table is 4 MiB.
constexpr std::size_t max_body_bytes = std::size_t(5) << 20;
// For one manifest of that size at a time.
constexpr std::size_t caller_memory = std::size_t(48) << 20;
// A manifest is kept as text, parsed and encoded for the log.
constexpr std::size_t parsing_cost = 8;

} // namespace

net::http_limits admin_limits()
{
    net::http_limits limits;
    limits.body_bytes = max_body_bytes;
    limits.memory = caller_memory;
    limits.serving_cost = parsing_cost;
    limits.max_connections =
        net::split_descriptors(net::descriptor_limit()).callers;
    return limits;
}

} // namespace oleanderhinge::control
