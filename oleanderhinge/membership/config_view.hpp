// The configuration held by an entry node, and whether requests may be served
// with it (docs/design.md, 3.6).
//
// The view applies only higher revisions. Its lease starts at the time at which
// control confirmed its revision as the newest. This time is computed from the
// age in `config_confirm`, so clocks are not compared between machines. After
// the lease has expired, requests are refused, except for routes with
// `serve_last`.
//
// Example:
//   config_view view;
//   for (auto& action : apply_update(view, update, now)) ...
//   for (auto& action : apply_confirm(view, confirm, now)) ...
//   auto decision = may_serve(view, route, now);
//   if (!decision.allowed) answer(decision.refusal);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhinge::membership
{

struct config_view_options {
    // Setting config.lease.
    base::duration lease = std::chrono::seconds(5);
    // Time since the last confirmation for which `serve_last` routes are served
    // without a lease.
    base::duration serve_last_limit = std::chrono::seconds(3600);
    // While the lease holds, a node that has served keeps serving for this
    // long after a higher revision was first reported, since the update
    // normally arrives shortly afterwards. Without it, each of the 18,000
    // changes a day would cause refused requests until the update arrives. It
    // does not apply to a node that has not served yet or has lost its lease.
    base::duration update_grace_period = std::chrono::seconds(2);
};

struct config_view {
    config_view_options options;
    // Null until the first configuration arrives. Readers may keep the
    // pointer; a change makes a new object.
    std::shared_ptr<const wire::configuration> config;
    // Latest time at which `config` was known to be the newest; valid if
    // `confirmed`.
    base::time_point confirmed_at;
    bool confirmed = false;
    // The lease held at least once since the start of the process.
    bool has_served = false;
    // State of the lease as last reported by an action.
    bool holds_lease = false;
    // Highest revision that agents or the parent have reported.
    base::revision highest_reported;
    // When a revision above that of `config` was first reported; valid while
    // `highest_reported` is above it.
    base::time_point behind_since;
};

// A higher revision was applied. `delta` is true if it was reached by changes
// to `from`, which may be forwarded unchanged.
struct config_applied {
    base::revision from;
    base::revision to;
    bool delta = false;

    bool operator==(const config_applied&) const = default;
};

// The parent must send the whole configuration, since a change is missing.
struct full_update_needed {
    base::revision have;

    bool operator==(const full_update_needed&) const = default;
};

// The sender is behind this node and must not be its parent.
struct parent_behind {
    base::revision theirs;
    base::revision ours;

    bool operator==(const parent_behind&) const = default;
};

enum class loss_reason : std::uint8_t {
    // The age of the confirmed configuration reached the lease.
    unconfirmed,
    // A higher revision was reported and has not arrived in time.
    behind,
};

// Requests are refused from now on, except for `serve_last` routes while the
// revision of the view is the highest one reported.
struct lease_lost {
    base::revision at;
    loss_reason reason = loss_reason::unconfirmed;

    bool operator==(const lease_lost&) const = default;
};

// All requests are served from now on.
struct lease_regained {
    base::revision at;

    bool operator==(const lease_regained&) const = default;
};

using config_action = std::variant<
    config_applied,
    full_update_needed,
    parent_behind,
    lease_lost,
    lease_regained>;

// Applies a whole configuration or changes. Only a higher revision is applied;
// an equal one has no effect. Changes that do not start at the revision of the
// view or are malformed have no effect and return `full_update_needed`.
std::vector<config_action> apply_update(
    config_view& view, const wire::config_update& update, base::time_point now);

// As above, without copying a whole configuration. The elements of
// `update.full` may be moved from; their number does not change.
std::vector<config_action> apply_update(
    config_view& view, wire::config_update&& update, base::time_point now);

// Applies a confirm, which extends the lease only if it is for the revision of
// the view. A higher revision returns `full_update_needed`, a lower one
// `parent_behind`.
std::vector<config_action> apply_confirm(
    config_view& view,
    const wire::config_confirm& confirm,
    base::time_point now);

// Records the highest configuration revision that agents have reported.
std::vector<config_action> note_reported_revision(
    config_view& view, base::revision reported, base::time_point now);

// Reports the loss of the lease. Call it a few times a second.
std::vector<config_action> tick(config_view& view, base::time_point now);

// --- Queries ----------------------------------------------------------------

// Whether a request may be served.
struct serve_decision {
    bool allowed = false;
    // The request is served with the last configuration, without a lease.
    bool without_lease = false;
    // Verdict `not_run` with code `not_ready`, if not allowed.
    base::verdict refusal;
};

serve_decision may_serve(
    const config_view& view, const wire::route& route, base::time_point now);

// Whether the load balancer should send callers to this node, and the reason if
// not. Not ready whenever requests of routes without `serve_last` would be
// refused.
struct config_readiness {
    bool ready = false;
    std::string reason;
};

config_readiness readiness(const config_view& view, base::time_point now);

// Revision of the configuration; zero without one.
base::revision revision_of(const config_view& view);

// Time since the last confirmation, in milliseconds, rounded up, for
// `config_confirm` and `announcement_ack`. The largest value if nothing was
// confirmed.
std::uint32_t age_ms(const config_view& view, base::time_point now);

// True while the time since the last confirmation is below the lease. Ignores
// higher reported revisions.
bool is_confirmed(const config_view& view, base::time_point now);

} // namespace oleanderhinge::membership
