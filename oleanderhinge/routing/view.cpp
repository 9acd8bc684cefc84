#include "oleanderhinge/routing/view.hpp"

#include "oleanderhinge/routing/internal/server.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleanderhinge::routing
{

namespace
{

using internal::server_entry;
using internal::server_group;
using internal::server_index;

// Limit of the send times kept per server until its next load report.
constexpr std::size_t max_unreported_sends = 1024;
// Traffic shares after an ejection, for one
// `server_view_options::recovery_step` each.
constexpr double recovery_shares[] = {0.1, 0.25, 0.5};
constexpr std::size_t recovery_share_count = std::size(recovery_shares);

template <class Visitor>
void for_each_group(server_view& v, const server_info& info, Visitor visit)
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

void remove_from(std::vector<server_index>& list, server_index index)
{
    const auto it = std::find(list.begin(), list.end(), index);
    if (it == list.end())
        return;
    *it = list.back();
    list.pop_back();
}

template <class Key>
void remove_from(
    std::unordered_map<Key, std::vector<server_index>>& lists,
    const Key& key,
    server_index index)
{
    const auto it = lists.find(key);
    if (it == lists.end())
        return;
    remove_from(it->second, index);
    if (it->second.empty())
        lists.erase(it);
}

void add_to_groups(server_view& v, server_index index)
{
    const auto& info = v.servers[index].info;
    for_each_group(v, info, [&](server_group& group) {
        // An adapter that is announced twice is indexed once.
        if (!group.all.empty() && group.all.back() == index)
            return;
        group.all.push_back(index);
        group.by_data_centre[info.data_centre].push_back(index);
        group.by_region[info.region].push_back(index);
    });
}

void drop_empty_groups(server_view& v, const server_info& info)
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

void remove_from_groups(server_view& v, server_index index)
{
    const server_info info = v.servers[index].info;
    for_each_group(v, info, [&](server_group& group) {
        remove_from(group.all, index);
        remove_from(group.by_data_centre, info.data_centre, index);
        remove_from(group.by_region, info.region, index);
    });
    drop_empty_groups(v, info);
}

bool has_same_index_keys(const server_info& a, const server_info& b)
{
    return a.kind == b.kind && a.model == b.model && a.version == b.version &&
           a.adapters == b.adapters && a.layers == b.layers &&
           a.service == b.service && a.data_centre == b.data_centre &&
           a.region == b.region;
}

server_index take_index(server_view& v)
{
    if (v.free_indices.empty()) {
        v.servers.emplace_back();
        return server_index(v.servers.size() - 1);
    }
    const server_index index = v.free_indices.back();
    v.free_indices.pop_back();
    return index;
}

server_entry* find_server(server_view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    return it == v.by_id.end() ? nullptr : &v.servers[it->second];
}

void set_load(
    const server_view_options& options,
    server_entry& server,
    const wire::load_report& load,
    base::time_point now)
{
    server.info.load = load;
    server.ended_since_report = 0;
    const auto included = now - options.report_lag;
    std::erase_if(server.unreported_sends, [&](base::time_point sent_at) {
        return sent_at <= included;
    });
}

// Whether one more server of the layer range or service may be ejected: at most
// a third of its servers are ejected at a time.
bool may_eject(server_view& v, const server_info& info, base::time_point now)
{
    const auto& all =
        info.kind == base::route_kind::service
            ? v.services[info.service].all
            : v.models[{info.model, info.version, ""}][info.layers].all;
    const auto ejected =
        std::count_if(all.begin(), all.end(), [&](server_index index) {
            return v.servers[index].ejected_until > now;
        });
    return (std::size_t(ejected) + 1) * 3 <= all.size();
}

void eject(server_view& v, server_entry& server, base::time_point now)
{
    if (!may_eject(v, server.info, now))
        return;
    const auto doublings = std::min(server.consecutive_ejections, 10U);
    const auto length = std::min(
        v.options.max_ejection_time,
        v.options.ejection_time * (std::int64_t(1) << doublings));
    ++server.consecutive_ejections;
    server.consecutive_failures = 0;
    server.ejected_until = now + length;
}

} // namespace

namespace internal
{

bool is_usable(const server_entry& server, base::time_point now)
{
    return server.occupied &&
           server.info.state == wire::server_state::serving &&
           server.info.expires > now;
}

double allowed_traffic_share(
    const server_view_options& options,
    const server_entry& server,
    base::time_point now)
{
    if (server.consecutive_ejections == 0)
        return 1;
    if (now < server.ejected_until)
        return 0;
    const auto step =
        std::size_t((now - server.ejected_until) / options.recovery_step);
    return step < recovery_share_count ? recovery_shares[step] : 1;
}

double competing_requests(
    const server_view_options& options,
    const server_entry& server,
    base::rank work_rank)
{
    const auto& info = server.info;
    // If a report has no queue lengths by rank, the whole queue counts.
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
    return std::max(
        0.0,
        reported + double(server.unreported_sends.size()) -
            server.ended_since_report);
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

void put_server(server_view& v, const server_info& info, base::time_point now)
{
    auto* known = find_server(v, info.id);
    if (known != nullptr && has_same_index_keys(known->info, info)) {
        const bool restarted =
            known->info.agent_incarnation != info.agent_incarnation;
        if (restarted) {
            *known = server_entry{};
            known->occupied = true;
            drop_server(v.prefixes, info.id);
        }
        known->info = info;
        set_load(v.options, *known, info.load, now);
        return;
    }
    if (known != nullptr)
        remove_server(v, info.id);
    const server_index index = take_index(v);
    v.servers[index] = server_entry{};
    v.servers[index].info = info;
    v.servers[index].occupied = true;
    v.by_id[info.id] = index;
    add_to_groups(v, index);
}

void remove_server(server_view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    if (it == v.by_id.end())
        return;
    const server_index index = it->second;
    remove_from_groups(v, index);
    drop_server(v.prefixes, id);
    v.by_id.erase(it);
    v.servers[index] = server_entry{};
    v.free_indices.push_back(index);
}

void update_load(
    server_view& v,
    const base::backend_server_id& id,
    base::incarnation agent_incarnation,
    const wire::load_report& load,
    base::time_point now)
{
    auto* server = find_server(v, id);
    if (server != nullptr &&
        server->info.agent_incarnation == agent_incarnation)
        set_load(v.options, *server, load, now);
}

void note_sent(
    server_view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find_server(v, id);
    if (server != nullptr &&
        server->unreported_sends.size() < max_unreported_sends)
        server->unreported_sends.push_back(now);
}

void note_ended(server_view& v, const base::backend_server_id& id)
{
    auto* server = find_server(v, id);
    if (server != nullptr)
        ++server->ended_since_report;
}

void note_refused(
    server_view& v,
    const base::backend_server_id& id,
    base::rank work_rank,
    std::chrono::milliseconds retry_after,
    base::time_point now)
{
    auto* server = find_server(v, id);
    if (server != nullptr)
        server->refused_until[std::size_t(work_rank)] =
            now + std::min<base::duration>(
                      retry_after, v.options.max_refusal_penalty_time);
}

void note_success(
    server_view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find_server(v, id);
    if (server == nullptr)
        return;
    server->consecutive_failures = 0;
    // A success before full traffic may be of a request from before the
    // ejection and does not end the series of ejections.
    if (server->consecutive_ejections > 0 &&
        internal::allowed_traffic_share(v.options, *server, now) >= 1)
        server->consecutive_ejections = 0;
}

void note_failure(
    server_view& v, const base::backend_server_id& id, base::time_point now)
{
    auto* server = find_server(v, id);
    if (server == nullptr || now < server->ejected_until)
        return;
    ++server->consecutive_failures;
    server->last_failure = now;
    const bool recovering =
        internal::allowed_traffic_share(v.options, *server, now) < 1;
    if (recovering ||
        server->consecutive_failures >= v.options.failures_to_eject)
        eject(v, *server, now);
}

double
estimated_requests(const server_view& v, const base::backend_server_id& id)
{
    const auto it = v.by_id.find(id);
    return it == v.by_id.end()
               ? 0
               : internal::competing_requests(
                     v.options, v.servers[it->second], base::rank::deferrable);
}

double traffic_share(
    const server_view& v,
    const base::backend_server_id& id,
    base::time_point now)
{
    const auto it = v.by_id.find(id);
    if (it == v.by_id.end() || !internal::is_usable(v.servers[it->second], now))
        return 0;
    return internal::allowed_traffic_share(
        v.options, v.servers[it->second], now);
}

} // namespace oleanderhinge::routing
