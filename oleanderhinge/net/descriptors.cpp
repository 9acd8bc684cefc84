#include "oleanderhinge/net/descriptors.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace oleanderhinge::net
{

namespace
{

// Of all descriptors.
constexpr double callers_share = 0.4;
constexpr double servers_share = 0.4;
constexpr double management_share = 0.05;
// Without a limit of the system.
constexpr std::size_t max_descriptors = 65536;

} // namespace

descriptor_parts split_descriptors(std::size_t limit)
{
    const auto part = [&](double share) {
        return std::max<std::size_t>(1, std::size_t(double(limit) * share));
    };
    return {part(callers_share), part(servers_share), part(management_share)};
}

std::size_t descriptor_limit()
{
    rlimit present{};
    if (::getrlimit(RLIMIT_NOFILE, &present) != 0 ||
        present.rlim_cur > max_descriptors)
        return max_descriptors;
    return std::size_t(present.rlim_cur);
}

} // namespace oleanderhinge::net
