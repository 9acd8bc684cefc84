#include "oleanderhinge/control_state/internal/kept_changes.hpp"

namespace oleanderhinge::control_state::internal
{

void drop_oldest_revision(state& target)
{
    target.changes_after = target.changes.front().first;
    while (!target.changes.empty() &&
           target.changes.front().first == target.changes_after)
        target.changes.pop_front();
}

void keep_changes(state& target, std::size_t count)
{
    while (target.changes.size() > count)
        drop_oldest_revision(target);
}

} // namespace oleanderhinge::control_state::internal
