// A replicated log with one member in memory: every command is applied at
// once and lost at the end of the process.
//
// Example:
//   local_log log{member{vm_id{"control-1"}, link, admin}, state.machine()};
#pragma once

#include "oleanderhinge/replica/replicated_log.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace oleanderhinge::control
{

// Thread-safe. Callbacks run before the call returns.
class local_log final : public replica::replicated_log
{
public:
    local_log(replica::member self, replica::state_machine machine);

    void propose(
        std::string command,
        std::function<void(replica::propose_result)> done) override;
    void
    read_barrier(std::function<void(replica::barrier_result)> done) override;
    // Membership cannot change: the answer is `unavailable`.
    void add_member(
        replica::member added,
        std::function<void(replica::propose_result)> done) override;
    void remove_member(
        base::vm_id removed,
        std::function<void(replica::propose_result)> done) override;
    replica::log_status status() const override;

private:
    const replica::member self;
    const replica::state_machine machine;
    // Held while a command is applied, which keeps the log order.
    mutable std::mutex mutex;
    base::log_index applied;
};

} // namespace oleanderhinge::control
