// Detects changes in the status of the replicated log, for the time line and
// the log file.
//
// Example:
//   for (const auto& item : observe(watch, log.status(), now))
//       events.record(item.kind, item.detail);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::control
{

struct status_watch {
    base::vm_id self;
    replica::member_role role = replica::member_role::follower;
    base::vm_id leader;
    bool quorum = false;
    bool started = false;
    // Time since which there has been no quorum; valid while `!quorum`.
    base::time_point lost_since;
};

struct status_change {
    timeline::event_kind kind;
    std::string detail;
};

// Returns the changes of leader, role and quorum since the last call; the first
// call compares with a follower without leader and quorum.
std::vector<status_change> observe(
    status_watch& watch, const replica::log_status& now, base::time_point at);

// Returns true if there has been no quorum for longer than `limit`; false
// before the first `observe`.
bool quorum_lost_for(
    const status_watch& watch, base::duration limit, base::time_point at);

const char* to_string(replica::member_role role);

} // namespace oleanderhinge::control
