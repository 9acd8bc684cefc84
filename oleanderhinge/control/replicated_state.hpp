// The state machine of this node, shared between the log's thread, which
// changes it, and the threads that answer queries.
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

// Thread-safe. Must outlive the log that got `machine()`.
class replicated_state
{
public:
    // `on_revision` is called without a lock on the log's thread after the
    // configuration has changed.
    explicit replicated_state(std::function<void()> on_revision = {});

    replica::state_machine machine();

    // Calls `query(const control_state::state&)` under the lock and returns a
    // copy of its result. `query` must not call out.
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

    const std::function<void()> changed;
    mutable std::mutex mutex;
    control_state::state held;
};

} // namespace oleanderhinge::control
