#include "oleanderhinge/fleet/directory.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace oleanderhinge::fleet
{

namespace
{

auto report_order(const wire::server_record& record)
{
    return std::tuple(record.started_ms, record.sequence);
}

bool has_same_content(
    const wire::server_record& left, const wire::server_record& right)
{
    return left.state == right.state && left.layers == right.layers &&
           left.address == right.address && left.port == right.port &&
           left.service == right.service &&
           left.started_ms == right.started_ms && left.slots == right.slots;
}

// Finds the process that started last at the address.
void update_last_started(directory& known, const wire::endpoint& address)
{
    std::optional<std::uint64_t> last;
    for (const auto& [id, server] : known.servers)
        if (address_of(server.record) == address)
            last = std::max(last.value_or(0), server.record.started_ms);
    if (last)
        known.last_started[address] = *last;
    else
        known.last_started.erase(address);
}

void note_started_at(directory& known, const wire::server_record& record)
{
    auto& last = known.last_started[address_of(record)];
    last = std::max(last, record.started_ms);
}

// Marks the process as gone. The notice may lack the other fields of a report.
// False if the process had already gone or is not the one of the notice.
bool mark_gone(known_server& server, const wire::server_record& notice)
{
    if (server.record.state == wire::reported_state::gone ||
        (notice.started_ms != 0 &&
         notice.started_ms != server.record.started_ms))
        return false;
    server.record.state = wire::reported_state::gone;
    return true;
}

bool is_suspected(const known_server& server)
{
    return server.suspected != base::time_point{} &&
           server.heard < server.suspected + suspicion_margin;
}

bool started_last(const directory& known, const known_server& server)
{
    const auto last = known.last_started.find(address_of(server.record));
    return last == known.last_started.end() ||
           last->second <= server.record.started_ms;
}

// Addresses of the service whose last process meets the condition.
template <class Predicate>
std::vector<wire::endpoint> last_processes(
    const directory& known, std::string_view service, Predicate&& is_meant)
{
    std::vector<wire::endpoint> found;
    for (const auto& [id, server] : known.servers)
        if (server.record.service == service && is_meant(server) &&
            started_last(known, server))
            found.push_back(address_of(server.record));
    return found;
}

} // namespace

report_outcome apply(
    directory& known, const wire::server_record& record, base::time_point heard)
{
    if (record.state != wire::reported_state::gone)
        known.newest = std::max(known.newest, heard);
    auto found = known.servers.find(record.id);
    if (found == known.servers.end()) {
        known.servers.emplace(record.id, known_server{record, heard, {}, {}});
        note_started_at(known, record);
        return report_outcome::changed;
    }
    auto& current = found->second;
    // Applies whatever its sequence number, since later reports of the same
    // process may overtake it.
    if (record.state == wire::reported_state::gone &&
        record.started_ms <= current.record.started_ms)
        return mark_gone(current, record) ? report_outcome::changed
                                          : report_outcome::stale;
    // A process that has gone does not return; a restart has a new start time.
    if (current.record.state == wire::reported_state::gone &&
        record.started_ms <= current.record.started_ms)
        return report_outcome::stale;
    if (report_order(record) < report_order(current.record))
        return report_outcome::stale;
    const bool same = has_same_content(current.record, record);
    current.heard = std::max(current.heard, heard);
    const auto load = current.record.load;
    const bool same_process = current.record.started_ms == record.started_ms;
    const auto address_before = address_of(current.record);
    if (current.record.layers != record.layers)
        current.layers_reported = heard;
    current.record = record;
    note_started_at(known, record);
    if (address_before != address_of(record) || !same_process)
        update_last_started(known, address_before);
    // A report may lack the load, which is polled from the engine.
    if (!record.load && same_process)
        current.record.load = load;
    return same ? report_outcome::refreshed : report_outcome::changed;
}

bool refresh(
    directory& known, const base::backend_server_id& id, base::time_point heard)
{
    const auto found = known.servers.find(id);
    if (found == known.servers.end() ||
        found->second.record.state == wire::reported_state::gone)
        return false;
    found->second.heard = std::max(found->second.heard, heard);
    known.newest = std::max(known.newest, heard);
    return true;
}

bool suspect(
    directory& known, const wire::endpoint& address, base::time_point now)
{
    bool newly_suspected = false;
    for (auto& [id, server] : known.servers) {
        if (server.record.address != address.address ||
            server.record.port != address.port || !is_alive(known, server))
            continue;
        server.suspected = now;
        newly_suspected = true;
    }
    return newly_suspected;
}

bool note_load(
    directory& known,
    const base::backend_server_id& id,
    const wire::engine_load& load)
{
    const auto found = known.servers.find(id);
    if (found == known.servers.end())
        return false;
    auto& [record, heard, suspected, layers_reported] = found->second;
    record.load = load;
    if (record.layers == load.layers ||
        (layers_reported != base::time_point{} &&
         known.newest < layers_reported + reported_layers_hold))
        return false;
    record.layers = load.layers;
    return true;
}

void expire(directory& known, base::time_point now)
{
    std::vector<wire::endpoint> left;
    std::erase_if(known.servers, [&](const auto& item) {
        const bool expired = item.second.heard + tombstone_time < now;
        if (expired)
            left.push_back(address_of(item.second.record));
        return expired;
    });
    for (const auto& address : left)
        update_last_started(known, address);
}

wire::endpoint address_of(const wire::server_record& record)
{
    return {record.address, record.port};
}

bool is_alive(const directory& known, const known_server& server)
{
    return server.record.state != wire::reported_state::gone &&
           server.heard + silence_limit >= known.newest &&
           !is_suspected(server) && started_last(known, server);
}

std::vector<wire::server_record>
usable(const directory& known, std::string_view service)
{
    std::vector<wire::server_record> found;
    visit_usable(known, service, [&](const wire::server_record& record) {
        found.push_back(record);
    });
    return found;
}

std::vector<wire::endpoint>
leaving(const directory& known, std::string_view service)
{
    return last_processes(known, service, [](const known_server& server) {
        return server.record.state != wire::reported_state::ready;
    });
}

std::vector<wire::endpoint>
suspected(const directory& known, std::string_view service)
{
    return last_processes(known, service, [](const known_server& server) {
        return server.record.state == wire::reported_state::ready &&
               is_suspected(server);
    });
}

std::vector<wire::endpoint>
known_lost(const directory& known, std::string_view service)
{
    return last_processes(known, service, [](const known_server& server) {
        return server.record.state != wire::reported_state::ready ||
               is_suspected(server);
    });
}

wire::server_record with_age(const known_server& server, base::time_point now)
{
    auto record = server.record;
    record.age_ms =
        std::uint32_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::max(now - server.heard, base::duration(0)))
                          .count());
    return record;
}

} // namespace oleanderhinge::fleet
