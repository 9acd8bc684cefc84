// Queries on the replicated state; they change nothing.
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

// Null if there is no such plan.
const plan* find_plan(const state& from, const base::plan_id& id);

// The update that brings a subscriber from revision `have` to the present one:
// the changes if they are kept, else the whole configuration. A subscriber
// without a configuration (`have` zero) or with a higher revision than the
// present one gets the whole configuration; it ignores an older one.
wire::config_update update_since(const state& from, base::revision have);

// Revision that changed or removed the object last; zero if it never existed
// or its removal is forgotten.
base::revision last_changed(const state& from, const wire::change& item);

// The object that `item` touches as a `put_*`; empty if it does not exist.
std::optional<wire::change>
present_value(const wire::configuration& config, const wire::change& item);

// Milliseconds since the Unix epoch in a UUIDv7 key; empty for other keys.
// Source: RFC 9562, section 5.7.
std::optional<std::uint64_t> uuid_v7_ms(std::string_view key);

} // namespace oleanderhinge::control_state
