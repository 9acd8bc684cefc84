#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

namespace
{

// Changes of limits that are logged in each `log_interval`.
constexpr std::size_t max_limits_logged = 20;
constexpr base::duration log_interval = std::chrono::seconds(1);

} // namespace

void service::impl::on_server_limits(
    net::link_id from, const wire::server_limits& stated)
{
    const auto now = base::monotonic_now();
    for (const auto& item : apply(this->limits, from, stated, now))
        this->log_limit(item, this->open_links.at(from).vm, now);
}

void service::impl::log_limit(
    const wire::server_limit& stated,
    const base::vm_id& from,
    base::time_point now)
{
    if (now >= this->limit_log_start + log_interval) {
        if (this->limits_unlogged > 0)
            spdlog::info(
                "event=server_limits_unlogged count={}", this->limits_unlogged);
        this->limit_log_start = now;
        this->limits_logged = 0;
        this->limits_unlogged = 0;
    }
    if (this->limits_logged == max_limits_logged) {
        ++this->limits_unlogged;
        return;
    }
    ++this->limits_logged;
    spdlog::info(
        "event=server_limit server={} started_ms={} per_second={} from={}",
        stated.server.value(),
        stated.started_ms,
        stated.per_second ? std::to_string(*stated.per_second) : "none",
        from.value());
}

void service::impl::send_limits(net::link_id to, base::time_point now)
{
    for (const auto& message : all_statements(this->limits, now))
        this->links.send(to, message);
}

void service::impl::update_limits(
    const replica::log_status& status, base::time_point now)
{
    const bool leads =
        status.role == replica::member_role::leader && status.has_quorum;
    for (const auto& [to, content] :
         take_messages(this->limits, this->gateway_links(), leads, now))
        this->links.send(to, content);
    const auto limited =
        control::limited_servers(this->fleet.servers, this->limits.limits, now);
    this->limited_servers = limited.size();
    if (!leads)
        return stop_issuing(this->permits);
    for (const auto& [gateway, grant] : issue(this->permits, limited, now)) {
        if (grant.items.empty())
            this->links.send(gateway, grant);
        for (const auto& message : split(grant))
            this->links.send(gateway, message);
        for (const auto& item : grant.items)
            this->numbers.permits_granted.Increment(item.permits);
    }
}

} // namespace oleanderhinge::control
