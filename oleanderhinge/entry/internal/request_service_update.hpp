// Definition of request_service::update_request. Only the source files of that
// class include it.
#pragma once

#include "oleanderhinge/entry/request_service.hpp"

namespace oleanderhinge::entry
{

template <class StateMachine, class Step>
void request_service::update_request(const base::request_id& id, Step step)
{
    const auto now = base::monotonic_now();
    effects todo;
    {
        auto& part = this->shard_of(id);
        const std::lock_guard lock(part.mutex);
        const auto found = part.requests.find(id);
        if (found == part.requests.end())
            return;
        auto& live = found->second;
        auto* state_machine = std::get_if<StateMachine>(&live.state_machine);
        if (state_machine == nullptr)
            return;
        const auto actions = step(*state_machine, todo, now);
        this->collect(live, *state_machine, actions, now, todo);
        if (live.finished) {
            part.requests.erase(found);
            --this->live_count;
        }
    }
    this->perform(id, std::move(todo), now);
}

} // namespace oleanderhinge::entry
