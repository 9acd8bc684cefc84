#include "oleanderhinge/control_state/internal/forwarding.hpp"

#include "oleanderhinge/control_state/internal/kept_changes.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <utility>

namespace oleanderhinge::control_state::internal
{

namespace
{

template <class Change>
bool is_a(const std::pair<base::revision, wire::change>& kept)
{
    return std::holds_alternative<Change>(kept.second);
}

// Makes room for one more change of the table.
void trim_tables(state& target)
{
    keep_changes(target, max_kept_changes - 1);
    while (std::any_of(
        target.changes.begin(),
        target.changes.end(),
        is_a<wire::put_forwarding>))
        drop_oldest_revision(target);
    while (std::size_t(std::count_if(
               target.changes.begin(),
               target.changes.end(),
               is_a<wire::patch_forwarding>)) >= max_kept_patches)
        drop_oldest_revision(target);
}

// The change as subscribers get it: a patch if it is small.
wire::change make_change(
    const wire::forwarding_table& present, const wire::forwarding_table& next)
{
    if (present.version != 0) {
        wire::patch_forwarding patch{wire::make_patch(present, next)};
        if (wire::to_bytes(patch).size() <= max_patch_bytes)
            return patch;
    }
    return wire::put_forwarding{next};
}

} // namespace

replace_reply apply_replace(state& target, const replace_forwarding& item)
{
    const auto& present = target.config.forwarding;
    if (item.table.version <= present.version)
        return {false, present.version};
    const auto before = target.config.at;
    auto change = make_change(present, item.table);
    if (std::holds_alternative<wire::put_forwarding>(change)) {
        target.changes.clear();
        target.changes_after = before;
    }
    wire::apply(target.config, wire::put_forwarding{item.table}, before.next());
    target.forwarding_document = item.document;
    trim_tables(target);
    target.changes.emplace_back(target.config.at, std::move(change));
    return {true, item.table.version};
}

} // namespace oleanderhinge::control_state::internal
