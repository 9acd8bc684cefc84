#include "oleanderhinge/gateway/server_permits.hpp"

#include "oleanderhinge/base/decay.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace oleanderhinge::gateway
{

namespace
{

// Lower rates are not reported.
constexpr double least_demand = 0.01;

double
rate_of(const event_rate& rate, base::duration half_life, base::time_point now)
{
    return rate.per_second * base::decay_factor(now - rate.updated, half_life);
}

void count(
    event_rate& rate,
    double events,
    base::duration half_life,
    base::time_point now)
{
    const double seconds = std::chrono::duration<double>(half_life).count();
    rate.per_second =
        rate_of(rate, half_life, now) + events * std::numbers::ln2 / seconds;
    rate.updated = now;
}

base::duration interval_of(double per_second)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(1 / per_second));
}

bool in_force(const fleet::limit_statement& statement, base::time_point now)
{
    return statement.per_second &&
           now < statement.stated + fleet::statement_lifetime;
}

bool grants_are_silent(const server_permits& permits, base::time_point now)
{
    if (!permits.reported_since)
        return false;
    const auto last = std::max(
        *permits.reported_since,
        permits.last_grant.value_or(*permits.reported_since));
    return now >= last + grant_silence;
}

base::duration lifetime_of(
    const server_permits& permits, const wire::permit_grant::item& granted)
{
    const auto found = permits.limits.servers.find(granted.server);
    const bool known = found != permits.limits.servers.end() &&
                       found->second.started_ms == granted.started_ms;
    // A limit that has ended needs no permits, so that any time is right then.
    return fleet::permit_lifetime(
        known ? found->second.per_second.value_or(1) : 1);
}

const own_permit* find_own(
    const server_permits& permits,
    const server_incarnation& server,
    base::time_point now)
{
    const auto found = permits.own.find(server.id);
    return found != permits.own.end() &&
                   found->second.started_ms == server.started_ms &&
                   found->second.due <= now &&
                   now < found->second.due + found->second.lifetime
               ? &found->second
               : nullptr;
}

// Drops the permits that are lost by now, so that at most one is left.
void skip_lost(own_permit& own, base::time_point now)
{
    const auto kept = std::min(own.interval, own.lifetime);
    if (now < own.due + kept)
        return;
    own.due += (now - own.due - kept) / own.interval * own.interval;
    while (now >= own.due + kept)
        own.due += own.interval;
}

void update_own(
    server_permits& permits,
    const base::backend_server_id& id,
    const fleet::limit_statement& statement,
    std::uint32_t gateways,
    base::random_source& random,
    base::time_point now)
{
    const auto interval =
        interval_of(*statement.per_second * own_share / std::max(gateways, 1U));
    const auto scaled = [&](double share) {
        return std::chrono::duration_cast<base::duration>(interval * share);
    };
    auto& own = permits.own[id];
    if (own.interval.count() == 0 || own.started_ms != statement.started_ms)
        own = {statement.started_ms, now + scaled(random.unit()), interval};
    own.lifetime = fleet::permit_lifetime(*statement.per_second);
    skip_lost(own, now);
    if (own.interval != interval && own.due > now)
        // Another limit or number of gateways keeps the phase.
        own.due = now + scaled(
                            double((own.due - now).count()) /
                            double(own.interval.count()));
    own.interval = interval;
}

} // namespace

statement_effect note_answer(
    server_permits& permits,
    const server_incarnation& server,
    std::optional<double> per_second,
    base::time_point asked,
    base::time_point now)
{
    if (!per_second && (!has_limit(permits, server, now) ||
                        permits.limits.servers.at(server.id).stated > asked))
        return {};
    statement_effect effect;
    effect.changed = fleet::note(
        permits.limits, {server.id, server.started_ms, per_second, 0}, now);
    const auto shared = permits.shared.find(server.id);
    effect.to_share = effect.changed || shared == permits.shared.end() ||
                      now >= shared->second + fleet::resend_interval;
    if (effect.to_share)
        permits.shared[server.id] = now;
    return effect;
}

bool note_statement(
    server_permits& permits,
    const wire::server_limit& statement,
    base::time_point now)
{
    auto& shared = permits.shared[statement.server];
    shared =
        std::max(shared, now - std::chrono::milliseconds(statement.age_ms));
    return fleet::note(permits.limits, statement, now);
}

void note_grant(
    server_permits& permits,
    const wire::permit_grant& grant,
    base::time_point now)
{
    permits.last_grant = now;
    permits.own.clear();
    for (const auto& item : grant.items) {
        auto& granted = permits.granted[item.server];
        if (item.started_ms < granted.started_ms)
            continue;
        if (item.started_ms > granted.started_ms)
            granted = {item.started_ms, {}, {}};
        if (item.permits > 0)
            granted.batches.push_back(
                {now + lifetime_of(permits, item), item.permits});
        count(granted.rate, item.permits, grant_half_life, now);
    }
}

void note_arrival(
    server_permits& permits, const std::string& service, base::time_point now)
{
    count(permits.arrivals[service], 1, demand_half_life, now);
}

std::optional<wire::permit_demand>
report_demand(server_permits& permits, base::time_point now)
{
    if (count_limits(permits, now) == 0) {
        permits.reported_since.reset();
        return std::nullopt;
    }
    if (!permits.reported_since)
        permits.reported_since = now;
    wire::permit_demand demand;
    for (const auto& [service, rate] : permits.arrivals)
        if (const auto present = rate_of(rate, demand_half_life, now);
            present >= least_demand)
            demand.services.push_back({service, float(present)});
    return demand;
}

std::vector<base::backend_server_id> update(
    server_permits& permits,
    std::uint32_t gateways,
    base::random_source& random,
    base::time_point now)
{
    std::vector<base::backend_server_id> forgotten;
    for (const auto& [id, statement] : permits.limits.servers)
        if (statement.per_second && !in_force(statement, now))
            forgotten.push_back(id);
    fleet::expire(permits.limits, now);
    for (auto& [id, granted] : permits.granted)
        std::erase_if(granted.batches, [&](const auto& batch) {
            return batch.end <= now;
        });
    const auto is_unknown = [&](const auto& item) {
        return !permits.limits.servers.contains(item.first);
    };
    std::erase_if(permits.granted, [&](const auto& item) {
        return item.second.batches.empty() && is_unknown(item);
    });
    std::erase_if(permits.own, is_unknown);
    std::erase_if(permits.shared, is_unknown);
    std::erase_if(permits.arrivals, [&](const auto& item) {
        return rate_of(item.second, demand_half_life, now) < least_demand;
    });
    std::erase_if(permits.returns_until, [&](const auto& item) {
        return item.second <= now;
    });
    retry::note(permits.gateways, gateways, now);
    gateways = retry::maximum(permits.gateways);
    if (!grants_are_silent(permits, now))
        return forgotten;
    for (const auto& [id, statement] : permits.limits.servers)
        if (in_force(statement, now))
            update_own(permits, id, statement, gateways, random, now);
        else
            permits.own.erase(id);
    return forgotten;
}

permit_use take_permit(
    server_permits& permits,
    const server_incarnation& server,
    base::time_point now)
{
    if (!has_limit(permits, server, now))
        return permit_use::not_needed;
    if (const auto found = permits.granted.find(server.id);
        found != permits.granted.end() &&
        found->second.started_ms == server.started_ms) {
        auto& batches = found->second.batches;
        while (!batches.empty() &&
               (batches.front().end <= now || batches.front().count == 0))
            batches.pop_front();
        if (!batches.empty()) {
            --batches.front().count;
            return permit_use::granted;
        }
    }
    if (find_own(permits, server, now) == nullptr)
        return permit_use::missing;
    auto& own = permits.own[server.id];
    own.due += own.interval;
    skip_lost(own, now);
    return permit_use::own;
}

base::duration retry_wait(
    server_permits& permits,
    const std::string& service,
    const std::vector<server_incarnation>& servers,
    std::uint32_t gateways,
    base::random_source& random,
    base::time_point now)
{
    double per_second = 0;
    for (const auto& server : servers) {
        const auto limit =
            fleet::limit_of(permits.limits, server.id, server.started_ms, now);
        if (!limit)
            continue;
        const auto granted = permits.granted.find(server.id);
        const double recent =
            granted == permits.granted.end() ||
                    granted->second.started_ms != server.started_ms
                ? 0
                : rate_of(granted->second.rate, grant_half_life, now);
        const double part = *limit / std::max(gateways, 1U);
        per_second +=
            permits.own.empty() ? std::max(recent, part) : part * own_share;
    }
    if (per_second <= 0)
        return min_return_wait;
    auto& until = permits.returns_until[service];
    until = std::max(until, now) + interval_of(per_second);
    if (until > now + max_return_wait) {
        until = now + max_return_wait;
        return std::chrono::duration_cast<base::duration>(
            max_return_wait * (1 + random.unit()) / 2);
    }
    return std::max(until - now, min_return_wait);
}

bool has_limit(
    const server_permits& permits,
    const server_incarnation& server,
    base::time_point now)
{
    return fleet::limit_of(permits.limits, server.id, server.started_ms, now)
        .has_value();
}

bool has_permit(
    const server_permits& permits,
    const server_incarnation& server,
    base::time_point now)
{
    if (!has_limit(permits, server, now))
        return true;
    const auto found = permits.granted.find(server.id);
    if (found != permits.granted.end() &&
        found->second.started_ms == server.started_ms &&
        std::ranges::any_of(found->second.batches, [&](const auto& batch) {
            return now < batch.end && batch.count > 0;
        }))
        return true;
    return find_own(permits, server, now) != nullptr;
}

std::size_t count_limits(const server_permits& permits, base::time_point now)
{
    return std::size_t(
        std::ranges::count_if(permits.limits.servers, [&](const auto& item) {
            return in_force(item.second, now);
        }));
}

} // namespace oleanderhinge::gateway
