#include "oleanderhinge/gateway/server_choice.hpp"

#include "oleanderhinge/base/decay.hpp"
#include "oleanderhinge/gateway/internal/path_candidates.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace oleanderhinge::gateway
{

namespace
{

double decay_factor(const server_health& health, base::time_point now)
{
    return base::decay_factor(now - health.updated, health_half_life);
}

void update_failure_rate(
    server_health& health, bool failed, base::time_point now)
{
    constexpr double weight = 0.2;
    const double before = health.failure_rate * decay_factor(health, now);
    health.failure_rate = before + weight * ((failed ? 1.0 : 0.0) - before);
    health.updated = now;
}

void update_latency(server_health& health, double latency_ms)
{
    constexpr double weight = 0.2;
    health.latency_ms =
        health.latency_ms == 0
            ? latency_ms
            : health.latency_ms + weight * (latency_ms - health.latency_ms);
}

double request_cost(
    const server_selector& selector,
    const wire::server_record& record,
    base::time_point now)
{
    double cost = record.data_centre == selector.home ? 1 : remote_cost_factor;
    const auto found = selector.health.find({record.address, record.port});
    if (found == selector.health.end())
        return cost;
    const auto& health = found->second;
    cost *= 1 + health.in_progress;
    cost *=
        1 + failure_penalty * health.failure_rate * decay_factor(health, now);
    // An unknown latency is 0, so that new servers are preferred until it is
    // known.
    return cost * std::max(health.latency_ms, 1.0);
}

bool accepts_requests(
    const server_selector& selector,
    const wire::server_record& record,
    base::time_point now)
{
    return accepts_requests(
        selector.signals, {record.id, record.started_ms}, now);
}

bool has_permit(
    const server_selector& selector,
    const wire::server_record& record,
    base::time_point now)
{
    return has_permit(selector.permits, {record.id, record.started_ms}, now);
}

// Wait for a first event that a new request on a path has to expect.
base::duration first_event_wait(
    const server_selector& selector,
    const fleet::path_part& first,
    base::time_point now)
{
    const auto expected =
        expected_wait(selector.ended_waits, first.data_centre, now);
    const auto found = selector.first_event_waits.find(first.address);
    return found == selector.first_event_waits.end()
               ? expected
               : std::max(expected, found->second);
}

// A server of a plain service runs a stream by itself.
path_choice choose_plain_path(
    const server_selector& selector,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    base::random_source& random,
    base::time_point now)
{
    const auto server = choose_server(selector, service, tried, random, now);
    if (!server)
        return {};
    return {
        .parts = {
            {server->id,
             server->address,
             data_centre_of(selector, server->id),
             {}}}};
}

} // namespace

fleet::report_outcome apply_record(
    server_selector& selector,
    const wire::server_record& record,
    base::time_point now)
{
    const auto outcome = fleet::apply(
        selector.servers,
        record,
        now - std::chrono::milliseconds(record.age_ms));
    if (outcome == fleet::report_outcome::changed) {
        ++selector.generation;
        // Failures of an earlier process at this address do not apply to a new
        // one.
        auto& health = selector.health[{record.address, record.port}];
        health.ejected_until = {};
        health.failures_in_a_row = 0;
        forget_others(selector.signals, incarnation_of(selector, record.id));
    }
    return outcome;
}

void forget_old_servers(server_selector& selector)
{
    const auto before = selector.servers.servers.size();
    fleet::expire(selector.servers, selector.servers.newest);
    if (selector.servers.servers.size() == before)
        return;
    std::set<wire::endpoint> known;
    for (const auto& [id, server] : selector.servers.servers)
        known.insert(fleet::address_of(server.record));
    std::erase_if(selector.health, [&](const auto& item) {
        return item.second.in_progress == 0 && !known.contains(item.first);
    });
    forget_absent(selector.signals, [&](const base::backend_server_id& id) {
        return selector.servers.servers.contains(id);
    });
    ++selector.generation;
}

void note_started(server_selector& selector, const wire::endpoint& server)
{
    ++selector.health[server].in_progress;
}

void note_ended(server_selector& selector, const wire::endpoint& server)
{
    --selector.health[server].in_progress;
}

void note_outrun(
    server_selector& selector, const wire::endpoint& server, double time_ms)
{
    auto& health = selector.health[server];
    if (time_ms > health.latency_ms)
        update_latency(health, time_ms);
}

void note_success(
    server_selector& selector,
    const wire::endpoint& server,
    double latency_ms,
    base::time_point now)
{
    auto& health = selector.health[server];
    update_failure_rate(health, false, now);
    health.failures_in_a_row = 0;
    update_latency(health, latency_ms);
}

void note_failure(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now)
{
    auto& health = selector.health[server];
    update_failure_rate(health, true, now);
    const auto doublings = std::min(health.failures_in_a_row, 8U);
    ++health.failures_in_a_row;
    health.ejected_until =
        now + std::min(initial_ejection * (1 << doublings), max_ejection);
    ++selector.generation;
}

void note_refusal(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now)
{
    auto& health = selector.health[server];
    health.ejected_until =
        std::max(health.ejected_until, now + refusal_ejection);
    ++selector.generation;
}

void note_error(
    server_selector& selector,
    const wire::endpoint& server,
    base::time_point now)
{
    update_failure_rate(selector.health[server], true, now);
}

base::data_centre_id data_centre_of(
    const server_selector& selector, const base::backend_server_id& id)
{
    const auto found = selector.servers.servers.find(id);
    return found == selector.servers.servers.end()
               ? base::data_centre_id{}
               : found->second.record.data_centre;
}

server_incarnation incarnation_of(
    const server_selector& selector, const base::backend_server_id& id)
{
    const auto found = selector.servers.servers.find(id);
    return {
        id,
        found == selector.servers.servers.end()
            ? 0
            : found->second.record.started_ms};
}

bool accepts_requests(
    const server_selector& selector,
    const base::backend_server_id& id,
    base::time_point now)
{
    return accepts_requests(
        selector.signals, incarnation_of(selector, id), now);
}

std::optional<base::time_point> backoff_end(
    const server_selector& selector,
    const wire::forwarding_service& service,
    base::time_point now)
{
    std::optional<base::time_point> first;
    bool any_accepts = false;
    const auto consider = [&](const wire::server_record& record) {
        any_accepts |= accepts_requests(selector, record, now);
        const auto end =
            backoff_end(selector.signals, {record.id, record.started_ms}, now);
        if (end && (!first || *end < *first))
            first = end;
    };
    fleet::visit_usable(selector.servers, service.name, consider);
    const bool usable =
        service.engine && first
            ? !find_candidates(selector, service, {}, now).empty()
            : any_accepts;
    return usable ? std::nullopt : first;
}

std::size_t
count_excluded(const server_selector& selector, base::time_point now)
{
    std::size_t count = 0;
    for (const auto& [id, server] : selector.servers.servers)
        if (server.record.state == wire::reported_state::ready &&
            fleet::is_alive(selector.servers, server) &&
            !accepts_requests(selector, server.record, now))
            ++count;
    return count;
}

std::optional<chosen_server> choose_server(
    const server_selector& selector,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    base::random_source& random,
    base::time_point now)
{
    std::optional<chosen_server> best;
    double least_cost = 0;
    bool best_ejected = true;
    const auto consider = [&](const wire::server_record& record) {
        const wire::endpoint address{record.address, record.port};
        if (tried.contains(address) ||
            !accepts_requests(selector, record, now) ||
            !has_permit(selector, record, now))
            return;
        const bool ejected = is_ejected(selector, address, now);
        // Up to 10 % of random noise, so that gateways do not all choose the
        // same server.
        const double cost =
            request_cost(selector, record, now) * (1 + random.unit() / 10);
        if (best && (ejected > best_ejected ||
                     (ejected == best_ejected && cost >= least_cost)))
            return;
        best = {record.id, address};
        least_cost = cost;
        best_ejected = ejected;
    };
    fleet::visit_usable(selector.servers, service, consider);
    return best;
}

double cache_limit(std::uint32_t priority)
{
    // Running requests grow by their answers, a fifth of their size.
    constexpr std::array limits{1.0, 1.0, 0.95};
    return limits[std::min<std::size_t>(priority, limits.size() - 1)];
}

path_choice choose_path(
    server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::uint32_t priority,
    base::random_source& random,
    base::time_point now,
    base::duration target)
{
    if (!service.engine)
        return choose_plain_path(selector, service.name, tried, random, now);
    std::vector<server_selector::candidate> uncached;
    auto& cached = selector.paths[service.name];
    if (!tried.empty()) {
        uncached = find_candidates(selector, service, tried, now);
    } else if (
        cached.generation != selector.generation ||
        now >= cached.computed + path_cache_time) {
        cached = {
            selector.generation,
            now,
            find_candidates(selector, service, tried, now)};
    }
    const auto* found = tried.empty() ? &cached.candidates : &uncached;
    const bool any_paths = !found->empty();
    if (!std::ranges::all_of(*found, [&](const auto& item) {
            return first_has_permit(selector, item, now);
        })) {
        uncached = find_permitted(selector, service, tried, *found, now);
        found = &uncached;
    }
    const auto& candidates = *found;
    std::vector<double> weights;
    double total = 0;
    for (const auto& item : candidates) {
        const auto wait = first_event_wait(selector, item.parts.front(), now);
        const bool fits = item.cache_use <= cache_limit(priority) &&
                          wait <= wait_limit(priority, target);
        const double wait_factor =
            1 + double(wait.count()) / double(weight_halving_wait.count());
        weights.push_back(
            fits ? std::pow(1 / item.token_ms, path_weight_exponent) /
                       wait_factor
                 : 0);
        total += weights.back();
    }
    if (total <= 0)
        return {
            .overloaded = !candidates.empty(),
            .limited = any_paths && candidates.empty()};
    double drawn = random.unit() * total;
    std::size_t index = 0;
    while (index + 1 < candidates.size() && drawn >= weights[index])
        drawn -= weights[index++];
    const auto& drawn_path = candidates[index].parts;
    if (!take_crossing(
            selector.crossings,
            crossing_bits(*service.engine, drawn_path),
            *service.engine,
            selector.gateways,
            now))
        return {.overloaded = true};
    return {
        .parts = drawn_path,
        .expected_wait = first_event_wait(selector, drawn_path.front(), now),
        .token_ms = candidates[index].token_ms};
}

server_standing
standing_of(const server_selector& selector, const base::backend_server_id& id)
{
    const auto found = selector.servers.servers.find(id);
    if (found == selector.servers.servers.end())
        return server_standing::sound;
    const auto& record = found->second.record;
    const auto signal = selector.signals.servers.find(id);
    // Some servers announce their end only by ending their registration.
    if (record.state != wire::reported_state::ready ||
        (signal != selector.signals.servers.end() && signal->second.leaving &&
         signal->second.started_ms == record.started_ms))
        return server_standing::leaving;
    return fleet::is_alive(selector.servers, found->second)
               ? server_standing::sound
               : server_standing::lost;
}

fleet::path choose_continuation(
    server_selector& selector,
    const wire::forwarding_service& service,
    const fleet::path& present,
    const std::set<wire::endpoint>& avoided,
    base::time_point now)
{
    const auto& first = present.front();
    auto servers =
        path_servers(selector, service, avoided, false, now, &first.server);
    for (auto& server : servers)
        if (std::ranges::find(present, server.id, &fleet::path_part::server) !=
            present.end())
            server.ms_per_layer *= kept_part_factor;
    auto candidates = fleet::find_paths(
        servers,
        service.engine->layer_count,
        selector.home,
        fleet::costs_of(*service.engine));
    const auto found = std::ranges::find_if(candidates, [&](const auto& item) {
        return item.parts.front() == first;
    });
    if (found == candidates.end())
        return {};
    const double added = crossing_bits(*service.engine, found->parts) -
                         crossing_bits(*service.engine, present);
    return take_crossing(
               selector.crossings,
               added,
               *service.engine,
               selector.gateways,
               now)
               ? std::move(found->parts)
               : fleet::path{};
}

} // namespace oleanderhinge::gateway
