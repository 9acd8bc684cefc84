#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

using timeline::event_kind;

net::link_events service::impl::link_handlers()
{
    return {
        .opened =
            [this](net::link_id link, const wire::hello& peer) {
                this->on_strand(
                    [this, link, peer] { this->on_opened(link, peer); });
            },
        .received =
            [this](net::link_id link, wire::message content) {
                this->on_strand(
                    [this, link, content = std::move(content)]() mutable {
                        this->on_message(link, std::move(content));
                    });
            },
        .closed =
            [this](net::link_id link, net::close_reason reason, bool) {
                this->on_strand(
                    [this, link, reason] { this->on_closed(link, reason); });
            }};
}

consensus_sender service::impl::sender()
{
    return [this](const base::vm_id& to, wire::consensus_message content) {
        this->on_strand([this, to, content = std::move(content)] {
            if (this->stands_aside)
                return;
            if (const auto link = this->link_of(to))
                this->links.send(*link, content);
        });
    };
}

std::optional<net::link_id> service::impl::link_of(const base::vm_id& vm) const
{
    if (const auto own = link_to(this->peers, vm))
        return own;
    for (const auto& [link, peer] : this->open_links)
        if (peer.sender == wire::role::control && peer.vm == vm)
            return link;
    return std::nullopt;
}

std::vector<net::link_id> service::impl::gateway_links() const
{
    std::vector<net::link_id> found;
    for (const auto& [link, peer] : this->open_links)
        if (peer.sender == wire::role::entry)
            found.push_back(link);
    return found;
}

std::vector<net::link_id> service::impl::member_links() const
{
    std::vector<net::link_id> found;
    for (const auto& [link, peer] : this->open_links)
        if (peer.sender != wire::role::entry &&
            !this->outsiders.contains(peer.vm) &&
            link_to(this->peers, peer.vm) == link)
            found.push_back(link);
    return found;
}

std::vector<net::link_id> service::impl::gateway_and_member_links() const
{
    auto found = this->gateway_links();
    const auto members = this->member_links();
    found.insert(found.end(), members.begin(), members.end());
    return found;
}

void service::impl::on_opened(net::link_id link, const wire::hello& peer)
{
    if (peer.sender == wire::role::agent ||
        !opened(this->peers, link, peer.vm)) {
        spdlog::warn(
            "event=link_refused peer={} reason=\"unexpected peer\"",
            peer.vm.value());
        this->links.close(link);
        return;
    }
    this->open_links.insert_or_assign(link, peer);
    // A broken link between members delays elections until it is detected, so
    // the short silence limit of busy links always applies to it.
    if (peer.sender == wire::role::control)
        this->links.set_busy(link, true);
    this->links.send(link, fleet::all_numbers(this->fleet.numbers));
    // Refreshes do not carry what has changed while there was no link. Gateways
    // get all records when they subscribe.
    const auto now = base::monotonic_now();
    if (peer.sender == wire::role::control)
        this->send_records({link}, all_servers(this->fleet, now));
    if (peer.sender == wire::role::control && this->options.self_managed)
        this->links.send(link, this->group(now));
    this->send_crashes(link);
    if (peer.sender == wire::role::entry)
        this->send_limits(link, now);
    this->events.record(event_kind::link_opened, peer.vm.value());
    spdlog::info("event=link_opened peer={}", peer.vm.value());
}

void service::impl::on_closed(net::link_id link, net::close_reason reason)
{
    closed(this->peers, link, base::monotonic_now(), this->random);
    remove_subscriber(this->feed, link);
    this->count_subscribers();
    const auto found = this->open_links.find(link);
    if (found == this->open_links.end())
        return;
    this->events.record(
        event_kind::link_closed,
        found->second.vm.value() + ": " + net::to_string(reason));
    spdlog::info(
        "event=link_closed peer={} reason={}",
        found->second.vm.value(),
        net::to_string(reason));
    this->open_links.erase(found);
    this->peer_numbers.erase(link);
    forget_gateway(this->permits, link);
}

void service::impl::on_message(net::link_id link, wire::message&& content)
{
    const auto peer = this->open_links.find(link);
    if (peer == this->open_links.end())
        return;
    if (auto* consensus_message =
            std::get_if<wire::consensus_message>(&content)) {
        if (peer->second.sender == wire::role::control &&
            this->consensus.receive)
            this->consensus.receive(
                peer->second.vm, std::move(*consensus_message));
    } else if (
        const auto* subscription = std::get_if<wire::subscribe>(&content)) {
        this->on_subscribe(link, *subscription);
    } else if (const auto* claim = std::get_if<wire::claim_request>(&content)) {
        this->on_claim(link, *claim);
    } else if (
        const auto* report = std::get_if<wire::outcome_report>(&content)) {
        this->on_outcome(link, *report);
    } else if (const auto* batch = std::get_if<wire::server_batch>(&content)) {
        if (peer->second.sender == wire::role::control)
            for (const auto& record : batch->records)
                this->on_report(record, true);
    } else if (
        const auto* named = std::get_if<wire::server_numbers>(&content)) {
        if (peer->second.sender == wire::role::control)
            fleet::learn(this->peer_numbers[link], *named);
    } else if (
        const auto* refresh = std::get_if<wire::server_refresh>(&content)) {
        if (peer->second.sender == wire::role::control)
            note_refreshed(
                this->fleet,
                this->peer_numbers[link],
                *refresh,
                base::monotonic_now());
    } else if (const auto* loads = std::get_if<wire::server_loads>(&content)) {
        if (peer->second.sender == wire::role::control)
            note_loads(this->fleet, this->peer_numbers[link], *loads);
    } else if (
        const auto* suspicion = std::get_if<wire::server_suspicion>(&content)) {
        this->on_suspicion(link, *suspicion);
    } else if (
        const auto* evidence = std::get_if<wire::crash_evidence>(&content)) {
        this->on_crash_evidence(link, *evidence);
    } else if (
        const auto* stated = std::get_if<wire::server_limits>(&content)) {
        if (peer->second.sender == wire::role::entry)
            this->on_server_limits(link, *stated);
    } else if (
        const auto* demand = std::get_if<wire::permit_demand>(&content)) {
        if (peer->second.sender == wire::role::entry)
            note_demand(this->permits, link, *demand, base::monotonic_now());
    } else if (
        const auto* request = std::get_if<wire::join_request>(&content)) {
        if (peer->second.sender == wire::role::control)
            this->on_join_request(*request);
    } else if (const auto* group = std::get_if<wire::control_group>(&content)) {
        if (peer->second.sender == wire::role::control)
            note_group(
                this->news,
                group->members,
                peer->second.vm,
                base::monotonic_now());
    }
}

} // namespace oleanderhinge::control
