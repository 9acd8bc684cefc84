#include "oleanderhinge/gateway/internal/path_candidates.hpp"

#include "oleanderhinge/fleet/placement.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

namespace
{

double cache_use(const wire::server_record& record)
{
    if (!record.load || record.load->cache_total == 0)
        return 0;
    return double(record.load->cache_used) / double(record.load->cache_total);
}

// Expected time of one token in one layer, in milliseconds: the step time of
// the engine's profile, scaled by the running requests, the reported slowness
// and the use of the cache.
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
           (1 - std::min(cache_use(record), max_priced_cache_use));
}

double
highest_cache_use(const server_selector& selector, const fleet::path& parts)
{
    double highest = 0;
    for (const auto& part : parts)
        if (const auto found = selector.servers.servers.find(part.server);
            found != selector.servers.servers.end())
            highest = std::max(highest, cache_use(found->second.record));
    return highest;
}

// The cheapest path from each server that can be the first.
std::vector<server_selector::candidate> find_candidates(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool include_ejected,
    base::time_point now)
{
    const auto servers =
        path_servers(selector, service, tried, include_ejected, now, nullptr);
    std::vector<server_selector::candidate> found;
    for (auto& item : fleet::find_paths(
             servers,
             service.engine->layer_count,
             selector.home,
             fleet::costs_of(*service.engine))) {
        const auto cache_use = highest_cache_use(selector, item.parts);
        found.push_back({std::move(item.parts), item.cost, cache_use});
    }
    return found;
}

// Drops the paths that change the data centre, unless there is no other. The
// prompts on them would share one link with all others, and the passes of each
// first server, which run one after another, would wait for it.
void prefer_one_data_centre(std::vector<server_selector::candidate>& candidates)
{
    const auto crosses = [](const server_selector::candidate& item) {
        return !fleet::stays_in_one_data_centre(item.parts);
    };
    if (!std::all_of(candidates.begin(), candidates.end(), crosses))
        std::erase_if(candidates, crosses);
}

} // namespace

bool is_ejected(
    const server_selector& selector,
    const wire::endpoint& server,
    base::time_point now)
{
    const auto found = selector.health.find(server);
    return found != selector.health.end() && now < found->second.ejected_until;
}

std::vector<fleet::path_server> path_servers(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    bool include_ejected,
    base::time_point now,
    const base::backend_server_id* running_at)
{
    std::vector<fleet::path_server> found;
    const auto add = [&](const wire::server_record& record) {
        const wire::endpoint address{record.address, record.port};
        const auto* kind = fleet::find_kind(*service.engine, record.kind);
        if (kind == nullptr || record.layers == base::layer_range{} ||
            !fleet::can_hold(*service.engine, *kind, record.layers) ||
            tried.contains(address) ||
            (!accepts_requests(selector, record.id, now) &&
             (running_at == nullptr || record.id != *running_at)) ||
            (!include_ejected && is_ejected(selector, address, now)))
            return;
        found.push_back(
            {record.id,
             address,
             record.data_centre,
             record.layers,
             layer_time(*service.engine, *kind, record)});
    };
    fleet::visit_usable(selector.servers, service.name, add);
    return found;
}

std::vector<server_selector::candidate> find_candidates(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    base::time_point now)
{
    auto found = find_candidates(selector, service, tried, false, now);
    if (found.empty())
        found = find_candidates(selector, service, tried, true, now);
    prefer_one_data_centre(found);
    return found;
}

bool first_has_permit(
    const server_selector& selector,
    const server_selector::candidate& item,
    base::time_point now)
{
    return has_permit(
        selector.permits,
        incarnation_of(selector, item.parts.front().server),
        now);
}

std::vector<server_selector::candidate> find_permitted(
    const server_selector& selector,
    const wire::forwarding_service& service,
    const std::set<wire::endpoint>& tried,
    std::vector<server_selector::candidate> candidates,
    base::time_point now)
{
    const auto drop_others = [&] {
        std::erase_if(candidates, [&](const auto& item) {
            return !first_has_permit(selector, item, now);
        });
    };
    drop_others();
    for (const bool include_ejected : {false, true}) {
        if (!candidates.empty())
            break;
        candidates =
            find_candidates(selector, service, tried, include_ejected, now);
        drop_others();
        prefer_one_data_centre(candidates);
    }
    return candidates;
}

} // namespace oleanderhinge::gateway
