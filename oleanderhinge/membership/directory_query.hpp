// Queries on an immutable view of the directory.
//
// A view holds its entries by pointer, so it stays valid while the directory
// changes. Queries take `now` and leave out servers whose lease has ended.
//
// Example:
//   directory_snapshot view = take_snapshot(servers);
//   for (const auto& entry : servers_of_model(view, model, "v3", now)) ...
#pragma once

#include "oleanderhinge/membership/directory.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::membership
{

// Entries of one shard of a directory, also by model and by service.
struct directory_part {
    // Sorted by the server's name.
    std::vector<server_entry_ptr> entries;
    std::map<base::model_id, std::vector<server_entry_ptr>> models;
    std::map<std::string, std::vector<server_entry_ptr>, std::less<>> services;
};

// An immutable view of all servers.
struct directory_snapshot {
    std::vector<std::shared_ptr<const directory_part>> parts;
    base::revision highest_config;
};

// Copies the pointers to the entries of one shard or of a whole directory.
directory_part take_part(const directory& servers);
directory_snapshot take_snapshot(const directory& servers);

// Number of entries, including expired ones that are still present.
std::size_t size(const directory_snapshot& view);

// The entry of a server, or null.
server_entry_ptr
find(const directory_snapshot& view, const base::backend_server_id& server);

// All entries that have not expired, in no particular order.
std::vector<server_entry_ptr>
live_servers(const directory_snapshot& view, base::time_point now);

// Servers in state `serving` with the model and version that have not expired.
// An empty version means any.
std::vector<server_entry_ptr> servers_of_model(
    const directory_snapshot& view,
    const base::model_id& model,
    std::string_view version,
    base::time_point now);

// Servers in state `serving` of a plain service that have not expired.
std::vector<server_entry_ptr> servers_of_service(
    const directory_snapshot& view,
    std::string_view service,
    base::time_point now);

} // namespace oleanderhinge::membership
