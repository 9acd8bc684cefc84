#include "oleanderhinge/routing/view.hpp"

#include "oleanderhinge/routing/internal/server.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleanderhinge::routing
{

namespace
{

using internal::group;
using internal::server_entry;
using internal::slot;

// Most dispatches that are remembered until the next report.
constexpr std::size_t max_sent = 1024;
// Shares of the traffic after an ejection, one return step each.
constexpr double return_shares[] = {0.1, 0.25, 0.5};
constexpr std::size_t return_share_count = std::size(return_shares);

template <class Visitor>
void for_each_group(view& v, const server_info& info, Visitor visit)
{
    if (info.kind == base::route_kind::service) {
        visit(v.services[info.service]);
        return;
    }
    visit(v.models[{info.model, info.version, ""}][info.layers]);
    for (const auto& adapter : info.adapters)
        if (!adapter.empty())
            visit(v.models[{info.model, info.version, adapter}][info.layers]);
}

void remove_from(std::vector<slot>& list, slot at)
{
    const auto it = std::find(list.begin(), list.end(), at);
    if (it == list.end())
        return;
    *it = list.back();
    list.pop_back();
}

template <class Key>
void remove_from(
    std::unordered_map<Key, std::vector<slot>>& lists, const Key& key, slot at)
{
    const auto it = lists.find(key);
    if (it == lists.end())
        return;
    remove_from(it->second, at);
    if (it->second.empty())
        lists.erase(it);
}

void add_to_groups(view& v, slot at)
{
    const auto& info = v.servers[at].info;
    for_each_group(v, info, [&](group& g) {
        // An adapter that is announced twice counts once.
        if (!g.all.empty() && g.all.back() == at)
            return;
        g.all.push_back(at);
        g.by_data_centre[info.data_centre].push_back(at);
        g.by_region[info.region].push_back(at);
    });
}

void drop_empty_groups(view& v, const server_info& info)
{
    if (info.kind == base::route_kind::service) {
        if (v.services[info.service].all.empty())
            v.services.erase(info.service);
        return;
    }
    auto adapters = info.adapters;
    adapters.emplace_back();
    for (const auto& adapter : adapters) {
        const auto it = v.models.find({info.model, info.version, adapter});
        if (it == v.models.end())
            continue;
        const auto range = it->second.find(info.layers);
        if (range != it->second.end() && range->second.all.empty())
            it->second.erase(range);
        if (it->second.empty())
            v.models.erase(it);
    }
}

void remove_from_groups(view& v, slot at)
{
    const server_info info = v.servers[at].info;
    for_each_group(v, info, [&](group& g) {
        remove_from(g.all, at);
        remove_from(g.by_data_centre, info.data_centre, at);
        remove_from(g.by_region, info.region, at);
    });
    drop_empty_groups(v, info);
}

bool is_same_place(const server_info& a, const server_info& b)
{
    return a.kind == b.kind && a.model == b.model && a.version == b.version &&
           a.adapters == b.adapters && a.layers == b.layers &&
           a.service == b.service && a.data_centre == b.data_centre &&
           a.region == b.region;
}

slot take_slot(view& v)
{
    if (v.unused.empty()) {
        v.servers.emplace_back();
        return slot(v.servers.size() - 1);
    }
    const slot at = v.unused.back();
    v.unused.pop_back();
    return at;
}

server_entry* find(view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    return it == v.by_id.end() ? nullptr : &v.servers[it->second];
}

void set_load(
    const view_options& options,
    server_entry& server,
    const wire::load_report& load,
    base::time_point now)
{
    server.info.load = load;
    server.ended = 0;
    const auto included = now - options.report_lag;
    std::erase_if(
        server.sent, [&](base::time_point at) { return at <= included; });
}

// Whether one more server of the stage may be ejected.
bool may_eject(view& v, const server_info& info, base::time_point now)
{
    const auto& all =
        info.kind == base::route_kind::service
            ? v.services[info.service].all
            : v.models[{info.model, info.version, ""}][info.layers].all;
    const auto ejected = std::count_if(all.begin(), all.end(), [&](slot at) {
        return v.servers[at].ejected_until > now;
    });
    return (std::size_t(ejected) + 1) * 3 <= all.size();
}

void eject(view& v, server_entry& server, base::time_point now)
{
    if (!may_eject(v, server.info, now))
        return;
    const auto doublings = std::min(server.ejections, 10U);
    const auto length = std::min(
        v.options.max_ejection_time,
        v.options.ejection_time * (std::int64_t(1) << doublings));
    ++server.ejections;
    server.consecutive_failures = 0;
    server.ejected_until = now + length;
}

} // namespace

namespace internal
{

bool is_usable(const server_entry& server, base::time_point now)
{
    return server.used && server.info.state == wire::server_state::serving &&
           server.info.expires > now;
}

double health_share(
    const view_options& options,
    const server_entry& server,
    base::time_point now)
{
    if (server.ejections == 0)
        return 1;
    if (now < server.ejected_until)
        return 0;
    const auto step =
        std::size_t((now - server.ejected_until) / options.return_step);
    return step < return_share_count ? return_shares[step] : 1;
}

double requests_at(
    const view_options& options,
    const server_entry& server,
    base::rank work_rank)
{
    const auto& info = server.info;
    // A coarse report has no queues by rank; then the whole queue counts.
    double waiting = 0;
    double ahead = 0;
    for (std::size_t r = 0; r < base::rank_count; ++r) {
        waiting += info.load.queued_by_rank[r];
        if (r <= std::size_t(work_rank))
            ahead += info.load.queued_by_rank[r];
    }
    const double reported = double(info.load.in_progress) +
                            (waiting > 0 ? ahead : info.load.queued);
    if (!options.load_correction)
        return reported;
    return std::max(0.0, reported + double(server.sent.size()) - server.ended);
}

} // namespace internal

server_info
to_server_info(const wire::announcement& message, base::time_point expires)
{
    server_info info;
    info.id = message.server;
    info.agent_incarnation = message.agent_incarnation;
    info.agent = message.agent;
    info.data_centre = message.data_centre;
    info.region = message.region;
    info.state = message.state;
    info.kind = message.kind;
    info.model = message.model;
    info.version = message.version;
    info.adapters = message.adapters;
    info.layers = message.layers;
    info.layer_count = message.layer_count;
    info.speed_percent = message.speed_percent;
    info.service = message.service;
    info.load = message.load;
    info.expires = expires;
    return info;
}

void put_server(view& v, const server_info& info, base::time_point now)
{
    auto* known = find(v, info.id);
    if (known != nullptr && is_same_place(known->info, info)) {
        const bool restarted =
            known->info.agent_incarnation != info.agent_incarnation;
        if (restarted) {
            *known = server_entry{};
            known->used = true;
            forget_server(v.prefixes, info.id);
        }
        known->info = info;
        set_load(v.options, *known, info.load, now);
        return;
    }
    if (known != nullptr)
        remove_server(v, info.id);
    const slot at = take_slot(v);
    v.servers[at] = server_entry{};
    v.servers[at].info = info;
    v.servers[at].used = true;
    v.by_id[info.id] = at;
    add_to_groups(v, at);
}

void remove_server(view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    if (it == v.by_id.end())
        return;
    const slot at = it->second;
    remove_from_groups(v, at);
    forget_server(v.prefixes, id);
    v.by_id.erase(it);
    v.servers[at] = server_entry{};
    v.unused.push_back(at);
}

void update_load(
    view& v,
    const base::backend_server_id& id,
    base::incarnation agent_incarnation,
    const wire::load_report& load,
    base::time_point now)
{
    auto* server = find(v, id);
    if (server != nullptr &&
        server->info.agent_incarnation == agent_incarnation)
        set_load(v.options, *server, load, now);
}

void note_sent(view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find(v, id);
    if (server != nullptr && server->sent.size() < max_sent)
        server->sent.push_back(now);
}

void note_ended(view& v, const base::backend_server_id& id)
{
    auto* server = find(v, id);
    if (server != nullptr)
        ++server->ended;
}

void note_refused(
    view& v,
    const base::backend_server_id& id,
    base::rank work_rank,
    std::chrono::milliseconds retry_after,
    base::time_point now)
{
    auto* server = find(v, id);
    if (server != nullptr)
        server->refused_until[std::size_t(work_rank)] =
            now +
            std::min<base::duration>(retry_after, v.options.max_refusal_memory);
}

void note_success(
    view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find(v, id);
    if (server == nullptr)
        return;
    server->consecutive_failures = 0;
    // A success of a request from before the ejection proves nothing.
    if (server->ejections > 0 &&
        internal::health_share(v.options, *server, now) >= 1)
        server->ejections = 0;
}

void note_failure(
    view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find(v, id);
    if (server == nullptr || now < server->ejected_until)
        return;
    ++server->consecutive_failures;
    server->last_failure = now;
    const bool returning = internal::health_share(v.options, *server, now) < 1;
    if (returning ||
        server->consecutive_failures >= v.options.failures_to_eject)
        eject(v, *server, now);
}

double estimated_requests(const view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    return it == v.by_id.end()
               ? 0
               : internal::requests_at(
                     v.options, v.servers[it->second], base::rank::deferrable);
}

double traffic_share(
    const view& v, const base::backend_server_id& id, base::time_point now)
{
    const auto it = v.by_id.find(id);
    if (it == v.by_id.end() || !internal::is_usable(v.servers[it->second], now))
        return 0;
    return internal::health_share(v.options, v.servers[it->second], now);
}

} // namespace oleanderhinge::routing
