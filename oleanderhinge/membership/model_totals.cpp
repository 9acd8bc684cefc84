#include "oleanderhinge/membership/model_totals.hpp"

#include "oleanderhinge/membership/internal/datagram.hpp"
#include "oleanderhinge/membership/registrar.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

std::uint32_t free_slots(const wire::load_report& load)
{
    return load.limit > load.in_progress ? load.limit - load.in_progress : 0;
}

// Free slots of each layer range between two adjacent boundaries of the
// servers' ranges, by the first layer. The last key is the end of the last
// range.
std::map<std::uint32_t, std::uint32_t>
free_by_boundary(const std::vector<server_entry_ptr>& servers)
{
    std::map<std::uint32_t, std::uint32_t> free;
    for (const auto& entry : servers) {
        free[0];
        free[entry->last.layers.first.value()];
        free[entry->last.layers.end.value()];
        free[entry->last.layer_count];
    }
    for (const auto& entry : servers) {
        const auto& layers = entry->last.layers;
        const auto slots = free_slots(entry->last.load);
        for (auto at = free.find(layers.first.value());
             at != free.end() && at->first < layers.end.value();
             ++at)
            at->second += slots;
    }
    return free;
}

} // namespace

wire::model_total total_of(const std::vector<server_entry_ptr>& servers)
{
    wire::model_total total;
    if (servers.empty())
        return total;
    total.model = servers.front()->last.model;
    total.version = servers.front()->last.version;
    total.servers = std::uint32_t(servers.size());
    const auto free = free_by_boundary(servers);
    bool first = true;
    for (auto at = free.begin(); std::next(at) != free.end(); ++at) {
        if (!first && at->second >= total.free_slots)
            continue;
        first = false;
        total.free_slots = at->second;
        total.worst_stage = {
            base::layer_index{at->first},
            base::layer_index{std::next(at)->first}};
    }
    return total;
}

std::vector<wire::model_total>
total_models(const directory_snapshot& view, base::time_point now)
{
    using key = std::tuple<base::model_id, std::string>;
    std::map<key, std::vector<server_entry_ptr>> groups;
    for (const auto& part : view.parts)
        for (const auto& [model, entries] : part->models)
            for (const auto& entry : entries)
                if (entry->last.state == wire::server_state::serving &&
                    entry->expires > now)
                    groups[{model, entry->last.version}].push_back(entry);
    std::vector<wire::model_total> totals;
    totals.reserve(groups.size());
    for (const auto& [name, entries] : groups)
        totals.push_back(total_of(entries));
    return totals;
}

std::vector<wire::model_summary> make_summaries(
    summary_sender& sender, const std::vector<wire::model_total>& totals)
{
    ++sender.sequence;
    const wire::model_summary empty{
        .data_centre = sender.data_centre,
        .sender_incarnation = sender.own_incarnation,
        .sequence = sender.sequence};
    const auto empty_size = wire::to_bytes(empty).size();
    std::vector<wire::model_summary> summaries;
    std::size_t used = 0;
    for (const auto& total : totals) {
        const auto bytes = wire::to_bytes(total).size();
        if (summaries.empty() || used + bytes > internal::datagram_payload) {
            summaries.push_back(empty);
            used = empty_size;
        }
        used += bytes;
        summaries.back().models.push_back(total);
    }
    return summaries;
}

bool sends_summary(
    const wire::endpoint& self,
    const std::vector<wire::endpoint>& nodes,
    const base::data_centre_id& own,
    const base::data_centre_id& other)
{
    const auto chosen =
        choose_nodes(own.value() + ">" + other.value(), nodes, 1);
    return !chosen.empty() && chosen.front() == self;
}

bool apply_summary(
    remote_models& remote,
    const wire::model_summary& summary,
    base::time_point now)
{
    const auto made = now - std::chrono::milliseconds(summary.age_ms);
    bool any_newer = false;
    for (const auto& total : summary.models) {
        const remote_model_key key{
            summary.data_centre, total.model, total.version};
        const auto at = remote.models.find(key);
        if (at == remote.models.end() &&
            remote.models.size() >= remote.max_models)
            continue;
        // When the sender fails, another one with its own sequence takes over;
        // the time at which the summary was made is compared instead.
        const bool same_sender =
            at != remote.models.end() &&
            at->second.sender == summary.sender_incarnation;
        const bool newer = at == remote.models.end() ||
                           (same_sender ? summary.sequence > at->second.sequence
                                        : made > at->second.made);
        if (!newer || made + remote.lease <= now) {
            ++remote.outdated;
            continue;
        }
        remote.models[key] = {
            total, made, summary.sender_incarnation, summary.sequence};
        any_newer = true;
    }
    return any_newer;
}

void expire(remote_models& remote, base::time_point now)
{
    std::erase_if(remote.models, [&](const auto& item) {
        return item.second.made + remote.lease <= now;
    });
}

std::vector<std::pair<base::data_centre_id, wire::model_total>>
data_centres_of_model(
    const remote_models& remote,
    const base::model_id& model,
    std::string_view version,
    base::time_point now)
{
    std::vector<std::pair<base::data_centre_id, wire::model_total>> found;
    for (const auto& [key, item] : remote.models)
        if (key.model == model && (version.empty() || key.version == version) &&
            item.made + remote.lease > now)
            found.emplace_back(key.data_centre, item.total);
    std::stable_sort(found.begin(), found.end(), [](auto& a, auto& b) {
        return a.second.free_slots > b.second.free_slots;
    });
    return found;
}

} // namespace oleanderhinge::membership
