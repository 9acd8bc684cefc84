#include "oleanderhinge/control/status_watch.hpp"

namespace oleanderhinge::control
{

using replica::member_role;
using timeline::event_kind;

const char* to_string(member_role role)
{
    switch (role) {
    case member_role::follower:
        return "follower";
    case member_role::candidate:
        return "candidate";
    case member_role::leader:
        return "leader";
    case member_role::learner:
        return "learner";
    case member_role::awaiting_admission:
        return "awaiting_admission";
    }
    return "unknown";
}

std::vector<status_change> observe(
    status_watch& watch, const replica::log_status& now, base::time_point at)
{
    std::vector<status_change> changes;
    const auto term = "term " + std::to_string(now.current_term.value());
    const bool led = watch.role == member_role::leader;
    const bool leads = now.role == member_role::leader;
    if (led && !leads)
        changes.push_back(
            {event_kind::leader_stepped_down,
             watch.self.value() + " is " + to_string(now.role) + ", " + term});
    if (now.leader != watch.leader && !now.leader.value().empty())
        changes.push_back(
            {event_kind::leader_elected, now.leader.value() + ", " + term});
    if (watch.quorum && !now.has_quorum)
        changes.push_back(
            {event_kind::quorum_lost,
             "seen by " + watch.self.value() + ", " + term});
    if (!watch.started || (watch.quorum && !now.has_quorum))
        watch.lost_since = at;
    watch.started = true;
    watch.role = now.role;
    watch.quorum = now.has_quorum;
    // Kept while no leader is known, so that the return of the same leader is
    // not reported as an election.
    if (!now.leader.value().empty())
        watch.leader = now.leader;
    return changes;
}

bool quorum_lost_for(
    const status_watch& watch, base::duration limit, base::time_point at)
{
    return watch.started && !watch.quorum && at - watch.lost_since > limit;
}

} // namespace oleanderhinge::control
