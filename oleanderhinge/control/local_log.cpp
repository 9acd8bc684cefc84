#include "oleanderhinge/control/local_log.hpp"

#include <utility>

namespace oleanderhinge::control
{

using replica::propose_state;

local_log::local_log(replica::member only, replica::state_machine applier)
    : self(std::move(only))
    , machine(std::move(applier))
{
}

void local_log::propose(
    std::string command, std::function<void(replica::propose_result)> done)
{
    replica::propose_result result;
    {
        const std::lock_guard lock(this->mutex);
        this->applied = this->applied.next();
        result = {
            propose_state::applied,
            this->applied,
            this->machine.apply(this->applied, command)};
    }
    done(std::move(result));
}

void local_log::read_barrier(std::function<void(replica::barrier_result)> done)
{
    done({true});
}

void local_log::add_member(
    replica::member, std::function<void(replica::propose_result)> done)
{
    done({propose_state::unavailable, {}, {}});
}

void local_log::remove_member(
    base::vm_id, std::function<void(replica::propose_result)> done)
{
    done({propose_state::unavailable, {}, {}});
}

replica::log_status local_log::status() const
{
    const std::lock_guard lock(this->mutex);
    return {
        .role = replica::member_role::leader,
        .current_term = base::term{1},
        .leader = this->self.vm,
        .last = this->applied,
        .committed = this->applied,
        .applied = this->applied,
        .quorum = true,
        .lease_age_ms = 0,
        .members = {this->self}};
}

} // namespace oleanderhinge::control
