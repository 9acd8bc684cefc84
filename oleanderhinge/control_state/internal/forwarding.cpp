#include "oleanderhinge/control_state/internal/forwarding.hpp"

namespace oleanderhinge::control_state::internal
{

replace_reply apply_replace(state& target, const replace_forwarding& item)
{
    const auto present_version = target.config.forwarding.version;
    if (item.table.version <= present_version)
        return {false, present_version};
    const wire::change put = wire::put_forwarding{item.table};
    const auto before = target.config.at;
    wire::apply(target.config, put, before.next());
    target.forwarding_document = item.document;
    // A table may take megabytes, so only the newest one is kept as a delta. A
    // subscriber that is further behind gets the full configuration.
    target.changes.clear();
    target.changes_after = before;
    target.changes.emplace_back(target.config.at, put);
    return {true, item.table.version};
}

} // namespace oleanderhinge::control_state::internal
