#include "oleanderhinge/membership/config_tree.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

// Doubled at most this often; the largest delay is reached before.
constexpr std::uint32_t max_doublings = 16;

base::duration backoff(const config_tree& tree, base::random_source& random)
{
    const auto doublings = std::min(tree.failures, max_doublings);
    const auto delay = std::min(
        tree.options.backoff_min * (std::int64_t(1) << doublings),
        tree.options.backoff_max);
    const auto half = delay.count() / 2;
    return base::duration(
        half + std::int64_t(random.below(std::uint64_t(half) + 1)));
}

// Forgets the parent and plans the next try.
void plan_next(
    config_tree& tree, base::random_source& random, base::time_point now)
{
    tree.parent = parent_state::none;
    tree.next_try = now + backoff(tree, random);
    ++tree.failures;
}

bool has_parent_link(const config_tree& tree)
{
    return tree.parent == parent_state::connecting ||
           tree.parent == parent_state::subscribed;
}

void leave_parent(
    config_tree& tree,
    base::random_source& random,
    base::time_point now,
    tree_actions& out)
{
    out.emplace_back(tree_close{tree.parent_link});
    tree.candidates.clear();
    plan_next(tree, random, now);
}

void send_subscribe(
    const config_tree& tree, base::revision have, tree_actions& out)
{
    out.emplace_back(tree_send{
        {tree.parent_link},
        wire::subscribe{
            have, tree.options.self, tree.options.listen, below(tree)}});
}

// The VMs below this node changed.
void tell_parent(
    const config_tree& tree, const config_view& view, tree_actions& out)
{
    if (tree.parent == parent_state::subscribed && view.config)
        send_subscribe(tree, revision_of(view), out);
}

wire::config_update full_update(const config_view& view)
{
    return {base::revision{}, view.config->at, {*view.config}, {}};
}

wire::config_confirm make_confirm(const config_view& view, base::time_point now)
{
    return {revision_of(view), age_ms(view, now)};
}

// Endpoints of other roots, starting at a place that moves on.
std::vector<wire::endpoint> other_roots(config_tree& tree)
{
    std::vector<wire::endpoint> roots;
    const auto& all = tree.options.roots;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto& root = all[(tree.next_root + i) % all.size()];
        if (root != tree.options.listen)
            roots.push_back(root);
    }
    ++tree.next_root;
    return roots;
}

void redirect(
    peer_link link, std::vector<wire::endpoint> parents, tree_actions& out)
{
    out.emplace_back(
        tree_send{{link}, wire::subscribe_redirect{std::move(parents)}});
}

bool contains(const std::vector<base::vm_id>& vms, const base::vm_id& vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

// Children to which a subscriber is redirected, the smallest subtree first.
std::vector<wire::endpoint>
children_for(config_tree& tree, const wire::subscribe& request)
{
    std::vector<tree_child*> found;
    for (auto& [link, child] : tree.children)
        if (child.vm != request.vm && !contains(request.below, child.vm))
            found.push_back(&child);
    std::stable_sort(found.begin(), found.end(), [](auto* a, auto* b) {
        return a->below.size() + a->assigned < b->below.size() + b->assigned;
    });
    std::vector<wire::endpoint> parents;
    parents.reserve(found.size());
    for (const auto* child : found)
        parents.push_back(child->listen);
    if (!found.empty())
        ++found.front()->assigned;
    return parents;
}

void drop_child(config_tree& tree, peer_link link, tree_actions& out)
{
    tree.children.erase(link);
    out.emplace_back(tree_close{link});
}

// Closes older links of the same VM; it has opened a new one.
void drop_older_links(
    config_tree& tree, const base::vm_id& vm, tree_actions& out)
{
    for (auto at = tree.children.begin(); at != tree.children.end();) {
        if (at->second.vm == vm) {
            out.emplace_back(tree_close{at->first});
            at = tree.children.erase(at);
        } else {
            ++at;
        }
    }
}

bool closes_cycle(const config_tree& tree, const wire::subscribe& request)
{
    return request.vm == tree.options.self ||
           contains(request.below, tree.options.self);
}

// Sends what the child needs after its revision.
void bring_up_to_date(
    tree_child& child,
    peer_link link,
    base::revision have,
    const config_view& view,
    base::time_point now,
    tree_actions& out)
{
    // Revision 0 may mean "no configuration", also while ours has revision 0.
    if (have == base::revision{} || have != revision_of(view))
        out.emplace_back(tree_send{{link}, full_update(view)});
    child.sent = revision_of(view);
    out.emplace_back(tree_send{{link}, make_confirm(view, now)});
}

// A known child repeats `subscribe`: the VMs below it changed, or it asks for
// a whole configuration with revision 0.
void renew_child(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now,
    tree_actions& out)
{
    auto& child = tree.children.at(link);
    const auto before = below(tree);
    child.below = request.below;
    child.listen = request.listen;
    child.assigned = 0;
    if (request.have == base::revision{} && view.config)
        bring_up_to_date(child, link, request.have, view, now, out);
    if (below(tree) != before)
        tell_parent(tree, view, out);
}

void accept_child(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now,
    tree_actions& out)
{
    auto& child = tree.children[link];
    child = {request.vm, request.listen, request.below, {}, 0};
    bring_up_to_date(child, link, request.have, view, now, out);
    tell_parent(tree, view, out);
}

bool leads_to_root(const config_tree& tree)
{
    const auto& roots = tree.options.roots;
    return std::find(roots.begin(), roots.end(), tree.candidates.front()) !=
           roots.end();
}

} // namespace

tree_actions tick(
    config_tree& tree,
    const config_view& view,
    base::random_source& random,
    base::time_point now)
{
    tree_actions out;
    if (tree.options.is_root)
        return out;
    if (tree.parent == parent_state::subscribed &&
        now >= tree.useful_at + tree.patience) {
        leave_parent(tree, random, now, out);
        return out;
    }
    const bool nowhere = tree.candidates.empty() && tree.options.roots.empty();
    if (tree.parent != parent_state::none || now < tree.next_try || nowhere)
        return out;
    wire::endpoint to;
    if (!tree.candidates.empty()) {
        to = tree.candidates.front();
        tree.candidates.pop_front();
    } else {
        tree.redirects = 0;
        const auto& roots = tree.options.roots;
        // A random first root spreads the nodes over the roots.
        if (tree.next_root == 0)
            tree.next_root = 1 + std::size_t(random.below(roots.size()));
        to = roots[tree.next_root++ % roots.size()];
    }
    tree.parent = parent_state::wanted;
    tree.patience = view.options.lease +
                    base::duration(std::int64_t(random.below(
                        std::uint64_t(view.options.lease.count()) + 1)));
    out.emplace_back(tree_connect{std::move(to)});
    return out;
}

void note_connecting(config_tree& tree, peer_link link)
{
    tree.parent = parent_state::connecting;
    tree.parent_link = link;
}

tree_actions on_link_opened(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source&,
    base::time_point now)
{
    tree_actions out;
    if (tree.parent != parent_state::connecting || link != tree.parent_link)
        return out;
    tree.parent = parent_state::subscribed;
    tree.useful_at = now;
    send_subscribe(tree, revision_of(view), out);
    return out;
}

tree_actions on_link_closed(
    config_tree& tree,
    peer_link link,
    const config_view& view,
    base::random_source& random,
    base::time_point now)
{
    tree_actions out;
    if (has_parent_link(tree) && link == tree.parent_link)
        plan_next(tree, random, now);
    else if (tree.children.erase(link) != 0)
        tell_parent(tree, view, out);
    return out;
}

tree_actions on_redirect(
    config_tree& tree,
    peer_link link,
    const wire::subscribe_redirect& redirect,
    base::random_source& random,
    base::time_point now)
{
    tree_actions out;
    if (!is_parent(tree, link))
        return out;
    out.emplace_back(tree_close{link});
    tree.candidates.assign(redirect.parents.begin(), redirect.parents.end());
    std::erase(tree.candidates, tree.options.listen);
    if (++tree.redirects > tree.options.max_redirects)
        tree.candidates.clear();
    // Roots without a lease redirect to each other; following these at once
    // would load them with connections while there is no quorum.
    if (tree.candidates.empty() || leads_to_root(tree)) {
        plan_next(tree, random, now);
        return out;
    }
    // A redirect to a child is no failure; it is tried at once.
    tree.parent = parent_state::none;
    tree.next_try = now;
    return out;
}

tree_actions after_update(
    config_tree& tree,
    const config_view& view,
    const wire::config_update& update,
    const std::vector<config_action>& outcome,
    base::random_source& random,
    base::time_point now)
{
    auto out = after_confirm(tree, view, outcome, random, now);
    for (const auto& action : outcome) {
        if (!std::holds_alternative<config_applied>(action))
            continue;
        auto more = forward(tree, view, update);
        std::move(more.begin(), more.end(), std::back_inserter(out));
    }
    return out;
}

tree_actions after_confirm(
    config_tree& tree,
    const config_view& view,
    const std::vector<config_action>& outcome,
    base::random_source& random,
    base::time_point now)
{
    tree_actions out;
    if (tree.parent != parent_state::subscribed)
        return out;
    if (is_confirmed(view, now)) {
        tree.useful_at = now;
        tree.failures = 0;
        tree.redirects = 0;
        tree.candidates.clear();
    }
    for (const auto& action : outcome) {
        if (std::holds_alternative<ask_full>(action)) {
            send_subscribe(tree, base::revision{}, out);
        } else if (std::holds_alternative<parent_behind>(action)) {
            leave_parent(tree, random, now, out);
            break;
        }
    }
    return out;
}

tree_actions on_subscribe(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now)
{
    tree_actions out;
    if (closes_cycle(tree, request)) {
        redirect(link, other_roots(tree), out);
        if (tree.children.contains(link)) {
            drop_child(tree, link, out);
            tell_parent(tree, view, out);
        }
        return out;
    }
    if (tree.children.contains(link)) {
        renew_child(tree, link, request, view, now, out);
        return out;
    }
    drop_older_links(tree, request.vm, out);
    if (is_parent(tree, link) || !is_confirmed(view, now) ||
        request.have > revision_of(view))
        redirect(link, other_roots(tree), out);
    else if (tree.children.size() >= tree.options.fan_out)
        redirect(link, children_for(tree, request), out);
    else
        accept_child(tree, link, request, view, now, out);
    return out;
}

tree_actions forward(
    config_tree& tree,
    const config_view& view,
    const wire::config_update& update)
{
    tree_actions out;
    std::vector<peer_link> with_start;
    std::vector<peer_link> without;
    const auto at = revision_of(view);
    for (auto& [link, child] : tree.children) {
        if (child.sent >= at)
            continue;
        const bool fits = update.full.empty() && child.sent == update.from;
        (fits ? with_start : without).push_back(link);
        child.sent = at;
    }
    if (!with_start.empty())
        out.emplace_back(tree_send{std::move(with_start), update});
    if (!without.empty())
        out.emplace_back(tree_send{std::move(without), full_update(view)});
    return out;
}

tree_actions make_confirms(
    const config_tree& tree, const config_view& view, base::time_point now)
{
    tree_actions out;
    std::vector<peer_link> to;
    for (const auto& [link, child] : tree.children)
        if (child.sent == revision_of(view))
            to.push_back(link);
    if (view.config && !to.empty())
        out.emplace_back(tree_send{std::move(to), make_confirm(view, now)});
    return out;
}

bool is_parent(const config_tree& tree, peer_link link)
{
    return tree.parent == parent_state::subscribed && link == tree.parent_link;
}

std::vector<base::vm_id> below(const config_tree& tree)
{
    std::set<base::vm_id> vms;
    for (const auto& [link, child] : tree.children) {
        vms.insert(child.vm);
        vms.insert(child.below.begin(), child.below.end());
    }
    return {vms.begin(), vms.end()};
}

} // namespace oleanderhinge::membership
