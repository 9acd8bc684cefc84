#include "oleanderhinge/gateway/server_choice.hpp"

#include "oleanderhinge/fleet/placement.hpp"

#include <algorithm>
#include <array>
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

double fullness(const wire::server_record& record)
{
    if (!record.load || record.load->cache_total == 0)
        return 0;
    return double(record.load->cache_used) / double(record.load->cache_total);
}

// Expected time of one token in one layer: what the engine's operator states,
// slowed by what runs there, and more as its cache fills.
double layer_time(
    const wire::engine_profile& engine,
    const wire::accelerator_kind& kind,
    const wire::server_record& record)
{
    double step = engine.step_ms;
    if (record.load)
        step = (step + engine.step_ms_per_request * record.load->running) *
               record.load->slowness;
    return step * kind.step_factor / engine.layer_count /
           (1 - std::min(fullness(record), fullest_cache));
}

std::vector<fleet::path_server> path_servers(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool with_ejected,
    base::time_point now)
{
    std::vector<fleet::path_server> found;
    for (const auto& record : fleet::usable(choice.servers, service.name)) {
        const wire::endpoint address{record.address, record.port};
        const auto* kind = fleet::find_kind(*service.engine, record.kind);
        if (kind == nullptr || record.layers == base::layer_range{} ||
            tried.contains(address) ||
            (!with_ejected && is_ejected(choice, address, now)))
            continue;
        found.push_back(
            {record.id,
             address,
             record.data_centre,
             record.layers,
             layer_time(*service.engine, *kind, record)});
    }
    return found;
}

double fullest_part(const server_choice& choice, const fleet::path& parts)
{
    double fullest = 0;
    for (const auto& part : parts)
        if (const auto found = choice.servers.servers.find(part.server);
            found != choice.servers.servers.end())
            fullest = std::max(fullest, fullness(found->second.record));
    return fullest;
}

// The best path from each server that can be the first.
std::vector<server_choice::candidate> find_candidates(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool with_ejected,
    base::time_point now)
{
    const auto servers =
        path_servers(choice, service, tried, with_ejected, now);
    std::vector<server_choice::candidate> found;
    for (auto& item : fleet::find_paths(
             servers, service.engine->layer_count, choice.home, {})) {
        const auto fullest = fullest_part(choice, item.parts);
        found.push_back({std::move(item.parts), item.cost, fullest});
    }
    return found;
}

std::vector<server_choice::candidate> find_candidates(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    base::time_point now)
{
    auto found = find_candidates(choice, service, tried, false, now);
    if (found.empty())
        found = find_candidates(choice, service, tried, true, now);
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

double cache_limit(std::uint32_t priority)
{
    // Requests that run grow by their answers, a fifth of their size.
    constexpr std::array limits{1.0, 1.0, 0.95};
    return limits[std::min<std::size_t>(priority, limits.size() - 1)];
}

base::duration wait_limit(std::uint32_t priority)
{
    using std::chrono::milliseconds;
    constexpr std::array limits{
        milliseconds(1200), milliseconds(900), milliseconds(600)};
    return limits[std::min<std::size_t>(priority, limits.size() - 1)];
}

path_choice choose_path(
    server_choice& choice,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::uint32_t priority,
    base::random_source& random,
    base::time_point now)
{
    std::vector<server_choice::candidate> without_tried;
    auto& cached = choice.paths[service.name];
    if (!tried.empty()) {
        without_tried = find_candidates(choice, service, tried, now);
    } else if (
        cached.changes != choice.changes || now >= cached.computed + path_age) {
        cached = {
            choice.changes, now, find_candidates(choice, service, tried, now)};
    }
    const auto& candidates = tried.empty() ? cached.candidates : without_tried;
    std::vector<double> weights;
    double total = 0;
    for (const auto& item : candidates) {
        const auto found =
            choice.first_event_waits.find(item.parts.front().address);
        const auto wait = found == choice.first_event_waits.end()
                              ? base::duration(0)
                              : found->second;
        const bool fits = item.fullest <= cache_limit(priority) &&
                          wait <= wait_limit(priority);
        const double slowed =
            1 + double(wait.count()) / double(halving_wait.count());
        weights.push_back(
            fits ? std::pow(1 / item.cost, path_preference) / slowed : 0);
        total += weights.back();
    }
    if (total <= 0)
        return {{}, !candidates.empty()};
    double drawn = random.unit() * total;
    std::size_t at = 0;
    while (at + 1 < candidates.size() && drawn >= weights[at])
        drawn -= weights[at++];
    return {candidates[at].parts, false};
}

fleet::path choose_continuation(
    const server_choice& choice,
    const wire::forwarding_service& service,
    const fleet::path_part& first,
    const std::set<wire::endpoint>& avoided,
    base::time_point now)
{
    auto candidates = find_candidates(choice, service, avoided, false, now);
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [&](auto& item) {
            return item.parts.front() == first;
        });
    return found == candidates.end() ? fleet::path{} : found->parts;
}

} // namespace oleanderhinge::gateway
