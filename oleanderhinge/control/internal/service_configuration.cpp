#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

namespace
{

std::uint32_t whole_ms(base::duration age)
{
    return std::uint32_t(
        std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

} // namespace

std::vector<wire::endpoint> service::impl::others()
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
    net::link_id link, const wire::subscribe& wanted)
{
    // Gateways subscribe to every member, so that each can tell them of
    // servers.
    const auto alternatives = this->options.self_managed
                                  ? std::vector<wire::endpoint>{}
                                  : this->others();
    if (this->without_quorum() && !alternatives.empty()) {
        this->send({{{link}, wire::subscribe_redirect{alternatives}}});
        return;
    }
    this->send(this->state.read([&](const control_state::state& from) {
        return subscribe(this->feed, link, wanted, from, alternatives);
    }));
    if (this->options.self_managed) {
        this->send_group(link);
        this->links.send(link, all_servers(this->fleet, base::monotonic_now()));
    }
    this->confirm_round();
}

bool service::impl::without_quorum() const
{
    return quorum_lost_for(
        this->watch, this->options.config_lease, base::monotonic_now());
}

void service::impl::publish_now()
{
    this->send(this->state.read([this](const control_state::state& from) {
        return publish(this->feed, from);
    }));
}

void service::impl::confirm_round()
{
    if (this->feed.subscribers.empty())
        return;
    const auto status = this->consensus.log->status();
    if (!status.has_quorum)
        return;
    if (status.role != replica::member_role::leader) {
        if (status.applied == status.committed)
            this->confirm_now(std::chrono::milliseconds(status.lease_age_ms));
        return;
    }
    // The barrier proves that this node still led after `asked`, and that
    // the state holds every change that was acknowledged before.
    const auto asked = base::monotonic_now();
    this->consensus.log->read_barrier(
        [this, asked](replica::barrier_result result) {
            if (result.ok)
                this->on_strand([this, asked] {
                    this->confirm_now(base::monotonic_now() - asked);
                });
        });
}

void service::impl::confirm_now(base::duration age)
{
    this->send(this->state.read([&](const control_state::state& from) {
        return confirm(this->feed, from, whole_ms(age));
    }));
}

} // namespace oleanderhinge::control
