#include "oleanderhinge/control/server_ends.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::control
{

void note_end(
    server_ends& ends,
    const base::backend_server_id& id,
    std::uint64_t started_ms)
{
    auto& end = ends.unlogged[id];
    // What was proposed may be the end of an earlier process.
    if (started_ms > end.started_ms)
        end = {.started_ms = started_ms};
}

std::vector<control_state::record_ended_server>
due_ends(server_ends& ends, bool leads, std::uint64_t now_ms)
{
    std::vector<control_state::record_ended_server> due;
    for (auto& [id, end] : ends.unlogged)
        if (!std::exchange(end.proposed, leads) && leads)
            due.push_back({id, end.started_ms, now_ms});
    return due;
}

void drop_obsolete(server_ends& ends, const fleet::directory& known)
{
    std::erase_if(ends.unlogged, [&](const auto& item) {
        const auto found = known.servers.find(item.first);
        return found == known.servers.end() ||
               found->second.record.state != wire::reported_state::gone;
    });
}

void note_failed_proposal(server_ends& ends, const base::backend_server_id& id)
{
    if (const auto found = ends.unlogged.find(id); found != ends.unlogged.end())
        found->second.proposed = false;
}

std::vector<control_state::ended_server> take_logged(
    server_ends& ends, const std::deque<control_state::ended_server>& logged)
{
    std::erase_if(ends.unlogged, [&](const auto& item) {
        return holds_end(logged, item.first, item.second.started_ms);
    });
    std::vector<control_state::ended_server> found;
    for (const auto& item : logged)
        if (item.recorded_at > ends.taken)
            found.push_back(item);
    if (!logged.empty())
        ends.taken = std::max(ends.taken, logged.back().recorded_at);
    return found;
}

bool holds_end(
    const std::deque<control_state::ended_server>& logged,
    const base::backend_server_id& id,
    std::uint64_t started_ms)
{
    const auto found =
        std::ranges::find(logged, id, &control_state::ended_server::id);
    return found != logged.end() && found->started_ms >= started_ms;
}

} // namespace oleanderhinge::control
