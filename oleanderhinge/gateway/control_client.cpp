#include "oleanderhinge/gateway/control_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

control_client::control_client(
    net::link_table& table, control_client_options chosen, control_events to)
    : links(table)
    , options(std::move(chosen))
    , events(std::move(to))
    , random(options.seed)
{
    this->view.options = this->options.view;
    this->use_seeds(this->options.seeds);
}

void control_client::use_seeds(const std::vector<wire::endpoint>& seeds)
{
    for (const auto& seed : seeds)
        this->members.try_emplace(seed);
}

void control_client::tick(base::time_point now)
{
    for (auto& [address, known] : this->members) {
        if (!known.link && now >= known.next_attempt) {
            known.link = this->links.connect(address);
            known.open = false;
        } else if (
            known.open && now >= known.last_confirm + resubscribe_after) {
            known.last_confirm = now;
            this->ask(*known.link, this->revision());
        }
    }
    std::erase_if(this->members, [&](const auto& item) {
        const auto& known = item.second;
        return !known.link && known.named != base::time_point{} &&
               now >= known.named + forget_after;
    });
}

void control_client::on_opened(net::link_id link, base::time_point now)
{
    const auto found = this->find(link);
    if (found == this->members.end())
        return;
    found->second.open = true;
    found->second.last_confirm = now;
    // Pings at the short interval: a silent member must be noticed before the
    // servers that it vouches for seem gone.
    this->links.set_busy(link, true);
    spdlog::info(
        "event=control_connected member={} revision={}",
        found->first.address,
        this->revision().value());
    this->ask(link, this->revision());
}

void control_client::on_message(
    net::link_id link, wire::message&& content, base::time_point now)
{
    if (auto* update = std::get_if<wire::config_update>(&content)) {
        this->on_update(link, std::move(*update), now);
    } else if (const auto* sign = std::get_if<wire::config_confirm>(&content)) {
        if (const auto found = this->find(link); found != this->members.end())
            found->second.last_confirm = now;
        membership::apply_confirm(this->view, *sign, now);
    } else if (const auto* batch = std::get_if<wire::server_batch>(&content)) {
        this->events.servers(*batch);
    } else if (const auto* group = std::get_if<wire::control_group>(&content)) {
        this->on_group(*group, now);
    } else if (
        const auto* doubt = std::get_if<wire::server_suspicion>(&content)) {
        this->events.suspicion(*doubt);
    } else if (const auto* loads = std::get_if<wire::server_loads>(&content)) {
        this->events.loads(*loads);
    }
}

void control_client::on_update(
    net::link_id link, wire::config_update&& update, base::time_point now)
{
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
        } else if (
            const auto* missing = std::get_if<membership::ask_full>(&action)) {
            this->ask(link, missing->have);
        }
    }
}

void control_client::on_group(
    const wire::control_group& group, base::time_point now)
{
    for (const auto& address : group.members)
        this->members[address].named = now;
    this->events.gateways(group.gateways);
}

void control_client::report_suspicion(const wire::endpoint& server)
{
    for (const auto& [address, known] : this->members)
        if (known.open)
            this->links.send(*known.link, wire::server_suspicion{server, 0});
}

void control_client::on_closed(
    net::link_id link, net::close_reason reason, base::time_point now)
{
    const auto found = this->find(link);
    if (found == this->members.end())
        return;
    auto& known = found->second;
    if (known.open)
        spdlog::warn(
            "event=control_lost member={} reason={}",
            found->first.address,
            net::to_string(reason));
    known.link.reset();
    known.open = false;
    known.next_attempt =
        now + reconnect_wait +
        base::duration(
            std::int64_t(double(reconnect_wait.count()) * this->random.unit()));
}

void control_client::ask(net::link_id link, base::revision have)
{
    this->links.send(
        link,
        wire::subscribe{have, this->options.vm, this->options.listen, {}});
}

std::map<wire::endpoint, control_client::member>::iterator
control_client::find(net::link_id link)
{
    return std::find_if(
        this->members.begin(), this->members.end(), [link](const auto& item) {
            return item.second.link == link;
        });
}

base::revision control_client::revision() const
{
    return membership::revision_of(this->view);
}

} // namespace oleanderhinge::gateway
