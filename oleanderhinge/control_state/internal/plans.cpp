#include "oleanderhinge/control_state/internal/plans.hpp"

#include "oleanderhinge/control_state/internal/kept_changes.hpp"

#include "oleanderhinge/control_state/internal/sizes.hpp"
#include "oleanderhinge/control_state/queries.hpp"
#include "oleanderhinge/control_state/validate.hpp"
#include "oleanderhinge/wire/archive.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace oleanderhinge::control_state::internal
{

namespace
{

constexpr std::size_t max_plan_id_bytes = 64;

// Clears the fields that only `wire::apply` sets, and converts the credential
// digest to lower case, because entry nodes compare it as text.
void normalise(wire::change& item)
{
    if (auto* put = std::get_if<wire::put_route>(&item)) {
        put->value.modified = {};
    } else if (auto* added = std::get_if<wire::put_customer>(&item)) {
        added->value.modified = {};
        for (char& digit : added->value.credential_sha256)
            digit = char(std::tolower(static_cast<unsigned char>(digit)));
    } else if (auto* order = std::get_if<wire::put_order>(&item)) {
        order->value.modified = {};
        order->value.number = {};
    } else if (auto* shares = std::get_if<wire::put_shares>(&item)) {
        shares->value.modified = {};
    }
}

bool has_same_intents(
    const plan& kept, const std::vector<wire::change>& intents)
{
    return std::equal(
        kept.changes.begin(),
        kept.changes.end(),
        intents.begin(),
        intents.end(),
        [](const planned_change& left, const wire::change& right) {
            return left.after == right;
        });
}

bool valid_plan_id(const base::plan_id& id)
{
    const auto& text = id.value();
    return !text.empty() && text.size() <= max_plan_id_bytes &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-';
           });
}

// Adds the objects outside the plan that conflict with a customer in it: routes
// that the customer uses and that were removed, and other customers that have
// received the same credential since the plan was created.
void add_reference_conflicts(
    const wire::configuration& after,
    const wire::change& item,
    const state& from,
    std::vector<plan_conflict>& conflicts)
{
    const auto* put = std::get_if<wire::put_customer>(&item);
    if (put == nullptr)
        return;
    for (const auto& route : put->value.routes)
        if (!after.routes.contains(route)) {
            const wire::change removal = wire::remove_route{route};
            conflicts.push_back(
                {wire::object_name(removal), last_changed(from, removal)});
        }
    for (const auto& [id, other] : after.customers)
        if (id != put->value.id &&
            other.credential_sha256 == put->value.credential_sha256)
            conflicts.push_back({"customer " + id.value(), other.modified});
}

// Returns the objects of the plan that have changed since its base revision.
std::vector<plan_conflict> changed_objects(const state& from, const plan& item)
{
    std::vector<plan_conflict> conflicts;
    for (const auto& change : item.changes) {
        auto changed = last_changed(from, change.after);
        // The object has disappeared and its removal is no longer remembered,
        // so it may have been removed at any revision up to `removals_after`.
        if (changed == base::revision{} &&
            !present_value(from.config, change.after) && change.before)
            changed = from.removals_after;
        if (changed > item.base_revision)
            conflicts.push_back({wire::object_name(change.after), changed});
    }
    return conflicts;
}

// Remembers the removal of the object that `item` removes, or forgets it if the
// object exists again.
void update_removals(state& target, const wire::change& item)
{
    auto name = wire::object_name(item);
    if (present_value(target.config, item)) {
        target.removals.erase(name);
        return;
    }
    target.removals[std::move(name)] = target.config.at;
    if (target.removals.size() <= max_removals)
        return;
    const auto oldest = std::min_element(
        target.removals.begin(),
        target.removals.end(),
        [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    target.removals_after = std::max(target.removals_after, oldest->second);
    target.removals.erase(oldest);
}

void commit_plan(state& target, plan& confirmed, wire::configuration&& after)
{
    target.config = std::move(after);
    for (const auto& change : confirmed.changes) {
        target.changes.emplace_back(target.config.at, change.after);
        update_removals(target, change.after);
    }
    keep_changes(target, max_kept_changes);
    confirmed.status = plan_status::confirmed;
    confirmed.confirmed_at = target.config.at;
}

confirm_reply
mark_conflicted(plan& refused, std::vector<plan_conflict> conflicts)
{
    refused.status = plan_status::conflicted;
    refused.conflicts = std::move(conflicts);
    return {confirm_reply::outcome::conflict, false, refused};
}

confirm_reply confirm_open_plan(state& target, plan& open)
{
    auto conflicts = changed_objects(target, open);
    if (!conflicts.empty())
        return mark_conflicted(open, std::move(conflicts));
    // The changes are applied to a copy, which is discarded if the result is
    // invalid.
    auto after = target.config;
    const auto next = target.config.at.next();
    for (const auto& change : open.changes)
        wire::apply(after, change.after, next);
    for (const auto& change : open.changes)
        add_reference_conflicts(after, change.after, target, conflicts);
    if (!conflicts.empty())
        return mark_conflicted(open, std::move(conflicts));
    if (wire::to_bytes(after).size() > max_configuration_bytes)
        return {confirm_reply::outcome::too_large, false, open};
    commit_plan(target, open, std::move(after));
    return {confirm_reply::outcome::confirmed, false, open};
}

plan make_plan(const state& from, const create_plan& item)
{
    plan made{
        .id = item.id,
        .base_revision = from.config.at,
        .created_ms = from.clock_ms,
        .changes = {},
        .status = plan_status::open,
        .confirmed_at = {},
        .conflicts = {}};
    for (const auto& intent : item.intents)
        made.changes.push_back({present_value(from.config, intent), intent});
    return made;
}

// Forgets the removals that no open plan can conflict with.
void trim_removals(state& target)
{
    auto oldest_base = target.config.at;
    for (const auto& [id, kept] : target.plans)
        if (kept.status == plan_status::open)
            oldest_base = std::min(oldest_base, kept.base_revision);
    std::erase_if(target.removals, [oldest_base](const auto& removal) {
        return removal.second <= oldest_base;
    });
    target.removals_after = std::max(target.removals_after, oldest_base);
}

} // namespace

plan_reply apply_create(state& target, const create_plan& item)
{
    using outcome = plan_reply::outcome;
    create_plan request = item;
    for (auto& intent : request.intents)
        normalise(intent);
    if (const auto* kept = find_plan(target, request.id))
        return has_same_intents(*kept, request.intents)
                   ? plan_reply{outcome::repeated, *kept, {}}
                   : plan_reply{outcome::id_taken, {}, {}};
    if (!valid_plan_id(request.id))
        return {
            outcome::invalid,
            {},
            {"id: must be 1 to 64 letters, digits and '-'"}};
    auto faults = validate(target.config, request.intents);
    if (!faults.empty())
        return {outcome::invalid, {}, std::move(faults)};
    auto made = make_plan(target, request);
    const auto size = size_of(made);
    if (target.plans.size() >= max_plans ||
        target.plan_bytes + size > max_plan_bytes)
        return {outcome::full, {}, {}};
    target.plan_bytes += size;
    target.plans.emplace(made.id, made);
    return {outcome::created, std::move(made), {}};
}

confirm_reply apply_confirm(state& target, const confirm_plan& item)
{
    using outcome = confirm_reply::outcome;
    const auto found = target.plans.find(item.id);
    if (found == target.plans.end())
        return {};
    auto& kept = found->second;
    if (kept.status == plan_status::confirmed)
        return {outcome::confirmed, true, kept};
    if (kept.status == plan_status::conflicted)
        return {outcome::conflict, true, kept};
    const auto size_before = size_of(kept);
    auto result = confirm_open_plan(target, kept);
    target.plan_bytes = target.plan_bytes - size_before + size_of(kept);
    return result;
}

std::uint64_t expire_plans(state& target, std::uint64_t before_ms)
{
    const auto dropped = std::erase_if(target.plans, [&](const auto& entry) {
        const bool old = entry.second.created_ms < before_ms;
        if (old)
            target.plan_bytes -= size_of(entry.second);
        return old;
    });
    trim_removals(target);
    return dropped;
}

} // namespace oleanderhinge::control_state::internal
