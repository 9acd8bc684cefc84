// The state machine of this node. The log's thread applies commands to it, and
// other threads query it.
//
// Example:
//   replicated_state shared;
//   auto log = make_log(shared.machine());
//   auto at = shared.read([](const auto& s) { return s.config.at; });
#pragma once

#include "oleanderhinge/control_state/state.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace oleanderhinge::control
{

// Thread-safe. Must outlive the log that uses `machine()`.
class replicated_state
{
public:
    // `change_callback` is called on the log's thread, without the lock, after
    // a new revision of the configuration, after the end of a server and after
    // each restored snapshot.
    explicit replicated_state(std::function<void()> change_callback = {});

    // The callbacks for the replicated log. Restoring an unreadable snapshot
    // throws std::runtime_error.
    replica::state_machine machine();

    // Calls `query(const control_state::state&)` under the lock and returns a
    // copy of its result. `query` must not block or call back into this object.
    template <class Query>
    auto read(Query&& query) const
    {
        const std::lock_guard lock(this->mutex);
        return query(this->held);
    }

private:
    std::string apply(base::log_index index, const std::string& command);
    std::string take_snapshot() const;
    void restore(base::log_index index, const std::string& snapshot);
    void notify() const;

    const std::function<void()> on_change;
    mutable std::mutex mutex;
    control_state::state held;
};

} // namespace oleanderhinge::control
