#include "oleanderhinge/membership/directory_query.hpp"

#include <algorithm>
#include <iterator>

namespace oleanderhinge::membership
{

namespace
{

bool by_name(const server_entry_ptr& a, const server_entry_ptr& b)
{
    return a->last.server < b->last.server;
}

bool usable(const server_entry& entry, base::time_point now)
{
    return entry.last.state == wire::server_state::serving &&
           entry.expires > now;
}

} // namespace

directory_part take_part(const directory& servers)
{
    directory_part part;
    part.entries.reserve(servers.servers.size());
    for (const auto& [id, entry] : servers.servers)
        part.entries.push_back(entry);
    std::sort(part.entries.begin(), part.entries.end(), by_name);
    for (const auto& entry : part.entries) {
        if (entry->last.kind == base::route_kind::model)
            part.models[entry->last.model].push_back(entry);
        else
            part.services[entry->last.service].push_back(entry);
    }
    return part;
}

directory_snapshot take_snapshot(const directory& servers)
{
    return {
        {std::make_shared<const directory_part>(take_part(servers))},
        servers.highest_config};
}

std::size_t size(const directory_snapshot& view)
{
    std::size_t total = 0;
    for (const auto& part : view.parts)
        total += part->entries.size();
    return total;
}

server_entry_ptr
find(const directory_snapshot& view, const base::backend_server_id& server)
{
    for (const auto& part : view.parts) {
        const auto& entries = part->entries;
        const auto at = std::lower_bound(
            entries.begin(),
            entries.end(),
            server,
            [](const server_entry_ptr& entry, const auto& name) {
                return entry->last.server < name;
            });
        if (at != entries.end() && (*at)->last.server == server)
            return *at;
    }
    return nullptr;
}

std::vector<server_entry_ptr>
live_servers(const directory_snapshot& view, base::time_point now)
{
    std::vector<server_entry_ptr> found;
    for (const auto& part : view.parts)
        std::copy_if(
            part->entries.begin(),
            part->entries.end(),
            std::back_inserter(found),
            [&](const auto& entry) { return entry->expires > now; });
    return found;
}

std::vector<server_entry_ptr> servers_of_model(
    const directory_snapshot& view,
    const base::model_id& model,
    std::string_view version,
    base::time_point now)
{
    std::vector<server_entry_ptr> found;
    for (const auto& part : view.parts) {
        const auto at = part->models.find(model);
        if (at == part->models.end())
            continue;
        for (const auto& entry : at->second)
            if (usable(*entry, now) &&
                (version.empty() || entry->last.version == version))
                found.push_back(entry);
    }
    return found;
}

std::vector<server_entry_ptr> servers_of_service(
    const directory_snapshot& view,
    std::string_view service,
    base::time_point now)
{
    std::vector<server_entry_ptr> found;
    for (const auto& part : view.parts) {
        const auto at = part->services.find(service);
        if (at == part->services.end())
            continue;
        for (const auto& entry : at->second)
            if (usable(*entry, now))
                found.push_back(entry);
    }
    return found;
}

} // namespace oleanderhinge::membership
