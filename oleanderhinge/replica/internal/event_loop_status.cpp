// Status and counters of the event loop.
#include "oleanderhinge/replica/internal/event_loop.hpp"

namespace oleanderhinge::replica::internal
{

namespace
{

member_role role_of(const consensus::node_state& state)
{
    if (!consensus::is_admitted(state))
        return member_role::awaiting_admission;
    if (state.role == consensus::role::leader)
        return member_role::leader;
    if (!consensus::is_voter(state))
        return member_role::learner;
    return state.role == consensus::role::candidate ? member_role::candidate
                                                    : member_role::follower;
}

} // namespace

published_status event_loop::make_status(base::time_point now) const
{
    published_status out;
    auto& v = out.values;
    v.role = role_of(this->state);
    v.current_term = this->state.vote.current_term;
    v.leader = this->state.leader;
    v.last_index = consensus::last_index(this->state.log);
    v.committed = this->state.committed;
    v.applied = this->state.applied;
    v.has_caught_up = consensus::has_caught_up(this->state);
    v.members = to_members(consensus::members_of(this->state));
    if (const auto age = consensus::lease_age(this->state, now))
        out.confirmed_at = now - *age;
    return out;
}

void event_loop::publish()
{
    auto updated = this->make_status(this->setup.clock());
    const auto& c = this->state.counts;
    this->counts.elections = c.elections;
    this->counts.leader_changes = c.leader_changes;
    this->counts.lease_losses = c.lease_losses;
    this->counts.entries = c.entries_appended;
    this->counts.snapshots_installed = c.snapshots_installed;
    this->counts.readmissions = c.readmissions;
    bool differs = false;
    {
        const std::lock_guard lock(this->status_mutex);
        const auto& old = this->published.values;
        differs = old.role != updated.values.role ||
                  old.leader != updated.values.leader ||
                  old.current_term != updated.values.current_term ||
                  old.members != updated.values.members;
        this->published = std::move(updated);
        this->published_counts = this->counts;
    }
    if (differs && this->setup.on_status_change)
        this->setup.on_status_change(this->status());
}

log_status event_loop::status() const
{
    const auto now = this->setup.clock();
    const std::lock_guard lock(this->status_mutex);
    auto out = this->published.values;
    if (!this->published.confirmed_at) {
        out.lease_age_ms = UINT32_MAX;
        return out;
    }
    const auto age = now - *this->published.confirmed_at;
    out.has_quorum = age < this->setup.times.lease_duration;
    out.lease_age_ms = std::uint32_t(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    return out;
}

node_counters event_loop::counters() const
{
    const auto stored = this->disk.counters();
    const std::lock_guard lock(this->status_mutex);
    auto out = this->published_counts;
    out.syncs = stored.syncs;
    out.bytes = stored.bytes;
    return out;
}

} // namespace oleanderhinge::replica::internal
