#include "oleanderhinge/gateway/path_change.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace oleanderhinge::gateway
{

namespace
{

const departure*
find(const departures& known, const base::backend_server_id& server)
{
    const auto found = known.find(server);
    return found == known.end() ? nullptr : &found->second;
}

bool may_replace(
    const running_stream& stream, const departure& first, base::time_point now)
{
    return stream.replaceable &&
           (first.standing == server_standing::lost ||
            (stream.begun && now >= first.since + replacement_delay));
}

// How the stream moves, without regard to how many do.
std::optional<planned_move> move_of(
    const running_stream& stream,
    std::size_t index,
    const departures& known,
    base::time_point now)
{
    if (now < stream.next_trial)
        return std::nullopt;
    std::optional<planned_move> found;
    const auto& parts = *stream.parts;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const auto* state = find(known, parts[part].server);
        if (state == nullptr || (found && found->standing >= state->standing))
            continue;
        const bool runs = now < stream.last_progress + progress_margin;
        if (state->standing == server_standing::lost ? runs : !stream.begun)
            continue;
        if (part == 0) {
            // Without its first server, the rest of the path is of no use.
            if (!may_replace(stream, *state, now))
                return std::nullopt;
            return planned_move{
                index, move_way::replace_attempt, part, state->standing};
        }
        found = {index, move_way::change_path, part, state->standing};
    }
    return found;
}

// How many of `count` streams move in this tick, so that all have moved by
// `end`.
std::size_t share_of_tick(
    std::size_t count,
    base::duration tick,
    base::time_point end,
    base::time_point now)
{
    if (now + tick >= end)
        return count;
    return std::size_t(std::ceil(
        double(count) * double(tick.count()) / double((end - now).count())));
}

} // namespace

void note_standing(
    departures& known,
    const base::backend_server_id& server,
    server_standing standing,
    base::time_point now)
{
    if (standing == server_standing::sound) {
        known.erase(server);
        return;
    }
    const auto [found, added] =
        known.try_emplace(server, departure{standing, now});
    if (!added && found->second.standing != standing)
        found->second = {standing, now};
}

std::vector<planned_move> plan_moves(
    const std::vector<running_stream>& streams,
    const departures& known,
    base::duration tick,
    base::time_point now)
{
    std::vector<planned_move> moves;
    if (known.empty())
        return moves;
    std::map<base::backend_server_id, std::vector<planned_move>> leaving;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        auto move = move_of(streams[i], i, known, now);
        if (!move)
            continue;
        if (move->standing == server_standing::lost)
            moves.push_back(*move);
        else
            leaving[(*streams[i].parts)[move->part].server].push_back(*move);
    }
    for (auto& [server, waiting] : leaving) {
        std::ranges::stable_sort(waiting, {}, [&](const planned_move& move) {
            return streams[move.stream].events;
        });
        waiting.resize(share_of_tick(
            waiting.size(),
            tick,
            known.at(server).since + departure_time,
            now));
        moves.insert(moves.end(), waiting.begin(), waiting.end());
    }
    return moves;
}

base::time_point retry_time(base::time_point failed, bool view_changed)
{
    return failed + (view_changed ? changed_view_retry : same_view_retry);
}

bool leaves_before_start(base::duration waited, base::duration other_wait)
{
    return waited >= min_wait_for_start &&
           2 * other_wait + restart_time < waited;
}

} // namespace oleanderhinge::gateway
