// Definition of request_service::with, for the source files of the class only.
#pragma once

#include "oleanderhinge/entry/request_service.hpp"

namespace oleanderhinge::entry
{

template <class Machine, class Step>
void request_service::with(const base::request_id& id, Step step)
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
        auto* machine = std::get_if<Machine>(&live.machine);
        if (machine == nullptr)
            return;
        const auto actions = step(*machine, todo, now);
        this->collect(live, *machine, actions, now, todo);
        if (live.finished) {
            part.requests.erase(found);
            --this->live_count;
        }
    }
    this->perform(id, std::move(todo), now);
}

} // namespace oleanderhinge::entry
