#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

void service::impl::on_join_request(const wire::join_request& request)
{
    const auto status = this->consensus.log->status();
    if (!should_add(this->reach, status, this->needed(), request.vm)) {
        this->forward_join_request(status, request);
        return;
    }
    // The other members forward the same request.
    if (this->adding.exchange(true))
        return;
    spdlog::info("event=member_adding vm={}", request.vm.value());
    this->consensus.log->add_member(
        {request.vm, request.link, request.admin, true},
        [this, request](const replica::propose_result& result) {
            spdlog::info(
                "event=member_added vm={} applied={}",
                request.vm.value(),
                result.state == replica::propose_state::applied);
            this->adding = false;
        });
}

void service::impl::forward_join_request(
    const replica::log_status& status, const wire::join_request& request)
{
    if (status.leader == this->self || status.leader == request.vm)
        return;
    if (!status.leader.value().empty()) {
        if (const auto link = link_to(this->peers, status.leader))
            this->links.send(*link, request);
        return;
    }
    // A reserve knows members, but not which one leads.
    for (const auto& member :
         list_to_relay(this->news, base::monotonic_now())) {
        const auto link = link_to(this->peers, base::vm_id{member.address});
        if (!link || member.address == request.vm.value())
            continue;
        this->links.send(*link, request);
        return;
    }
}

void service::impl::observe_size(const replica::log_status& status)
{
    if (status.role != replica::member_role::leader || !status.has_quorum) {
        this->last_missing.reset();
        return;
    }
    const auto missing = voters_missing(status, this->needed());
    if (missing == this->last_missing)
        return;
    this->last_missing = missing;
    const auto text = fmt::format(
        "event={} needed={} missing={} losses_borne={} tolerated_losses={}",
        missing == 0 ? "group_complete" : "group_too_small",
        this->needed(),
        missing,
        losses_borne(status),
        this->options.tolerated_losses);
    spdlog::log(
        missing == 0 ? spdlog::level::info : spdlog::level::warn, "{}", text);
}

void service::impl::update_reserve(
    const replica::log_status& status, base::time_point now)
{
    const bool is_member = std::any_of(
        status.members.begin(), status.members.end(), [this](const auto& item) {
            return item.vm == this->self;
        });
    this->stands_aside = is_member && !status.has_quorum &&
                         is_excluded(this->news, this->self, now);
    std::vector<wire::endpoint> targets;
    if (is_excluded(this->news, this->self, now))
        for (const auto& link : this->news.links)
            targets.push_back({link.address, this->options.admin_listen.port});
    const std::lock_guard lock(this->reserve_mutex);
    this->reserve_targets = std::move(targets);
}

void service::impl::manage_group(
    const replica::log_status& status, base::time_point now)
{
    if (!this->options.self_managed)
        return;
    observe_links(
        this->reach,
        status,
        this->self,
        [this](const base::vm_id& vm) { return this->link_of(vm).has_value(); },
        now);
    this->update_reserve(status, now);
    this->observe_size(status);
    if (now >= this->next_join &&
        asks_for_admission(
            status, this->news, this->self, this->without_leader_since, now)) {
        this->next_join = now + admission_interval;
        const wire::join_request request{
            this->self, this->options.link_listen, this->options.admin_listen};
        for (const auto& [link, peer] : this->open_links)
            if (peer.sender == wire::role::control)
                this->links.send(link, request);
    }
    if (const auto vm =
            member_to_remove(this->reach, status, this->needed(), now);
        vm && !this->removing) {
        this->removing = true;
        spdlog::info("event=member_removing vm={}", vm->value());
        this->consensus.log->remove_member(
            *vm, [this, vm](const replica::propose_result& result) {
                spdlog::info(
                    "event=member_removed vm={} applied={}",
                    vm->value(),
                    result.state == replica::propose_state::applied);
                this->removing = false;
            });
    }
}

void service::impl::tell_group(
    const replica::log_status& status, base::time_point now)
{
    auto listeners = this->gateway_links();
    for (const auto& [link, peer] : this->open_links) {
        if (peer.sender != wire::role::control)
            continue;
        const bool is_member = std::any_of(
            status.members.begin(),
            status.members.end(),
            [&vm = peer.vm](const auto& item) { return item.vm == vm; });
        // Only among members does a broken link delay elections.
        this->links.set_busy(link, is_member);
        if (!is_member)
            listeners.push_back(link);
    }
    this->links.send(listeners, this->group(now));
}

wire::control_group service::impl::group(base::time_point now) const
{
    wire::control_group group;
    // Without a quorum, this node may have been removed and its list be out of
    // date.
    if (const auto status = this->consensus.log->status(); status.has_quorum) {
        for (const auto& item : status.members)
            if (item.link.port != 0)
                group.members.push_back(item.link);
    } else {
        group.members = list_to_relay(this->news, now);
    }
    for (const auto& [other, peer] : this->open_links)
        if (peer.sender == wire::role::entry)
            ++group.gateways;
    return group;
}

void service::impl::send(const std::vector<outgoing>& messages)
{
    for (const auto& message : messages) {
        if (std::holds_alternative<wire::config_update>(message.content))
            this->numbers.updates_sent.Increment(double(message.to.size()));
        if (std::holds_alternative<wire::subscribe_redirect>(message.content))
            this->numbers.subscribers_redirected.Increment(
                double(message.to.size()));
        for (const auto link : this->links.send(message.to, message.content)) {
            // The subscriber is too slow. It subscribes again on a new link and
            // then gets the newest revision.
            this->numbers.slow_subscribers_closed.Increment();
            this->links.close(link);
        }
    }
    this->count_subscribers();
}

void service::impl::count_subscribers()
{
    this->subscribers = this->feed.subscribers.size();
}

} // namespace oleanderhinge::control
