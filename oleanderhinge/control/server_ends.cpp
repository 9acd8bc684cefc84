#include "oleanderhinge/control/server_ends.hpp"

#include <algorithm>

namespace oleanderhinge::control
{

void note_end(
    server_ends& ends,
    const base::backend_server_id& id,
    std::uint64_t started_ms)
{
    auto& started = ends.unlogged[id];
    if (started_ms > started)
        // What was proposed is the end of an earlier process.
        ends.proposed.erase(id);
    started = std::max(started, started_ms);
}

std::vector<control_state::record_ended_server>
due_ends(server_ends& ends, bool leads, std::uint64_t now_ms)
{
    if (!leads) {
        ends.proposed.clear();
        return {};
    }
    std::vector<control_state::record_ended_server> due;
    for (const auto& [id, started_ms] : ends.unlogged)
        if (ends.proposed.insert(id).second)
            due.push_back({id, started_ms, now_ms});
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
    ends.proposed.erase(id);
}

std::vector<control_state::ended_server> take_logged(
    server_ends& ends, const std::deque<control_state::ended_server>& logged)
{
    std::erase_if(ends.unlogged, [&](const auto& item) {
        return holds_end(logged, item.first, item.second);
    });
    std::erase_if(ends.proposed, [&](const auto& id) {
        return !ends.unlogged.contains(id);
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
