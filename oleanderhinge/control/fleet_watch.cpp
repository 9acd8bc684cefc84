#include "oleanderhinge/control/fleet_watch.hpp"

#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

using refreshed_servers = fleet_watch::refreshed_servers;

void add(
    refreshed_servers& to,
    const base::backend_server_id& id,
    base::time_point heard)
{
    to.oldest = to.ids.empty() ? heard : std::min(to.oldest, heard);
    to.ids.insert(id);
}

// Returns the message for the servers and forgets them.
std::optional<wire::server_refresh> take(
    refreshed_servers& from,
    const fleet::numbering& numbers,
    base::time_point now)
{
    const auto taken = std::exchange(from, {});
    if (taken.ids.empty())
        return std::nullopt;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(now - taken.oldest, base::duration(0)));
    return fleet::make_refresh(numbers, taken.ids, std::uint32_t(age.count()));
}

wire::server_batch records_of(
    const fleet_watch& fleet,
    const std::set<base::backend_server_id>& ids,
    base::time_point now)
{
    wire::server_batch batch;
    for (const auto& id : ids)
        if (const auto found = fleet.servers.servers.find(id);
            found != fleet.servers.servers.end())
            batch.records.push_back(fleet::with_age(found->second, now));
    return batch;
}

// Whether a ready server holds some of these layers beside its own planned
// ones, in place of the server that the plan names.
bool has_substitute(
    const std::vector<wire::server_record>& ready,
    const fleet::placement& plan,
    const base::layer_range& layers)
{
    const auto overlap = [](const auto& left, const auto& right) {
        return left.first < right.end && right.first < left.end;
    };
    return std::any_of(ready.begin(), ready.end(), [&](const auto& record) {
        const auto found = plan.servers.find(fleet::address_of(record));
        return found != plan.servers.end() &&
               record.layers != found->second.layers &&
               overlap(record.layers, layers) &&
               !overlap(found->second.layers, layers);
    });
}

// Adds the servers of a recorded plan that are not ready, but not known to be
// lost either, with the layers that they should hold. One that substitutes
// replace stays replaced until it reports.
void add_unknown(
    std::vector<wire::server_record>& present,
    const fleet::placement& plan,
    const fleet::directory& known,
    const std::string& service)
{
    const auto ready = present;
    std::set<wire::endpoint> skipped;
    for (const auto& record : ready)
        skipped.insert(fleet::address_of(record));
    for (const auto& address : fleet::known_lost(known, service))
        skipped.insert(address);
    for (const auto& [address, server] : plan.servers) {
        if (skipped.contains(address) || server.layers == base::layer_range{} ||
            has_substitute(ready, plan, server.layers))
            continue;
        wire::server_record record;
        record.service = service;
        record.address = address.address;
        record.port = address.port;
        record.data_centre = server.data_centre;
        record.kind = server.kind;
        record.layers = server.layers;
        present.push_back(record);
    }
}

} // namespace

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
    if (outcome == fleet::report_outcome::changed) {
        fleet.changed.insert(record.id);
        if (!relayed)
            fleet.changed_here.insert(record.id);
    } else {
        add(relayed ? fleet.refreshed_elsewhere : fleet.refreshed_here,
            record.id,
            heard);
    }
    return outcome;
}

void note_ended(
    fleet_watch& fleet,
    const control_state::ended_server& ended,
    base::time_point now)
{
    wire::server_record notice;
    notice.id = ended.id;
    notice.started_ms = ended.started_ms;
    notice.state = wire::reported_state::gone;
    if (fleet::apply(fleet.servers, notice, now) ==
        fleet::report_outcome::changed)
        fleet.changed.insert(ended.id);
}

void note_refreshed(
    fleet_watch& fleet,
    const fleet::peer_numbering& sender,
    const wire::server_refresh& refresh,
    base::time_point now)
{
    const auto heard = now - std::chrono::milliseconds(refresh.age_ms);
    fleet::visit_refreshed(
        sender, refresh, [&](const base::backend_server_id& id) {
            if (fleet::refresh(fleet.servers, id, heard))
                add(fleet.refreshed_elsewhere, id, heard);
        });
}

fleet_changes take_changes(fleet_watch& fleet, base::time_point now)
{
    fleet_changes to_send;
    to_send.for_gateways = records_of(fleet, fleet.changed, now);
    to_send.for_members = records_of(fleet, fleet.changed_here, now);
    fleet.changed.clear();
    fleet.changed_here.clear();
    if (now < fleet.next_refresh)
        return to_send;
    fleet.next_refresh = now + refresh_interval;
    fleet::expire(fleet.servers, now);
    auto reported = fleet.refreshed_here.ids;
    reported.insert(
        fleet.refreshed_elsewhere.ids.begin(),
        fleet.refreshed_elsewhere.ids.end());
    to_send.numbers =
        fleet::is_sparse(fleet.numbers, fleet.servers.servers.size())
            ? fleet::renumber(fleet.numbers, reported)
            : fleet::new_numbers(fleet.numbers, reported);
    to_send.refreshed_here = take(fleet.refreshed_here, fleet.numbers, now);
    to_send.refreshed_elsewhere =
        take(fleet.refreshed_elsewhere, fleet.numbers, now);
    return to_send;
}

wire::server_batch all_servers(const fleet_watch& fleet, base::time_point now)
{
    wire::server_batch batch;
    for (const auto& [id, server] : fleet.servers.servers)
        batch.records.push_back(fleet::with_age(server, now));
    return batch;
}

std::vector<wire::server_batch> split(const wire::server_batch& all)
{
    std::vector<wire::server_batch> batches(1);
    std::size_t bytes = 0;
    for (const auto& record : all.records) {
        const auto size = wire::to_bytes(record).size();
        if (size > max_batch_bytes)
            continue;
        if (bytes + size > max_batch_bytes) {
            batches.emplace_back();
            bytes = 0;
        }
        batches.back().records.push_back(record);
        bytes += size;
    }
    return batches;
}

std::vector<wire::server_record> due_for_load(
    fleet_watch& fleet,
    const wire::forwarding_table& table,
    const load_duty& duty,
    base::time_point now)
{
    if (!duty.active || now < fleet.next_load_round)
        return {};
    fleet.next_load_round = now + load_interval / int(load_rounds);
    const auto round = fleet.load_round++ % load_rounds;
    std::vector<wire::server_record> due;
    std::size_t index_at_home = 0;
    std::size_t index = 0;
    const auto add = [&](const wire::server_record& record) {
        const bool mine =
            record.data_centre == duty.home
                ? index_at_home++ % duty.members == duty.position
                : duty.leads && !duty.with_member.contains(record.data_centre);
        if (mine && index++ % load_rounds == round)
            due.push_back(record);
    };
    for (const auto& service : table.services)
        if (service.engine && service.engine->layer_count != 0)
            fleet::visit_usable(fleet.servers, service.name, add);
    return due;
}

void note_loads(
    fleet_watch& fleet,
    const fleet::peer_numbering& sender,
    const wire::server_loads& loads)
{
    fleet::visit_loads(
        sender,
        loads,
        [&](const base::backend_server_id& id, const wire::engine_load& load) {
            fleet::note_load(fleet.servers, id, load);
        });
}

load_changes take_loads(fleet_watch& fleet)
{
    load_changes taken;
    std::vector<base::backend_server_id> ids;
    for (const auto& [id, load] : fleet.new_loads)
        ids.push_back(id);
    taken.numbers = fleet::new_numbers(fleet.numbers, ids);
    for (const auto& [id, load] : fleet.new_loads)
        taken.loads.items.push_back(
            fleet::pack_load(fleet.numbers.numbers.at(id), load));
    fleet.new_loads.clear();
    return taken;
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
    if (!leads || fleet.first_report == base::time_point{})
        return {};
    const bool settled = now >= fleet.leads_since + settle_time &&
                         now >= fleet.first_report + settle_time;
    std::vector<fleet::layer_assignment> orders;
    for (const auto& service : table.services) {
        if (!service.engine || service.engine->layer_count == 0)
            continue;
        if (!settled && !fleet.placements.contains(service.name))
            continue;
        const auto ready = fleet::usable(fleet.servers, service.name);
        auto& plan = fleet.placements[service.name];
        fleet::note_leaving(
            plan, fleet::leaving(fleet.servers, service.name), now);
        fleet::note_suspected(
            plan, fleet::suspected(fleet.servers, service.name));
        auto present = ready;
        if (!settled)
            add_unknown(present, plan, fleet.servers, service.name);
        fleet::update(plan, *service.engine, present, now);
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
