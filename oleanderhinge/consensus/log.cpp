#include "oleanderhinge/consensus/log.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::consensus
{

log_index last_index(const log& l)
{
    return log_index{l.base.value() + l.entries.size()};
}

term last_term(const log& l)
{
    return l.entries.empty() ? l.base_term : l.entries.back().entry_term;
}

std::optional<term> term_at(const log& l, log_index index)
{
    if (index == l.base)
        return l.base_term;
    if (index < l.base || index > last_index(l))
        return std::nullopt;
    return entry_at(l, index).entry_term;
}

const entry& entry_at(const log& l, log_index index)
{
    return l.entries[index.value() - l.base.value() - 1];
}

const membership& current_membership(const log& l)
{
    return l.memberships.back().members;
}

log_index membership_index(const log& l)
{
    return l.memberships.back().index;
}

void append(log& l, entry e)
{
    if (e.kind == entry_kind::membership) {
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(members, decode_membership(e.payload));
                l.memberships.push_back({e.index, std::move(members)});
                return {};
            },
            // Does not happen: `decode` rejects messages with such entries.
            [](const base::error&) {});
    }
    l.entries.push_back(std::move(e));
}

void truncate(log& l, log_index from)
{
    while (last_index(l) >= from && !l.entries.empty())
        l.entries.pop_back();
    while (l.memberships.size() > 1 && l.memberships.back().index >= from)
        l.memberships.pop_back();
}

void compact(log& l, log_index up_to)
{
    if (up_to <= l.base)
        return;
    l.base_term = *term_at(l, up_to);
    const auto count = up_to.value() - l.base.value();
    l.entries.erase(
        l.entries.begin(), l.entries.begin() + std::ptrdiff_t(count));
    l.base = up_to;
    while (l.memberships.size() > 1 && l.memberships[1].index <= up_to)
        l.memberships.erase(l.memberships.begin());
}

void reset(log& l, log_index base, term base_term, membership members)
{
    l.base = base;
    l.base_term = base_term;
    l.entries.clear();
    l.memberships.clear();
    l.memberships.push_back({base, std::move(members)});
}

const membership& membership_at(const log& l, log_index index)
{
    const auto after = std::find_if(
        l.memberships.begin() + 1,
        l.memberships.end(),
        [&](const membership_record& r) { return r.index > index; });
    return std::prev(after)->members;
}

std::vector<entry>
copy(const log& l, log_index from, std::size_t count, std::size_t bytes)
{
    std::vector<entry> out;
    std::size_t total = 0;
    for (auto i = from; i <= last_index(l) && out.size() < count;
         i = i.next()) {
        const auto& e = entry_at(l, i);
        total += e.payload.size();
        if (!out.empty() && total > bytes)
            break;
        out.push_back(e);
    }
    return out;
}

} // namespace oleanderhinge::consensus
