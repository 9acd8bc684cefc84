#include "oleanderhinge/gateway/server_choice.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderhinge::gateway
{

namespace
{

double decay(const server_health& health, base::time_point now)
{
    if (now <= health.updated)
        return 1;
    return std::exp2(
        -double((now - health.updated).count()) /
        double(memory_half_life.count()));
}

void remember(server_health& health, bool failed, base::time_point now)
{
    constexpr double weight = 0.2;
    const double before = health.failure_rate * decay(health, now);
    health.failure_rate = before + weight * ((failed ? 1.0 : 0.0) - before);
    health.updated = now;
}

bool is_ejected(
    const server_choice& choice,
    const wire::endpoint& server,
    base::time_point now)
{
    const auto found = choice.health.find(server);
    return found != choice.health.end() && now < found->second.ejected_until;
}

double cost_of(
    const server_choice& choice,
    const wire::server_record& record,
    base::time_point now)
{
    double cost = record.data_centre == choice.home ? 1 : remote_weight;
    const auto found = choice.health.find({record.address, record.port});
    if (found == choice.health.end())
        return cost;
    const auto& health = found->second;
    cost *= 1 + health.in_progress;
    cost *= 1 + failure_weight * health.failure_rate * decay(health, now);
    // A latency of 0 means that none is known; then the server is tried.
    return cost * std::max(health.latency_ms, 1.0);
}

const wire::accelerator_kind*
find_kind(const wire::engine_profile& engine, const std::string& name)
{
    for (const auto& kind : engine.kinds)
        if (kind.name == name)
            return &kind;
    return nullptr;
}

std::vector<fleet::path_server> path_servers(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool with_ejected,
    base::time_point now)
{
    const auto& engine = *service.engine;
    std::vector<fleet::path_server> found;
    for (const auto& record : fleet::usable(choice.servers, service.name)) {
        const wire::endpoint address{record.address, record.port};
        const auto* kind = find_kind(engine, record.kind);
        if (kind == nullptr || record.layers == base::layer_range{} ||
            tried.contains(address) ||
            (!with_ejected && is_ejected(choice, address, now)))
            continue;
        double running = 0;
        if (const auto known = choice.health.find(address);
            known != choice.health.end())
            running = known->second.in_progress;
        const double step =
            engine.step_ms + engine.step_ms_per_request * running;
        found.push_back(
            {record.id,
             address,
             record.data_centre,
             record.layers,
             kind->step_factor * step / engine.layer_count});
    }
    return found;
}

} // namespace

fleet::report_outcome learn(
    server_choice& choice,
    const wire::server_record& record,
    base::time_point now)
{
    const auto outcome = fleet::apply(
        choice.servers, record, now - std::chrono::milliseconds(record.age_ms));
    if (outcome == fleet::report_outcome::changed) {
        ++choice.changes;
        // What was seen of an earlier process says nothing of a new one.
        auto& health = choice.health[{record.address, record.port}];
        health.ejected_until = {};
        health.failures_in_a_row = 0;
    }
    return outcome;
}

void note_started(server_choice& choice, const wire::endpoint& server)
{
    ++choice.health[server].in_progress;
}

void note_ended(server_choice& choice, const wire::endpoint& server)
{
    --choice.health[server].in_progress;
}

void note_success(
    server_choice& choice,
    const wire::endpoint& server,
    double latency_ms,
    base::time_point now)
{
    constexpr double weight = 0.2;
    auto& health = choice.health[server];
    remember(health, false, now);
    health.failures_in_a_row = 0;
    health.latency_ms =
        health.latency_ms == 0
            ? latency_ms
            : health.latency_ms + weight * (latency_ms - health.latency_ms);
}

void note_failure(
    server_choice& choice, const wire::endpoint& server, base::time_point now)
{
    auto& health = choice.health[server];
    remember(health, true, now);
    const auto doublings = std::min(health.failures_in_a_row, 8U);
    ++health.failures_in_a_row;
    health.ejected_until =
        now + std::min(first_ejection * (1 << doublings), largest_ejection);
    ++choice.changes;
}

void note_refusal(
    server_choice& choice, const wire::endpoint& server, base::time_point now)
{
    auto& health = choice.health[server];
    health.ejected_until = std::max(health.ejected_until, now + refusal_pause);
    ++choice.changes;
}

void note_error(
    server_choice& choice, const wire::endpoint& server, base::time_point now)
{
    remember(choice.health[server], true, now);
}

std::optional<chosen_server> choose_server(
    const server_choice& choice,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    base::random_source& random,
    base::time_point now)
{
    std::optional<chosen_server> best;
    double least = 0;
    bool best_ejected = true;
    for (const auto& record : fleet::usable(choice.servers, service)) {
        const wire::endpoint address{record.address, record.port};
        if (tried.contains(address))
            continue;
        const bool ejected = is_ejected(choice, address, now);
        // A small random part breaks ties, so that gateways do not all pick
        // the same server.
        const double cost =
            cost_of(choice, record, now) * (1 + random.unit() / 10);
        if (best && (ejected > best_ejected ||
                     (ejected == best_ejected && cost >= least)))
            continue;
        best = {record.id, address};
        least = cost;
        best_ejected = ejected;
    }
    return best;
}

fleet::path choose_path(
    server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    base::time_point now)
{
    const auto compute = [&](bool with_ejected) {
        return fleet::find_path(
            path_servers(choice, service, tried, with_ejected, now),
            service.engine->layer_count,
            choice.home,
            {});
    };
    if (!tried.empty()) {
        auto parts = compute(false);
        return parts.empty() ? compute(true) : parts;
    }
    auto& cached = choice.paths[service.name];
    if (cached.changes != choice.changes || now >= cached.computed + path_age) {
        cached.parts = compute(false);
        if (cached.parts.empty())
            cached.parts = compute(true);
        cached.changes = choice.changes;
        cached.computed = now;
    }
    return cached.parts;
}

} // namespace oleanderhinge::gateway
