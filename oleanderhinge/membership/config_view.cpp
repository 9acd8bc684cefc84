#include "oleanderhinge/membership/config_view.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

using actions = std::vector<config_action>;

// Delay after which a caller may retry. The platform's load balancer sends it
// to another node by then.
constexpr std::chrono::milliseconds retry_hint(1000);

base::duration age(const config_view& view, base::time_point now)
{
    return now - view.confirmed_at;
}

std::string milliseconds_text(base::duration value)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(value)
                   .count()) +
           " ms";
}

// A higher revision was reported and the grace period does not apply.
bool too_far_behind(const config_view& view, base::time_point now)
{
    if (view.highest_reported <= revision_of(view))
        return false;
    const bool in_grace_period =
        view.has_served && is_confirmed(view, now) &&
        now < view.behind_since + view.options.update_grace_period;
    return !in_grace_period;
}

std::string behind_text(const config_view& view)
{
    return "configuration revision " +
           std::to_string(revision_of(view).value()) +
           " is older than revision " +
           std::to_string(view.highest_reported.value()) +
           " that is known to be in force";
}

std::string unconfirmed_text(const config_view& view, base::time_point now)
{
    if (!view.confirmed)
        return "no configuration was confirmed since the start of the process";
    return "configuration revision " +
           std::to_string(revision_of(view).value()) + " was confirmed " +
           milliseconds_text(age(view, now)) + " ago, limit " +
           milliseconds_text(view.options.lease);
}

// Reports the lease as lost or regained if it changed since the last report.
void report_lease(config_view& view, base::time_point now, actions& out)
{
    const bool holds = is_confirmed(view, now) && !too_far_behind(view, now);
    if (holds == view.holds_lease)
        return;
    view.holds_lease = holds;
    view.has_served = view.has_served || holds;
    const auto at = revision_of(view);
    if (holds)
        out.emplace_back(lease_regained{at});
    else
        out.emplace_back(lease_lost{
            at,
            is_confirmed(view, now) ? loss_reason::behind
                                    : loss_reason::unconfirmed});
}

void raise_highest_reported(
    config_view& view, base::revision reported, base::time_point now)
{
    if (reported <= view.highest_reported)
        return;
    // The grace period starts with the first higher revision; further reports
    // do not extend it.
    if (view.highest_reported <= revision_of(view))
        view.behind_since = now;
    view.highest_reported = reported;
}

// Replaces the configuration and keeps `confirmed_at`, although it belongs to
// the old revision: a newer revision from a live parent is at least as new as
// the confirmed one, so the time stays a valid lower bound.
void install(
    config_view& view,
    std::shared_ptr<const wire::configuration> config,
    bool delta,
    actions& out)
{
    const auto from = revision_of(view);
    view.config = std::move(config);
    out.emplace_back(config_applied{from, view.config->at, delta});
}

void apply_full(config_view& view, wire::config_update& update, actions& out)
{
    auto& full = update.full.front();
    const auto ours = revision_of(view);
    if (update.full.size() != 1 || full.at != update.to) {
        out.emplace_back(full_update_needed{ours});
    } else if (view.config && full.at < ours) {
        out.emplace_back(parent_behind{full.at, ours});
    } else if (!view.config || full.at > ours) {
        install(
            view,
            std::make_shared<const wire::configuration>(std::move(full)),
            false,
            out);
    }
}

// Whether the revisions of the changes do not decrease and lie within the
// update.
bool in_order(const wire::config_update& update)
{
    auto last = update.from;
    for (const auto& [at, item] : update.changes) {
        // Several changes may belong to one revision.
        if (at < last || at <= update.from || at > update.to)
            return false;
        last = at;
    }
    return true;
}

void apply_delta(
    config_view& view, const wire::config_update& update, actions& out)
{
    const auto ours = revision_of(view);
    // Late and repeated changes are already part of the configuration.
    if (view.config && update.to <= ours)
        return;
    if (!view.config || update.from != ours || !in_order(update)) {
        out.emplace_back(full_update_needed{ours});
        return;
    }
    auto copy = std::make_shared<wire::configuration>(*view.config);
    for (const auto& [at, item] : update.changes) {
        if (!wire::fits(*copy, item)) {
            out.emplace_back(full_update_needed{ours});
            return;
        }
        wire::apply(*copy, item, at);
    }
    copy->at = update.to;
    install(view, std::move(copy), true, out);
}

serve_decision allow(bool without_lease)
{
    return {true, without_lease, {}};
}

serve_decision refuse(std::string detail)
{
    return {
        false,
        false,
        base::not_run(
            base::failure_code::not_ready, std::move(detail), retry_hint)};
}

} // namespace

std::vector<config_action> apply_update(
    config_view& view, const wire::config_update& update, base::time_point now)
{
    return apply_update(view, wire::config_update(update), now);
}

std::vector<config_action> apply_update(
    config_view& view, wire::config_update&& update, base::time_point now)
{
    actions out;
    if (!update.full.empty())
        apply_full(view, update, out);
    else
        apply_delta(view, update, out);
    report_lease(view, now, out);
    return out;
}

std::vector<config_action> apply_confirm(
    config_view& view,
    const wire::config_confirm& confirm,
    base::time_point now)
{
    actions out;
    const auto ours = revision_of(view);
    const auto confirmed_at = now - std::chrono::milliseconds(confirm.age_ms);
    if (!view.config || confirm.at > ours) {
        // Updates and confirms arrive in order on one link, so the update for
        // this revision was lost.
        raise_highest_reported(view, confirm.at, now);
        out.emplace_back(full_update_needed{ours});
    } else if (confirm.at < ours) {
        out.emplace_back(parent_behind{confirm.at, ours});
    } else {
        view.confirmed_at = view.confirmed
                                ? std::max(view.confirmed_at, confirmed_at)
                                : confirmed_at;
        view.confirmed = true;
    }
    report_lease(view, now, out);
    return out;
}

std::vector<config_action> note_reported_revision(
    config_view& view, base::revision reported, base::time_point now)
{
    actions out;
    raise_highest_reported(view, reported, now);
    report_lease(view, now, out);
    return out;
}

std::vector<config_action> tick(config_view& view, base::time_point now)
{
    actions out;
    report_lease(view, now, out);
    return out;
}

serve_decision may_serve(
    const config_view& view, const wire::route& route, base::time_point now)
{
    if (too_far_behind(view, now))
        return refuse(behind_text(view));
    if (is_confirmed(view, now))
        return allow(false);
    const bool serve_last_applies =
        view.has_served && route.kind == base::route_kind::model &&
        route.isolation == wire::isolation_policy::serve_last &&
        age(view, now) < view.options.serve_last_limit;
    if (serve_last_applies)
        return allow(true);
    return refuse(unconfirmed_text(view, now));
}

config_readiness readiness(const config_view& view, base::time_point now)
{
    if (!is_confirmed(view, now))
        return {false, unconfirmed_text(view, now)};
    if (too_far_behind(view, now))
        return {false, behind_text(view)};
    return {true, {}};
}

base::revision revision_of(const config_view& view)
{
    return view.config ? view.config->at : base::revision{};
}

std::uint32_t age_ms(const config_view& view, base::time_point now)
{
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    if (!view.confirmed)
        return largest;
    const auto value =
        std::chrono::ceil<std::chrono::milliseconds>(age(view, now)).count();
    return std::uint32_t(std::clamp<std::int64_t>(value, 0, largest));
}

bool is_confirmed(const config_view& view, base::time_point now)
{
    return view.config && view.confirmed && age(view, now) < view.options.lease;
}

} // namespace oleanderhinge::membership
