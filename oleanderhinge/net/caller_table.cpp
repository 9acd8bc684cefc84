#include "oleanderhinge/net/caller_table.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace oleanderhinge::net
{

namespace
{

using std::chrono::duration_cast;

struct address_total {
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

std::map<std::string, address_total> totals(const caller_table& table)
{
    std::map<std::string, address_total> found;
    for (const auto& [id, item] : table.callers) {
        auto& total = found[item.address];
        total.bytes += item.held;
        ++total.connections;
    }
    return found;
}

// A request that may run is never given up.
bool may_close_for_memory(const caller& item, base::time_point now)
{
    return item.stage != caller_stage::serving && item.held > 0 &&
           now - item.progress >= progress_grace;
}

// An ordinary caller sends its first request at once.
bool may_close_for_place(const caller& item, base::time_point now)
{
    return item.stage == caller_stage::new_connection ||
           (item.stage != caller_stage::serving &&
            now - item.progress >= progress_grace);
}

using rank = std::tuple<std::size_t, double>;

// The caller of the largest rank among those that may be closed.
template <class MayClose, class Rank>
std::optional<caller_id> find_caller(
    const caller_table& table,
    caller_id except,
    MayClose may_close,
    Rank rank_of)
{
    const auto by_address = totals(table);
    std::optional<caller_id> found;
    rank largest{};
    for (const auto& [id, item] : table.callers) {
        if (id == except || !may_close(item))
            continue;
        const auto present = rank_of(item, by_address.at(item.address));
        if (!found || present > largest) {
            found = id;
            largest = present;
        }
    }
    return found;
}

std::optional<caller_id> caller_to_close_for_memory(
    const caller_table& table, caller_id except, base::time_point now)
{
    return find_caller(
        table,
        except,
        [&](const caller& item) { return may_close_for_memory(item, now); },
        [&](const caller& item, const address_total& total) {
            const std::chrono::duration<double> silent = now - item.progress;
            return rank(total.bytes, double(item.held) * silent.count());
        });
}

std::optional<caller_id>
caller_to_close_for_place(const caller_table& table, base::time_point now)
{
    return find_caller(
        table,
        caller_id{},
        [&](const caller& item) { return may_close_for_place(item, now); },
        [&](const caller& item, const address_total& total) {
            const std::chrono::duration<double> silent = now - item.progress;
            return rank(total.connections, silent.count());
        });
}

bool fits(const shared_memory& memory, std::size_t held, std::size_t bytes)
{
    return bytes <= held || memory.used - held + bytes <= memory.limit;
}

// Closes callers without progress until `has_room`, and none if closing all of
// them would not be enough.
template <class Fits>
caller_decision make_room(
    caller_table& table, caller_id id, base::time_point now, Fits has_room)
{
    caller_decision decision;
    std::size_t closable = 0;
    for (const auto& [other, item] : table.callers)
        if (other != id && may_close_for_memory(item, now))
            closable += item.held;
    table.memory.used -= closable;
    const bool enough = has_room();
    table.memory.used += closable;
    if (!enough) {
        ++table.counters.refused_memory;
        return decision;
    }
    while (!(decision.granted = has_room())) {
        const auto other = caller_to_close_for_memory(table, id, now);
        if (!other)
            break;
        remove(table, *other);
        ++table.counters.closed_for_memory;
        decision.closed.push_back(*other);
    }
    if (!decision.granted)
        ++table.counters.refused_memory;
    return decision;
}

template <class Fits>
caller_decision hold_if(
    caller_table& table,
    caller_id id,
    std::size_t bytes,
    base::time_point now,
    Fits has_room)
{
    const auto found = table.callers.find(id);
    if (found == table.callers.end())
        return {};
    auto& item = found->second;
    auto decision =
        make_room(table, id, now, [&] { return has_room(item.held); });
    if (decision.granted) {
        table.memory.used = table.memory.used - item.held + bytes;
        item.held = bytes;
    }
    return decision;
}

} // namespace

caller_decision admit(
    caller_table& table,
    caller_id id,
    const std::string& address,
    base::time_point now)
{
    caller_decision decision;
    if (table.callers.size() >= table.max_connections) {
        const auto other = caller_to_close_for_place(table, now);
        if (!other) {
            ++table.counters.refused_place;
            return decision;
        }
        remove(table, *other);
        ++table.counters.closed_for_place;
        decision.closed.push_back(*other);
    }
    table.callers.emplace(
        id, caller{address, caller_stage::new_connection, 0, now});
    decision.granted = true;
    return decision;
}

caller_decision
hold(caller_table& table, caller_id id, std::size_t bytes, base::time_point now)
{
    return hold_if(table, id, bytes, now, [&](std::size_t held) {
        if (bytes <= small_request_bytes)
            return fits(table.memory, held, bytes);
        auto part = table.memory;
        part.limit -= part.limit / small_requests_part;
        return may_hold(part, held, bytes);
    });
}

caller_decision hold_to_serve(
    caller_table& table, caller_id id, std::size_t bytes, base::time_point now)
{
    return hold_if(table, id, bytes, now, [&](std::size_t held) {
        return fits(table.memory, held, bytes);
    });
}

void enter(
    caller_table& table, caller_id id, caller_stage stage, base::time_point now)
{
    const auto found = table.callers.find(id);
    if (found == table.callers.end())
        return;
    found->second.stage = stage;
    found->second.progress = now;
}

void note_bytes(
    caller_table& table, caller_id id, std::size_t bytes, base::time_point now)
{
    const auto found = table.callers.find(id);
    if (found == table.callers.end())
        return;
    const std::chrono::duration<double> worth(double(bytes) / min_body_rate);
    auto& progress = found->second.progress;
    progress = std::min(now, progress + duration_cast<base::duration>(worth));
}

base::duration
silence(const caller_table& table, caller_id id, base::time_point now)
{
    const auto found = table.callers.find(id);
    return found == table.callers.end() ? base::duration(0)
                                        : now - found->second.progress;
}

void remove(caller_table& table, caller_id id)
{
    const auto found = table.callers.find(id);
    if (found == table.callers.end())
        return;
    table.memory.used -= found->second.held;
    table.callers.erase(found);
}

} // namespace oleanderhinge::net
