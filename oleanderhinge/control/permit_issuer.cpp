#include "oleanderhinge/control/permit_issuer.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace oleanderhinge::control
{

namespace
{

// Bounds on a gateway's credit. It leaves them only after gateways with another
// credit have come or left.
constexpr double least_credit = -1;
constexpr double most_credit = 2;
constexpr double max_demand = 1e9;

using credits = std::map<net::link_id, double>;

// A gateway that gets requests for a service.
struct claimant {
    net::link_id gateway;
    // Part of the demand of all gateways.
    double share = 0;
    double* credit = nullptr;
};

void forget_other_servers(
    permit_issuer& issuer, const std::vector<limited_server>& limited)
{
    std::map<base::backend_server_id, std::uint64_t> started;
    std::set<std::string> services;
    for (const auto& item : limited) {
        started.emplace(item.server, item.started_ms);
        services.insert(item.service);
    }
    std::erase_if(issuer.buckets, [&](const auto& entry) {
        const auto found = started.find(entry.first);
        return found == started.end() ||
               found->second != entry.second.started_ms;
    });
    std::erase_if(issuer.credits, [&](const auto& entry) {
        return !services.contains(entry.first);
    });
}

// Fills the bucket up to `now`, at the limit that held until now.
permit_issuer::bucket& refilled(
    permit_issuer& issuer, const limited_server& server, base::time_point now)
{
    const auto [found, added] = issuer.buckets.try_emplace(server.server);
    auto& bucket = found->second;
    if (added) {
        bucket.started_ms = server.started_ms;
    } else {
        const std::chrono::duration<double> passed = now - bucket.filled;
        bucket.tokens += bucket.per_second * passed.count();
    }
    bucket.filled = now;
    bucket.per_second = server.per_second;
    bucket.tokens = std::min(bucket.tokens, permit_burst(server.per_second));
    return bucket;
}

std::vector<claimant>
claimants_of(permit_issuer& issuer, const std::string& service)
{
    std::vector<claimant> found;
    double total = 0;
    auto& credit_of = issuer.credits[service];
    for (const auto& [gateway, demand] : issuer.demands)
        if (const auto asked = demand.services.find(service);
            asked != demand.services.end()) {
            found.push_back({gateway, asked->second, &credit_of[gateway]});
            total += asked->second;
        }
    for (auto& item : found)
        item.share /= total;
    return found;
}

// Gives whole multiples of the shares first, and one of the rest to each of
// those with the highest credit. Returns the permits in the order of
// `claimants`.
std::vector<std::uint32_t>
divide(std::vector<claimant>& claimants, std::uint32_t permits)
{
    std::vector<std::uint32_t> given(claimants.size());
    std::vector<std::size_t> order(claimants.size());
    std::uint32_t rest = permits;
    for (std::size_t i = 0; i < claimants.size(); ++i) {
        const double due = claimants[i].share * permits;
        given[i] = std::min(rest, std::uint32_t(due));
        rest -= given[i];
        *claimants[i].credit += due - given[i];
        order[i] = i;
    }
    const auto end = order.begin() +
                     std::ptrdiff_t(std::min(order.size(), std::size_t(rest)));
    std::partial_sort(
        order.begin(), end, order.end(), [&](std::size_t a, std::size_t b) {
            const double first = *claimants[a].credit;
            const double second = *claimants[b].credit;
            return first != second ? first > second : a < b;
        });
    for (auto chosen = order.begin(); chosen != end; ++chosen) {
        ++given[*chosen];
        *claimants[*chosen].credit -= 1;
    }
    for (const auto& item : claimants)
        *item.credit = std::clamp(*item.credit, least_credit, most_credit);
    return given;
}

} // namespace

void note_demand(
    permit_issuer& issuer,
    net::link_id gateway,
    const wire::permit_demand& demand,
    base::time_point now)
{
    auto& noted = issuer.demands[gateway];
    noted = {{}, now};
    for (const auto& item : demand.services)
        // False for NaN, too.
        if (item.per_second > 0)
            noted.services.insert_or_assign(
                item.service, std::min(double(item.per_second), max_demand));
}

void forget_gateway(permit_issuer& issuer, net::link_id gateway)
{
    issuer.demands.erase(gateway);
    for (auto& [service, credit_of] : issuer.credits)
        credit_of.erase(gateway);
}

std::map<net::link_id, wire::permit_grant> issue(
    permit_issuer& issuer,
    const std::vector<limited_server>& limited,
    base::time_point now)
{
    std::map<net::link_id, wire::permit_grant> grants;
    std::erase_if(issuer.demands, [&](const auto& entry) {
        return now >= entry.second.received + demand_lifetime;
    });
    for (const auto& [gateway, demand] : issuer.demands)
        grants[gateway];
    forget_other_servers(issuer, limited);
    std::map<std::string, std::vector<claimant>> by_service;
    for (const auto& server : limited) {
        auto& bucket = refilled(issuer, server, now);
        if (bucket.tokens < 1)
            continue;
        const auto [found, added] = by_service.try_emplace(server.service);
        auto& claimants = found->second;
        if (added)
            claimants = claimants_of(issuer, server.service);
        if (claimants.empty())
            continue;
        const auto permits = std::uint32_t(bucket.tokens);
        bucket.tokens -= permits;
        const auto given = divide(claimants, permits);
        for (std::size_t i = 0; i < given.size(); ++i)
            if (given[i] > 0)
                grants[claimants[i].gateway].items.push_back(
                    {server.server, server.started_ms, given[i]});
    }
    return grants;
}

void stop_issuing(permit_issuer& issuer)
{
    issuer.buckets.clear();
    issuer.credits.clear();
}

std::vector<limited_server> limited_servers(
    const fleet::directory& known,
    const fleet::limit_table& limits,
    base::time_point now)
{
    std::vector<limited_server> found;
    for (const auto& [server, statement] : limits.servers) {
        const auto entry = known.servers.find(server);
        if (entry == known.servers.end() ||
            entry->second.record.state == wire::reported_state::gone)
            continue;
        const auto& record = entry->second.record;
        if (const auto limit =
                fleet::limit_of(limits, server, record.started_ms, now))
            found.push_back(
                {server, record.started_ms, record.service, *limit});
    }
    return found;
}

} // namespace oleanderhinge::control
