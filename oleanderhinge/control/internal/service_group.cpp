#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

void service::impl::on_join_request(const wire::join_request& request)
{
    const auto status = this->consensus.log->status();
    if (!should_add(status, request.vm)) {
        this->forward_join_request(status, request);
        return;
    }
    spdlog::info("event=member_adding vm={}", request.vm.value());
    this->consensus.log->add_member(
        {request.vm, request.link, request.admin, true},
        [request](const replica::propose_result& result) {
            spdlog::info(
                "event=member_added vm={} applied={}",
                request.vm.value(),
                result.state == replica::propose_state::applied);
        });
}

void service::impl::forward_join_request(
    const replica::log_status& status, const wire::join_request& request)
{
    if (status.leader.value().empty() || status.leader == this->self ||
        status.leader == request.vm)
        return;
    if (const auto link = link_to(this->peers, status.leader))
        this->links.send(*link, request);
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
    if (now >= this->next_join &&
        asks_for_admission(
            status, this->self, this->without_leader_since, now)) {
        this->next_join = now + admission_interval;
        const wire::join_request request{
            this->self, this->options.link_listen, this->options.admin_listen};
        for (const auto& [link, peer] : this->open_links)
            if (peer.sender == wire::role::control)
                this->links.send(link, request);
    }
    if (const auto vm = member_to_remove(
            this->reach,
            status,
            wanted_members(this->options.tolerated_losses),
            now);
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

wire::control_group service::impl::group() const
{
    wire::control_group group;
    // Without a quorum, this node may have been removed and its list be out of
    // date.
    if (const auto status = this->consensus.log->status(); status.has_quorum)
        for (const auto& item : status.members)
            if (item.link.port != 0)
                group.members.push_back(item.link);
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
