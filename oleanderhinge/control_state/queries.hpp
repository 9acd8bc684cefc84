// Read-only queries on the replicated state.
//
// Example:
//   links.send(subscriber, update_since(state, subscribe.have));
#pragma once

#include "oleanderhinge/control_state/state.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace oleanderhinge::control_state
{

// Returns null if there is no such plan.
const plan* find_plan(const state& from, const base::plan_id& id);

// Returns the update that brings a subscriber from revision `have` to the
// present one: a delta if all changes in between are kept and fit into a frame,
// else the full configuration. A subscriber without a configuration (`have` is
// zero) or with a higher revision gets the full configuration, too; it ignores
// one that is older than its own.
wire::config_update update_since(const state& from, base::revision have);

// Returns the revision that last changed or removed the object that `item`
// touches; zero if it never existed or its removal is no longer remembered.
base::revision last_changed(const state& from, const wire::change& item);

// Returns the object that `item` touches, as a `put_*`; empty if the object
// does not exist.
std::optional<wire::change>
present_value(const wire::configuration& config, const wire::change& item);

// Returns the time in a UUIDv7 key, in milliseconds since the Unix epoch; empty
// for other keys. See RFC 9562, section 5.7.
std::optional<std::uint64_t> uuid_v7_ms(std::string_view key);

} // namespace oleanderhinge::control_state
