// The changes that are kept to send deltas to subscribers.
#pragma once

#include "oleanderhinge/control_state/state.hpp"

namespace oleanderhinge::control_state::internal
{

// Drops the changes of the oldest revision; a subscriber that needs them gets
// the whole configuration. Precondition: there are changes.
void drop_oldest_revision(state& target);

// Drops whole revisions until at most `count` changes are left.
void keep_changes(state& target, std::size_t count);

} // namespace oleanderhinge::control_state::internal
