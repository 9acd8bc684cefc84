#include "oleanderhinge/gateway/control_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace
{

bool carries_whole_table(const wire::config_update& update)
{
    return !update.full.empty() ||
           std::any_of(
               update.changes.begin(),
               update.changes.end(),
               [](const auto& item) {
                   return std::holds_alternative<wire::put_forwarding>(
                       item.second);
               });
}

} // namespace

control_client::control_client(
    net::link_table& links_in,
    control_client_options options_in,
    control_events events_in)
    : links(links_in)
    , options(std::move(options_in))
    , events(std::move(events_in))
    , random(options.seed)
{
    this->view.options = this->options.view;
    this->set_seeds(this->options.seeds);
}

void control_client::set_seeds(const std::vector<wire::endpoint>& seeds)
{
    this->close(gateway::set_seeds(this->members, seeds));
}

void control_client::tick(base::time_point now)
{
    for (const auto& address : due(this->members, now))
        connecting(this->members, address, this->links.connect(address));
    for (auto& [link, peer] : this->open_members) {
        if (now < peer.last_confirm + resubscribe_after)
            continue;
        peer.last_confirm = now;
        this->send_subscribe(link, this->revision());
    }
    this->report_demand(now);
}

void control_client::report_demand(base::time_point now)
{
    if (now < this->next_demand)
        return;
    this->next_demand = now + demand_interval;
    if (const auto demand = this->events.demand(now))
        for (const auto& [link, peer] : this->open_members)
            this->links.send(link, *demand);
}

void control_client::on_opened(net::link_id link, base::time_point now)
{
    const auto* found = find(this->members, link);
    if (found == nullptr)
        return;
    opened(this->members, link);
    this->open_members.insert_or_assign(link, open_member{now, {}});
    // Use the short heartbeat: a silent member must be detected before the
    // servers whose records it sends are taken for silent.
    this->links.set_busy(link, true);
    spdlog::info(
        "event=control_connected member={} revision={}",
        found->first.address,
        this->revision().value());
    this->send_subscribe(link, this->revision());
    this->send_unless_empty(link, this->events.all_crashes());
    if (auto limits = this->events.all_limits(now); !limits.items.empty())
        this->links.send(link, std::move(limits));
}

void control_client::on_message(
    net::link_id link, wire::message&& content, base::time_point now)
{
    if (auto* update = std::get_if<wire::config_update>(&content)) {
        this->on_update(link, std::move(*update), now);
    } else if (
        const auto* confirm = std::get_if<wire::config_confirm>(&content)) {
        if (const auto found = this->open_members.find(link);
            found != this->open_members.end())
            found->second.last_confirm = now;
        membership::apply_confirm(this->view, *confirm, now);
    } else if (const auto* batch = std::get_if<wire::server_batch>(&content)) {
        this->events.servers(*batch);
    } else if (
        const auto* numbers = std::get_if<wire::server_numbers>(&content)) {
        if (const auto found = this->open_members.find(link);
            found != this->open_members.end())
            fleet::learn(found->second.numbers, *numbers);
    } else if (
        const auto* refresh = std::get_if<wire::server_refresh>(&content)) {
        this->on_refresh(link, *refresh, now);
    } else if (const auto* group = std::get_if<wire::control_group>(&content)) {
        this->on_group(*group, now);
    } else if (
        const auto* suspicion = std::get_if<wire::server_suspicion>(&content)) {
        this->events.suspicion(*suspicion);
    } else if (
        const auto* evidence = std::get_if<wire::crash_evidence>(&content)) {
        this->send_unless_empty(link, this->events.evidence(*evidence));
    } else if (const auto* loads = std::get_if<wire::server_loads>(&content)) {
        this->on_loads(link, *loads);
    } else if (
        const auto* limits = std::get_if<wire::server_limits>(&content)) {
        this->events.limits(*limits, now);
    } else if (const auto* grant = std::get_if<wire::permit_grant>(&content)) {
        this->events.grant(*grant, now);
    }
}

void control_client::on_update(
    net::link_id link, wire::config_update&& update, base::time_point now)
{
    const bool whole_table = carries_whole_table(update);
    for (const auto& action :
         membership::apply_update(this->view, std::move(update), now)) {
        if (const auto* next =
                std::get_if<membership::config_applied>(&action)) {
            spdlog::info(
                "event=configuration_applied revision={} before={} "
                "forwarding_version={}",
                next->to.value(),
                next->from.value(),
                this->view.config->forwarding.version);
            this->events.configuration(this->view.config);
            // The other members need not send the table again.
            if (whole_table)
                for (const auto& [other, peer] : this->open_members)
                    if (other != link)
                        this->send_subscribe(other, next->to);
        } else if (
            const auto* missing =
                std::get_if<membership::full_update_needed>(&action)) {
            this->send_subscribe(link, missing->have);
        }
    }
}

void control_client::on_group(
    const wire::control_group& group, base::time_point now)
{
    this->close(note_group(this->members, group.members, now));
    this->events.gateways(group.gateways, now);
}

void control_client::on_loads(
    net::link_id link, const wire::server_loads& loads)
{
    const auto found = this->open_members.find(link);
    if (found != this->open_members.end())
        fleet::visit_loads(found->second.numbers, loads, this->events.load);
}

void control_client::on_refresh(
    net::link_id link,
    const wire::server_refresh& refresh,
    base::time_point now)
{
    const auto found = this->open_members.find(link);
    if (found == this->open_members.end())
        return;
    const auto heard = now - std::chrono::milliseconds(refresh.age_ms);
    fleet::visit_refreshed(
        found->second.numbers, refresh, [&](const base::backend_server_id& id) {
            this->events.refreshed(id, heard);
        });
}

void control_client::report_suspicion(const wire::endpoint& server)
{
    for (const auto& [link, peer] : this->open_members)
        this->links.send(link, wire::server_suspicion{server, 0});
}

void control_client::send_unless_empty(
    net::link_id link, wire::crash_evidence&& evidence)
{
    if (!fleet::is_empty(evidence))
        this->links.send(link, std::move(evidence));
}

void control_client::send_evidence(const wire::crash_evidence& news)
{
    for (const auto& [link, peer] : this->open_members)
        this->links.send(link, news);
}

void control_client::send_limits(const wire::server_limits& limits)
{
    for (const auto& [link, peer] : this->open_members)
        this->links.send(link, limits);
}

void control_client::on_closed(
    net::link_id link, net::close_reason reason, base::time_point now)
{
    const auto was_open = this->open_members.erase(link) != 0;
    const auto* found = find(this->members, link);
    if (found == nullptr)
        return;
    if (was_open)
        spdlog::warn(
            "event=control_lost member={} reason={}",
            found->first.address,
            net::to_string(reason));
    closed(
        this->members,
        link,
        now + reconnect_wait +
            base::duration(std::int64_t(
                double(reconnect_wait.count()) * this->random.unit())));
}

void control_client::close(const std::vector<forgotten_node>& forgotten)
{
    for (const auto& node : forgotten) {
        spdlog::info(
            "event=control_forgotten member={} known={}",
            node.address.address,
            this->members.known.size());
        if (!node.link)
            continue;
        this->open_members.erase(*node.link);
        this->links.close(*node.link);
    }
}

void control_client::send_subscribe(
    net::link_id link, base::revision held_revision)
{
    this->links.send(
        link,
        wire::subscribe{
            held_revision, this->options.vm, this->options.listen, {}});
}

base::revision control_client::revision() const
{
    return membership::revision_of(this->view);
}

} // namespace oleanderhinge::gateway
