#include "oleanderhinge/membership/config_tree.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace oleanderhinge::membership
{

namespace
{

// Prevents overflow of the shift; `backoff_max` is reached before.
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

// Clears the parent and schedules the next attempt after the back-off.
void schedule_connect(
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
    schedule_connect(tree, random, now);
}

void send_subscribe(
    const config_tree& tree, base::revision have, tree_actions& out)
{
    out.emplace_back(tree_send{
        {tree.parent_link},
        wire::subscribe{
            have, tree.options.self, tree.options.listen, descendants(tree)}});
}

// Reports changed descendants to the parent, if there is one.
void resend_subscribe(
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

// Endpoints of the other roots in round-robin order, starting at a different
// one with each call.
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

// Endpoints of the children to which a subscriber is redirected, the smallest
// subtree first. Subscribers already redirected count as part of the subtree.
std::vector<wire::endpoint>
redirect_targets(config_tree& tree, const wire::subscribe& request)
{
    std::vector<tree_child*> found;
    for (auto& [link, child] : tree.children)
        if (child.vm != request.vm && !contains(request.below, child.vm))
            found.push_back(&child);
    std::stable_sort(found.begin(), found.end(), [](auto* a, auto* b) {
        return a->descendants.size() + a->redirected_count <
               b->descendants.size() + b->redirected_count;
    });
    std::vector<wire::endpoint> parents;
    parents.reserve(found.size());
    for (const auto* child : found)
        parents.push_back(child->listen);
    if (!found.empty())
        ++found.front()->redirected_count;
    return parents;
}

void drop_child(config_tree& tree, peer_link link, tree_actions& out)
{
    tree.children.erase(link);
    out.emplace_back(tree_close{link});
}

// Closes the older links of a VM that has opened a new one.
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

// Sends the full configuration unless the child has it, then a confirm.
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
    child.sent_revision = revision_of(view);
    out.emplace_back(tree_send{{link}, make_confirm(view, now)});
}

// Handles a repeated `subscribe` of a child: its descendants changed, or it
// requests the whole configuration by revision 0.
void renew_child(
    config_tree& tree,
    peer_link link,
    const wire::subscribe& request,
    const config_view& view,
    base::time_point now,
    tree_actions& out)
{
    auto& child = tree.children.at(link);
    const auto before = descendants(tree);
    child.descendants = request.below;
    child.listen = request.listen;
    child.redirected_count = 0;
    if (request.have == base::revision{} && view.config)
        bring_up_to_date(child, link, request.have, view, now, out);
    if (descendants(tree) != before)
        resend_subscribe(tree, view, out);
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
    resend_subscribe(tree, view, out);
}

bool next_candidate_is_root(const config_tree& tree)
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
        now >= tree.lease_seen_at + tree.parent_timeout) {
        leave_parent(tree, random, now, out);
        return out;
    }
    const bool no_endpoints =
        tree.candidates.empty() && tree.options.roots.empty();
    if (tree.parent != parent_state::none || now < tree.next_try ||
        no_endpoints)
        return out;
    wire::endpoint to;
    if (!tree.candidates.empty()) {
        to = tree.candidates.front();
        tree.candidates.pop_front();
    } else {
        tree.redirects = 0;
        const auto& roots = tree.options.roots;
        // Starting at a random root spreads the nodes over the roots.
        if (tree.next_root == 0)
            tree.next_root = 1 + std::size_t(random.below(roots.size()));
        to = roots[tree.next_root++ % roots.size()];
    }
    tree.parent = parent_state::connect_requested;
    tree.parent_timeout = view.options.lease +
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
    tree.lease_seen_at = now;
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
        schedule_connect(tree, random, now);
    else if (tree.children.erase(link) != 0)
        resend_subscribe(tree, view, out);
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
    // Roots without a lease redirect to each other. Following these redirects
    // at once would overload the roots with connections while there is no
    // quorum.
    if (tree.candidates.empty() || next_candidate_is_root(tree)) {
        schedule_connect(tree, random, now);
        return out;
    }
    // A redirect to a child is not a failure, so there is no back-off.
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
        tree.lease_seen_at = now;
        tree.failures = 0;
        tree.redirects = 0;
        tree.candidates.clear();
    }
    for (const auto& action : outcome) {
        if (std::holds_alternative<full_update_needed>(action)) {
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
            resend_subscribe(tree, view, out);
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
        redirect(link, redirect_targets(tree, request), out);
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
    std::vector<peer_link> delta_links;
    std::vector<peer_link> full_links;
    const auto at = revision_of(view);
    for (auto& [link, child] : tree.children) {
        if (child.sent_revision >= at)
            continue;
        const bool has_base =
            update.full.empty() && child.sent_revision == update.from;
        (has_base ? delta_links : full_links).push_back(link);
        child.sent_revision = at;
    }
    if (!delta_links.empty())
        out.emplace_back(tree_send{std::move(delta_links), update});
    if (!full_links.empty())
        out.emplace_back(tree_send{std::move(full_links), full_update(view)});
    return out;
}

tree_actions make_confirms(
    const config_tree& tree, const config_view& view, base::time_point now)
{
    tree_actions out;
    std::vector<peer_link> to;
    for (const auto& [link, child] : tree.children)
        if (child.sent_revision == revision_of(view))
            to.push_back(link);
    if (view.config && !to.empty())
        out.emplace_back(tree_send{std::move(to), make_confirm(view, now)});
    return out;
}

bool is_parent(const config_tree& tree, peer_link link)
{
    return tree.parent == parent_state::subscribed && link == tree.parent_link;
}

std::vector<base::vm_id> descendants(const config_tree& tree)
{
    std::set<base::vm_id> vms;
    for (const auto& [link, child] : tree.children) {
        vms.insert(child.vm);
        vms.insert(child.descendants.begin(), child.descendants.end());
    }
    return {vms.begin(), vms.end()};
}

} // namespace oleanderhinge::membership
