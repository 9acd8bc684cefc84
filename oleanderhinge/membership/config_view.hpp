// The configuration in an entry node and whether it may be served
// (docs/design.md, 3.6).
//
// The view applies only higher revisions. Its lease starts at the moment at
// which control confirmed its revision as the newest; that moment is known
// from the age in `config_confirm`, without comparing clocks. Beyond the lease
// it refuses, except routes with `serve_last`.
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
    // Longest time for which `serve_last` routes go on after the last confirm.
    base::duration serve_last_limit = std::chrono::seconds(3600);
    // While the lease holds, a node that has served keeps serving for this
    // long after it first heard of a higher revision, since the update for it
    // arrives moments later. Without it, each of the 18,000 changes a day
    // would refuse requests until the update has arrived. A node that has not
    // served yet or has lost its lease gets no such time.
    base::duration catch_up = std::chrono::seconds(2);
};

struct config_view {
    config_view_options options;
    // Null until the first configuration arrives. Readers may keep the
    // pointer; a change makes a new object.
    std::shared_ptr<const wire::configuration> config;
    // Latest moment at which `config` was known to be the newest; meaningful
    // if `confirmed`.
    base::time_point confirmed_at;
    bool confirmed = false;
    // The lease held at least once since the start of the process.
    bool has_served = false;
    // State of the lease as last reported by an action.
    bool holds_lease = false;
    // Highest revision that agents or the parent have reported.
    base::revision highest_reported;
    // When a revision above ours was first reported; meaningful while
    // `highest_reported` is above ours.
    base::time_point behind_since;
};

// A higher revision is in force here. `delta` tells that it was reached by
// changes from `from`, which may be forwarded as they are.
struct config_applied {
    base::revision from;
    base::revision to;
    bool delta = false;

    bool operator==(const config_applied&) const = default;
};

// The parent must send a whole configuration: a change is missing here.
struct ask_full {
    base::revision have;

    bool operator==(const ask_full&) const = default;
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

// Requests are refused from now on, except `serve_last` routes while our
// revision is the highest one reported.
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
    ask_full,
    parent_behind,
    lease_lost,
    lease_regained>;

// Takes a whole configuration or changes. Only a higher revision is applied;
// an equal one changes nothing; changes that do not start at our revision or
// are malformed lead to `ask_full` and change nothing.
std::vector<config_action> apply_update(
    config_view& view, const wire::config_update& update, base::time_point now);

// The same without a copy of a whole configuration: `update.full` keeps its
// size, its content is moved from.
std::vector<config_action> apply_update(
    config_view& view, wire::config_update&& update, base::time_point now);

// Takes a confirm. It extends the lease only if it is for our revision.
std::vector<config_action> apply_confirm(
    config_view& view,
    const wire::config_confirm& confirm,
    base::time_point now);

// Takes the highest revision that agents report.
std::vector<config_action>
note_reported(config_view& view, base::revision reported, base::time_point now);

// Reports the end of the lease. Call it a few times a second.
std::vector<config_action> tick(config_view& view, base::time_point now);

// --- Queries ----------------------------------------------------------------

// Whether a request may be served.
struct serve_decision {
    bool allowed = false;
    // Served with the last configuration, without a lease.
    bool without_lease = false;
    // Verdict `not_run` with code `not_ready`, if not allowed.
    base::verdict refusal;
};

serve_decision may_serve(
    const config_view& view, const wire::route& route, base::time_point now);

// Whether the balancer should send callers here, and why not. False whenever
// requests of routes without `serve_last` would be refused.
struct config_readiness {
    bool ready = false;
    std::string reason;
};

config_readiness readiness(const config_view& view, base::time_point now);

// Our revision; zero without a configuration.
base::revision revision_of(const config_view& view);

// Age to state in `config_confirm` and `announcement_ack`, in milliseconds,
// rounded up. The largest value if nothing was confirmed.
std::uint32_t age_ms(const config_view& view, base::time_point now);

// True while the age of the confirmed configuration is below the lease. Does
// not look at higher reported revisions.
bool is_confirmed(const config_view& view, base::time_point now);

} // namespace oleanderhinge::membership
