#include "oleanderhinge/replica/internal/waiters.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::replica::internal
{

namespace
{

// Removes all expired elements, then calls `finish` for each of them. Callbacks
// may thus add new elements.
template <class Map, class Finish>
void finish_expired(Map& items, base::time_point now, Finish&& finish)
{
    std::vector<typename Map::mapped_type> expired;
    for (auto i = items.begin(); i != items.end();) {
        if (i->second.deadline > now) {
            ++i;
            continue;
        }
        expired.push_back(std::move(i->second));
        i = items.erase(i);
    }
    for (auto& e : expired)
        finish(e);
}

} // namespace

std::uint64_t waiters::add(pending_proposal p)
{
    this->proposed.emplace(++this->last_tag, std::move(p));
    return this->last_tag;
}

std::uint64_t waiters::add(pending_barrier b)
{
    this->barriers.emplace(++this->last_tag, std::move(b));
    return this->last_tag;
}

void waiters::on_accepted(const consensus::accepted& a)
{
    auto found = this->proposed.extract(a.tag);
    if (found.empty())
        return;
    found.mapped().entry_term = a.entry_term;
    this->in_log.insert_or_assign(a.index, std::move(found.mapped()));
}

void waiters::on_rejected(const consensus::rejected& r)
{
    if (auto found = this->proposed.extract(r.tag)) {
        const bool not_leader =
            r.reason == consensus::reject_reason::not_leader;
        found.mapped().done(
            {not_leader ? propose_state::not_leader
                        : propose_state::unavailable,
             {},
             {}});
    }
    if (auto found = this->barriers.extract(r.tag))
        found.mapped().done({false});
}

void waiters::on_applied(const consensus::entry& e, std::string reply)
{
    auto found = this->in_log.extract(e.index);
    if (found.empty())
        return;
    auto& waiting = found.mapped();
    if (waiting.entry_term != e.entry_term)
        waiting.done({propose_state::unknown, {}, {}});
    else if (waiting.added != base::vm_id{})
        this->additions.push_back({std::move(waiting), e.index});
    else
        waiting.done({propose_state::applied, e.index, std::move(reply)});
}

void waiters::on_members(const consensus::membership& members)
{
    std::vector<addition> finished;
    std::erase_if(this->additions, [&](addition& a) {
        const bool is_promoted = std::any_of(
            members.begin(), members.end(), [&](const consensus::member& m) {
                return m.vm == a.waiting.added && !m.promote;
            });
        if (is_promoted)
            finished.push_back(std::move(a));
        return is_promoted;
    });
    for (auto& a : finished)
        a.waiting.done({propose_state::applied, a.index, {}});
}

void waiters::on_read_ready(std::uint64_t tag)
{
    if (auto found = this->barriers.extract(tag))
        found.mapped().done({true});
}

void waiters::on_leadership_lost()
{
    auto entries = std::exchange(this->in_log, {});
    auto added = std::exchange(this->additions, {});
    for (auto& [index, waiting] : entries)
        waiting.done({propose_state::unknown, {}, {}});
    for (auto& a : added)
        a.waiting.done({propose_state::unknown, {}, {}});
}

void waiters::expire(base::time_point now)
{
    const auto fail = [](pending_proposal& w) {
        w.done({propose_state::unknown, {}, {}});
    };
    finish_expired(this->in_log, now, fail);
    finish_expired(
        this->barriers, now, [](pending_barrier& w) { w.done({false}); });
    std::vector<addition> expired;
    std::erase_if(this->additions, [&](addition& a) {
        const bool is_late = a.waiting.deadline <= now;
        if (is_late)
            expired.push_back(std::move(a));
        return is_late;
    });
    for (auto& a : expired)
        fail(a.waiting);
}

void waiters::close()
{
    this->on_leadership_lost();
    auto open = std::exchange(this->proposed, {});
    auto reads = std::exchange(this->barriers, {});
    for (auto& [tag, waiting] : open)
        waiting.done({propose_state::unavailable, {}, {}});
    for (auto& [tag, waiting] : reads)
        waiting.done({false});
}

} // namespace oleanderhinge::replica::internal
