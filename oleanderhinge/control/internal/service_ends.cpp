#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

void service::impl::on_leave(
    const wire::server_record& notice, std::function<void(bool)> done)
{
    this->on_report(notice, false);
    const auto& known = this->fleet.servers.servers.at(notice.id).record;
    // The process of the notice has been followed by another one, which makes
    // its reports stale, or is not recorded since its start is unknown.
    if (known.state != wire::reported_state::gone || known.started_ms == 0)
        return done(true);
    // Such a node does not replicate the log. The members have the notice.
    if (this->consensus.log->status().role ==
        replica::member_role::awaiting_admission)
        return done(false);
    const auto now = base::monotonic_now();
    this->leaves.push_back(
        {known.id, known.started_ms, now + leave_limit, std::move(done)});
    this->answer_leaves(now);
}

void service::impl::propose_ends()
{
    drop_obsolete(this->ends, this->fleet.servers);
    if (this->ends.unlogged.empty())
        return;
    const auto status = this->consensus.log->status();
    const bool leads =
        status.role == replica::member_role::leader && status.has_quorum;
    for (const auto& end : due_ends(this->ends, leads, this->options.wall_ms()))
        this->consensus.log->propose(
            control_state::encode(end),
            [this, end](const replica::propose_result& result) {
                const bool recorded =
                    result.state == replica::propose_state::applied;
                spdlog::info(
                    "event=record_ended_server server={} started_ms={} "
                    "recorded={} index={}",
                    end.id.value(),
                    end.started_ms,
                    recorded,
                    result.index.value());
                this->on_strand([this, recorded, id = end.id] {
                    if (!recorded)
                        note_failed_proposal(this->ends, id);
                    this->take_ends();
                });
            });
}

void service::impl::take_ends()
{
    const auto now = base::monotonic_now();
    const auto found = this->state.read([this](const auto& from) {
        return take_logged(this->ends, from.ended_servers);
    });
    for (const auto& ended : found)
        note_ended(this->fleet, ended, now);
    if (!found.empty())
        this->send_servers();
    this->answer_leaves(now);
}

void service::impl::answer_leaves(base::time_point now)
{
    if (this->leaves.empty())
        return;
    this->state.read([this](const control_state::state& from) {
        for (auto& leave : this->leaves)
            leave.recorded =
                holds_end(from.ended_servers, leave.id, leave.started_ms);
    });
    std::erase_if(this->leaves, [now](const waiting_leave& leave) {
        if (!leave.recorded && now < leave.limit)
            return false;
        if (!leave.recorded)
            spdlog::warn(
                "event=leave_not_recorded server={} started_ms={}",
                leave.id.value(),
                leave.started_ms);
        leave.done(leave.recorded);
        return true;
    });
}

} // namespace oleanderhinge::control
