#include "oleanderhinge/control_state/internal/forwarding.hpp"

namespace oleanderhinge::control_state::internal
{

replace_reply apply_replace(state& target, const replace_forwarding& item)
{
    const auto held = target.config.forwarding.version;
    if (item.table.version <= held)
        return {false, held};
    const wire::change put = wire::put_forwarding{item.table};
    const auto before = target.config.at;
    wire::apply(target.config, put, before.next());
    target.forwarding_document = item.document;
    // A table may take megabytes, so deltas are kept for the newest one only;
    // a subscriber that is further behind gets the whole configuration.
    target.changes.clear();
    target.changes_after = before;
    target.changes.emplace_back(target.config.at, put);
    return {true, item.table.version};
}

} // namespace oleanderhinge::control_state::internal
