#include "oleanderhinge/fleet/crash_quarantine.hpp"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

namespace oleanderhinge::fleet
{

namespace
{

using std::chrono::milliseconds;

// Copies of one crash that arrive over several processes differ by their time
// on the way. A crash that is this much later is another one.
constexpr base::duration repeat_tolerance = std::chrono::seconds(1);
// Limit on the crashes of one message.
constexpr std::size_t max_reports = max_suspects * max_crashes_per_part;

std::uint32_t age_ms(base::time_point then, base::time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - then);
    return std::uint32_t(std::clamp<std::int64_t>(
        age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

base::time_point last_crash(const crash_quarantine::crashes& of)
{
    base::time_point latest = base::time_point::min();
    for (const auto& [own, item] : of)
        latest = std::max(latest, item.at);
    return latest;
}

// Number of crashes of servers. Requests that lost the same server at the same
// time saw one.
std::size_t count_crashes(const crash_quarantine::crashes& of)
{
    std::size_t count = 0;
    for (auto item = of.begin(); item != of.end(); ++item)
        count += std::none_of(of.begin(), item, [&](const auto& other) {
            return other.second.server == item->second.server &&
                   std::chrono::abs(other.second.at - item->second.at) <=
                       clearance_time;
        });
    return count;
}

bool is_quarantined(const crash_quarantine::crashes& of, base::time_point now)
{
    return now < last_crash(of) + quarantine_time &&
           count_crashes(of) >= quarantine_crashes;
}

template <class T>
std::span<const T> first_elements(const std::vector<T>& all, std::size_t limit)
{
    return std::span(all).first(std::min(all.size(), limit));
}

// The parts that count.
std::span<const base::prompt_part> considered_parts(const prompt& request)
{
    const std::span all(request.shared);
    return all.last(std::min(all.size(), max_shared_parts));
}

std::optional<base::time_point>
last_answer(const crash_quarantine& q, base::prompt_part part)
{
    std::optional<base::time_point> latest;
    for (const auto* answers : {&q.answered, &q.answered_before})
        if (const auto found = answers->find(part); found != answers->end())
            latest = std::max(latest.value_or(found->second), found->second);
    return latest;
}

void remember_answer(
    crash_quarantine& q,
    base::prompt_part part,
    base::time_point at,
    base::time_point now)
{
    // Answers older than `clearance_time` are needed only for evidence that
    // arrives late.
    if (now >= q.rotated + 2 * clearance_time) {
        q.answered_before = std::exchange(q.answered, {});
        q.rotated = now;
    }
    if (q.answered.size() >= max_answered_parts && !q.answered.contains(part))
        return;
    auto& latest = q.answered.try_emplace(part, at).first->second;
    latest = std::max(latest, at);
}

// Removes the crashes that an answer clears. True if there were any.
bool clear_crashes(
    crash_quarantine& q, base::prompt_part part, base::time_point answered)
{
    const auto found = q.suspects.find(part);
    if (found == q.suspects.end())
        return false;
    const auto cleared = std::erase_if(found->second, [&](const auto& crash) {
        return crash.second.at <= answered + clearance_time;
    });
    if (found->second.empty())
        q.suspects.erase(found);
    return cleared != 0;
}

// Removes the crashes for which `matches(part, own part, crash)` holds.
template <class Predicate>
void remove_crashes(crash_quarantine& q, Predicate matches)
{
    for (auto& [part, crashes] : q.suspects)
        std::erase_if(crashes, [&, part = part](const auto& item) {
            return matches(part, item.first, item.second);
        });
    std::erase_if(
        q.suspects, [](const auto& item) { return item.second.empty(); });
}

// Makes room for an element of the rank `added` by dropping the one of the
// lowest rank. False if no rank is lower.
template <class Map, class Key, class Rank>
bool make_room(Map& items, std::size_t limit, const Key& added, Rank rank_of)
{
    if (items.size() < limit)
        return true;
    const auto lowest = std::min_element(
        items.begin(), items.end(), [&](const auto& a, const auto& b) {
            return rank_of(a.second) < rank_of(b.second);
        });
    if (added <= rank_of(lowest->second))
        return false;
    items.erase(lowest);
    return true;
}

bool make_room_for_part(crash_quarantine& q, base::time_point at)
{
    return make_room(
        q.suspects,
        max_suspects,
        std::pair(false, at),
        [](const crash_quarantine::crashes& of) {
            return std::pair(
                count_crashes(of) >= quarantine_crashes, last_crash(of));
        });
}

// True if the crash was not known.
bool add_crash(
    crash_quarantine& q,
    base::prompt_part part,
    base::prompt_part own,
    const crash_quarantine::crash& added)
{
    if (!q.suspects.contains(part) && !make_room_for_part(q, added.at))
        return false;
    auto& crashes = q.suspects[part];
    if (const auto known = crashes.find(own); known != crashes.end()) {
        if (added.at <= known->second.at + repeat_tolerance)
            return false;
        known->second = added;
        return true;
    }
    if (!make_room(
            crashes,
            max_crashes_per_part,
            added.at,
            [](const crash_quarantine::crash& item) { return item.at; }))
        return false;
    crashes.emplace(own, added);
    return true;
}

// The part that is to blame for the crashes of requests with these parts: the
// one with the most crashes, if they suffice for a quarantine. Among equals it
// is the last in the prompt, which the fewest other requests share.
std::optional<base::prompt_part> part_to_blame(
    const crash_quarantine& q, const std::vector<base::prompt_part>& shared)
{
    std::optional<base::prompt_part> blamed;
    std::size_t most = quarantine_crashes;
    for (const auto part : shared) {
        const auto found = q.suspects.find(part);
        if (found == q.suspects.end())
            continue;
        const auto count = count_crashes(found->second);
        if (count < most)
            continue;
        most = count;
        blamed = part;
    }
    return blamed;
}

// Removes the crashes of the requests under which servers crashed on the part
// from all other parts.
void attribute_crashes(crash_quarantine& q, base::prompt_part blamed)
{
    const auto requests = q.suspects.at(blamed);
    remove_crashes(
        q, [&](base::prompt_part part, base::prompt_part own, const auto&) {
            return part != blamed && requests.contains(own);
        });
}

// Removes the parts on which an answer began shortly before the crash, and
// returns them.
std::vector<wire::answered_part> take_answered_parts(
    const crash_quarantine& q, wire::crash_report& report, base::time_point now)
{
    const auto at = now - milliseconds(report.age_ms);
    std::vector<wire::answered_part> cleared;
    std::erase_if(report.shared, [&](base::prompt_part part) {
        const auto answered = last_answer(q, part);
        if (!answered || at > *answered + clearance_time)
            return false;
        cleared.push_back({part, age_ms(*answered, now)});
        return true;
    });
    return cleared;
}

// True if the crash was new for one of the parts.
bool apply_crash(
    crash_quarantine& q, const wire::crash_report& report, base::time_point now)
{
    crash_quarantine::crash added{
        now - milliseconds(report.age_ms), report.server, 0};
    if (now - added.at >= crash_memory)
        return false;
    const auto blamed = part_to_blame(q, report.shared);
    bool is_new = false;
    for (const auto part : report.shared) {
        if (!blamed || part == *blamed)
            is_new |= add_crash(q, part, report.own, added);
        ++added.position;
    }
    if (const auto found = part_to_blame(q, report.shared))
        attribute_crashes(q, *found);
    return is_new;
}

} // namespace

wire::crash_evidence
note_answer(crash_quarantine& q, const prompt& request, base::time_point now)
{
    wire::crash_evidence news;
    for (const auto part : considered_parts(request)) {
        remember_answer(q, part, now, now);
        if (clear_crashes(q, part, now))
            news.answered.push_back({part, 0});
    }
    return news;
}

wire::crash_evidence note_crash(
    crash_quarantine& q,
    const prompt& request,
    const wire::endpoint& server,
    base::time_point now)
{
    wire::crash_evidence news;
    const auto parts = considered_parts(request);
    wire::crash_report report{
        request.own, {parts.begin(), parts.end()}, server, 0};
    take_answered_parts(q, report, now);
    if (apply_crash(q, report, now))
        news.crashes.push_back(std::move(report));
    return news;
}

evidence_effect apply(
    crash_quarantine& q,
    const wire::crash_evidence& received,
    base::time_point now)
{
    evidence_effect effect;
    for (const auto& item :
         first_elements(received.answered, max_answered_parts)) {
        const auto at = now - milliseconds(item.age_ms);
        remember_answer(q, item.part, at, now);
        if (clear_crashes(q, item.part, at))
            effect.relay.answered.push_back(item);
    }
    for (auto report : first_elements(received.crashes, max_reports)) {
        if (report.shared.size() > max_shared_parts)
            continue;
        auto cleared = take_answered_parts(q, report, now);
        effect.reply.answered.insert(
            effect.reply.answered.end(), cleared.begin(), cleared.end());
        if (apply_crash(q, report, now))
            effect.relay.crashes.push_back(std::move(report));
    }
    return effect;
}

void expire(crash_quarantine& q, base::time_point now)
{
    remove_crashes(q, [now](auto, auto, const auto& item) {
        return now >= item.at + crash_memory;
    });
}

std::optional<base::time_point> quarantined_until(
    const crash_quarantine& q, const prompt& request, base::time_point now)
{
    std::optional<base::time_point> end;
    for (const auto part : considered_parts(request))
        if (const auto found = q.suspects.find(part);
            found != q.suspects.end() && is_quarantined(found->second, now))
            end = std::max(
                end.value_or(now), last_crash(found->second) + quarantine_time);
    return end;
}

bool may_repeat_after_crash(const crash_quarantine& q, const prompt& request)
{
    const auto is_suspected = [&](base::prompt_part part) {
        const auto found = q.suspects.find(part);
        return found != q.suspects.end() &&
               found->second.size() >= suspicion_crashes &&
               count_crashes(found->second) >= suspicion_crashes;
    };
    return std::ranges::none_of(considered_parts(request), is_suspected);
}

std::size_t quarantined_parts(const crash_quarantine& q, base::time_point now)
{
    return std::size_t(
        std::ranges::count_if(q.suspects, [now](const auto& suspect) {
            return is_quarantined(suspect.second, now);
        }));
}

wire::crash_evidence
all_crashes(const crash_quarantine& q, base::time_point now)
{
    using suspect = std::pair<base::prompt_part, crash_quarantine::crash>;
    std::map<base::prompt_part, std::vector<suspect>> by_request;
    for (const auto& [part, crashes] : q.suspects)
        for (const auto& [own, item] : crashes)
            by_request[own].emplace_back(part, item);
    wire::crash_evidence all;
    for (auto& [own, parts] : by_request) {
        std::ranges::sort(
            parts, {}, [](const suspect& s) { return s.second.position; });
        const auto& last = parts.back().second;
        wire::crash_report report{own, {}, last.server, age_ms(last.at, now)};
        for (const auto& [part, item] : parts)
            report.shared.push_back(part);
        all.crashes.push_back(std::move(report));
    }
    return all;
}

} // namespace oleanderhinge::fleet
