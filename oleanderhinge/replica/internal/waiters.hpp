// Callbacks of proposals, membership changes and read barriers that have no
// result yet. Used by the event loop thread only.
//
// Example:
//   const auto tag = waiting.add(pending_proposal{done, deadline, {}, {}});
//   waiting.on_accepted({tag, index, term});
//   waiting.on_applied(entry, "reply");  // calls done
#pragma once

#include "oleanderhinge/consensus/events.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"

#include <map>
#include <vector>

namespace oleanderhinge::replica::internal
{

using propose_callback = std::function<void(propose_result)>;
using barrier_callback = std::function<void(barrier_result)>;

struct pending_proposal {
    propose_callback done;
    base::time_point deadline;
    // The VM that is added, else empty. An addition is finished once the VM is
    // a voter, or a learner that is not to be promoted.
    base::vm_id added;
    // Set once the entry is appended to the log.
    base::term entry_term;
};

struct pending_barrier {
    barrier_callback done;
    base::time_point deadline;
};

// Calls each callback once.
class waiters
{
public:
    // Return the tag of the request, unique among proposals and barriers.
    std::uint64_t add(pending_proposal p);
    std::uint64_t add(pending_barrier b);

    // The proposal with this tag was appended.
    void on_accepted(const consensus::accepted& a);
    // Finishes the proposal or barrier: a proposal with `not_leader` or
    // `unavailable`, a barrier with `ok` false.
    void on_rejected(const consensus::rejected& r);
    // Finishes the proposal with the state machine's `reply`, or with `unknown`
    // if an entry of another term was applied at its index. An addition waits
    // for `on_members` after that.
    void on_applied(const consensus::entry& e, std::string reply);
    // Finishes the additions that the committed membership completes.
    void on_members(const consensus::membership& members);
    // Finishes the barrier with `ok`.
    void on_read_ready(std::uint64_t tag);
    // Finishes all appended proposals with `unknown`.
    void on_leadership_lost();
    // Finishes appended proposals with `unknown`, and barriers with `ok` false,
    // whose deadline has passed.
    void expire(base::time_point now);
    // Finishes everything: appended proposals with `unknown`, others with
    // `unavailable`, barriers with `ok` false.
    void close();

private:
    struct addition {
        pending_proposal waiting;
        base::log_index index;
    };

    std::uint64_t last_tag = 0;
    // By tag: passed to `consensus`, which has not accepted or rejected them
    // yet.
    std::map<std::uint64_t, pending_proposal> proposed;
    // By index: accepted and not applied yet.
    std::map<base::log_index, pending_proposal> in_log;
    std::map<std::uint64_t, pending_barrier> barriers;
    // Applied, but the new member is not promoted yet.
    std::vector<addition> additions;
};

} // namespace oleanderhinge::replica::internal
