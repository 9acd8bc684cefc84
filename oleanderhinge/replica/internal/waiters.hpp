// Callbacks that wait for the log: proposals, membership changes, barriers.
// Used by the decision thread only.
#pragma once

#include "oleanderhinge/consensus/events.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"

#include <map>
#include <vector>

namespace oleanderhinge::replica::internal
{

using propose_callback = std::function<void(propose_result)>;
using barrier_callback = std::function<void(barrier_result)>;

struct waiting_proposal {
    propose_callback done;
    base::time_point deadline;
    // Set for an addition: finished once this VM is a voter, or a learner that
    // is to stay one.
    base::vm_id added;
    // Known once the entry is in the log.
    base::term entry_term;
};

struct waiting_barrier {
    barrier_callback done;
    base::time_point deadline;
};

class waiters
{
public:
    // Tags are unique over both kinds.
    std::uint64_t add(waiting_proposal p);
    std::uint64_t add(waiting_barrier b);

    void on_accepted(const consensus::accepted& a);
    void on_rejected(const consensus::rejected& r);
    // An entry was committed and applied with this reply.
    void on_applied(const consensus::entry& e, std::string reply);
    // Finishes additions that the committed membership fulfils.
    void on_members(const consensus::membership& members);
    void on_read_ready(std::uint64_t tag);
    // The outcome of all entries in the log is unknown from now on.
    void on_leadership_lost();
    void expire(base::time_point now);
    // Answers everything that still waits.
    void close();

private:
    struct addition {
        waiting_proposal waiting;
        base::log_index index;
    };

    std::uint64_t last_tag = 0;
    // By tag: handed to `consensus`, no answer yet.
    std::map<std::uint64_t, waiting_proposal> proposed;
    std::map<base::log_index, waiting_proposal> in_log;
    std::map<std::uint64_t, waiting_barrier> barriers;
    std::vector<addition> additions;
};

} // namespace oleanderhinge::replica::internal
