#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

namespace
{

std::uint32_t ceil_to_ms(base::duration age)
{
    return std::uint32_t(
        std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

} // namespace

std::vector<wire::endpoint> service::impl::redirect_targets()
{
    std::vector<wire::endpoint> found;
    for (const auto& item : this->consensus.log->status().members)
        if (item.vm != this->self && item.link.port != 0)
            found.push_back(item.link);
    if (!found.empty())
        std::rotate(
            found.begin(),
            found.begin() + std::ptrdiff_t(this->redirects++ % found.size()),
            found.end());
    return found;
}

void service::impl::on_subscribe(
    net::link_id link, const wire::subscribe& request)
{
    // Gateways of a self-managed group subscribe to every member, so that each
    // member can send them server records. They are not redirected to others.
    const auto alternatives = this->options.self_managed
                                  ? std::vector<wire::endpoint>{}
                                  : this->redirect_targets();
    if (this->config_lease_expired() && !alternatives.empty()) {
        this->send({{{link}, wire::subscribe_redirect{alternatives}}});
        return;
    }
    const bool is_new = !this->feed.subscribers.contains(link);
    const bool nearby = this->open_links.at(link).data_centre ==
                        this->options.link.self.data_centre;
    this->send(this->state.read([&](const control_state::state& from) {
        return subscribe(
            this->feed,
            link,
            request,
            from,
            alternatives,
            nearby,
            base::monotonic_now());
    }));
    if (this->options.self_managed && is_new) {
        this->links.send(link, this->group(base::monotonic_now()));
        this->send_records(
            {link}, all_servers(this->fleet, base::monotonic_now()));
    }
    this->confirm_if_newest();
}

bool service::impl::config_lease_expired() const
{
    return quorum_lost_for(
        this->watch, this->options.config_lease, base::monotonic_now());
}

void service::impl::send_updates()
{
    this->send(this->state.read([this](const control_state::state& from) {
        return publish(this->feed, from, base::monotonic_now());
    }));
}

void service::impl::confirm_if_newest()
{
    if (this->feed.subscribers.empty())
        return;
    const auto status = this->consensus.log->status();
    if (!status.has_quorum)
        return;
    if (status.role != replica::member_role::leader) {
        if (status.has_caught_up && status.applied == status.committed)
            this->send_confirmation(
                std::chrono::milliseconds(status.lease_age_ms));
        return;
    }
    // The barrier proves that this node was still leader after
    // `barrier_start`, and that the state contains every change that was
    // acknowledged before.
    const auto barrier_start = base::monotonic_now();
    this->consensus.log->read_barrier([this, barrier_start](
                                          replica::barrier_result result) {
        if (result.ok)
            this->on_strand([this, barrier_start] {
                this->send_confirmation(base::monotonic_now() - barrier_start);
            });
    });
}

void service::impl::send_confirmation(base::duration age)
{
    this->send(this->state.read([&](const control_state::state& from) {
        return confirm(
            this->feed, from, ceil_to_ms(age), base::monotonic_now());
    }));
}

} // namespace oleanderhinge::control
