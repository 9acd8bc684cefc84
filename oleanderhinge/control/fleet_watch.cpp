#include "oleanderhinge/control/fleet_watch.hpp"

namespace oleanderhinge::control
{

fleet::report_outcome report(
    fleet_watch& fleet,
    const wire::server_record& record,
    bool relayed,
    base::time_point now)
{
    const auto heard = now - std::chrono::milliseconds(record.age_ms);
    const auto outcome = fleet::apply(fleet.servers, record, heard);
    if (outcome == fleet::report_outcome::stale)
        return outcome;
    if (fleet.first_report == base::time_point{})
        fleet.first_report = now;
    if (outcome == fleet::report_outcome::changed)
        fleet.changed.insert(record.id);
    fleet.refreshed.insert(record.id);
    if (!relayed)
        fleet.reported_here.insert(record.id);
    return outcome;
}

fleet_changes take_changes(fleet_watch& fleet, base::time_point now)
{
    const bool refresh_due = now >= fleet.next_refresh;
    if (refresh_due) {
        fleet.next_refresh = now + refresh_interval;
        fleet::expire(fleet.servers, now);
    }
    const auto& to_report = refresh_due ? fleet.refreshed : fleet.changed;
    fleet_changes to_send;
    for (const auto& id : to_report) {
        const auto found = fleet.servers.servers.find(id);
        if (found == fleet.servers.servers.end())
            continue;
        const auto record = fleet::with_age(found->second, now);
        to_send.for_gateways.records.push_back(record);
        if (fleet.reported_here.contains(id))
            to_send.for_members.records.push_back(record);
    }
    for (const auto& record : to_send.for_gateways.records) {
        fleet.refreshed.erase(record.id);
        fleet.reported_here.erase(record.id);
    }
    fleet.changed.clear();
    if (refresh_due)
        fleet.refreshed.clear();
    return to_send;
}

wire::server_batch all_servers(const fleet_watch& fleet, base::time_point now)
{
    wire::server_batch batch;
    for (const auto& [id, server] : fleet.servers.servers)
        batch.records.push_back(fleet::with_age(server, now));
    return batch;
}

std::vector<wire::server_record> due_for_load(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    bool leads,
    base::time_point now)
{
    if (!leads || now < fleet.next_load_round)
        return {};
    fleet.next_load_round = now + load_interval / int(load_rounds);
    const auto round = fleet.load_round++ % load_rounds;
    std::vector<wire::server_record> due;
    std::size_t engine_index = 0;
    for (const auto& service : table.services) {
        if (!service.engine || service.engine->layer_count == 0)
            continue;
        for (auto& record : fleet::usable(fleet.servers, service.name))
            if (engine_index++ % load_rounds == round)
                due.push_back(std::move(record));
    }
    return due;
}

std::vector<control_state::record_places> due_records(fleet_watch& fleet)
{
    std::vector<control_state::record_places> due;
    for (const auto& [service, plan] : fleet.placements) {
        auto places = fleet::places_of(plan);
        auto& last = fleet.recorded[service];
        if (places.empty() || places == last)
            continue;
        last = places;
        due.push_back({service, std::move(places)});
    }
    return due;
}

std::vector<fleet::layer_assignment> plan_orders(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    const std::map<std::string, fleet::places>& kept,
    bool leads,
    base::time_point now)
{
    if (leads != fleet.leads) {
        fleet.leads = leads;
        fleet.leads_since = now;
        fleet.placements.clear();
        fleet.recorded.clear();
        if (leads)
            for (const auto& [service, places] : kept)
                fleet.placements[service] = fleet::restore(places, now);
    }
    if (!leads || fleet.first_report == base::time_point{} ||
        now < fleet.leads_since + settle_time ||
        now < fleet.first_report + settle_time)
        return {};
    std::vector<fleet::layer_assignment> orders;
    for (const auto& service : table.services) {
        if (!service.engine || service.engine->layer_count == 0)
            continue;
        const auto ready = fleet::usable(fleet.servers, service.name);
        auto& plan = fleet.placements[service.name];
        fleet::update(plan, *service.engine, ready, now);
        const auto due = fleet::due_orders(
            plan,
            *service.engine,
            ready,
            now < fleet.first_report + cold_start_time,
            now);
        orders.insert(orders.end(), due.begin(), due.end());
    }
    return orders;
}

} // namespace oleanderhinge::control
