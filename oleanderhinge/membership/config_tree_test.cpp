// Guards against a configuration tree that does not form, that closes a cycle,
// whose nodes lose their lease when a parent fails, or that overloads the roots
// with connections while there is no quorum.
#include "oleanderhinge/membership/config_tree.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oleanderhinge::membership
{
namespace
{

using base::revision;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds(1000)};

wire::endpoint at(std::size_t i)
{
    return {"10.0.0.1", std::uint16_t(i)};
}

wire::config_update change_to(std::uint64_t r)
{
    wire::customer c;
    c.id = base::customer_id{"c" + std::to_string(r % 7)};
    c.weight = std::uint32_t(r);
    return {
        revision{r - 1},
        revision{r},
        {},
        {{revision{r}, wire::put_customer{c}}}};
}

// Nodes connected by in-memory links; the first `roots` nodes are roots.
struct network {
    struct node {
        config_tree tree;
        config_view view;
        base::random_source random{0};
        bool alive = true;
        std::size_t fulls = 0;
        std::size_t deltas = 0;
        std::size_t losses = 0;
    };
    struct delivery {
        peer_link link;
        std::size_t to;
        // Empty if the link was opened.
        std::optional<wire::message> content;
    };

    std::vector<node> nodes;
    std::map<peer_link, std::pair<std::size_t, std::size_t>> links;
    std::deque<delivery> queue;
    base::time_point now = start;
    std::size_t roots;
    bool quorum = true;
    std::uint64_t next_link = 1;
    std::uint64_t committed = 1;
    std::size_t connects = 0;

    network(std::size_t root_count, std::size_t count)
        : nodes(count)
        , roots(root_count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& options = this->nodes[i].tree.options;
            options.self = base::vm_id{"n" + std::to_string(i)};
            options.listen = at(i);
            options.is_root = i < root_count;
            for (std::size_t r = 0; r < root_count; ++r)
                options.roots.push_back(at(r));
            this->nodes[i].random = base::random_source(i);
        }
        wire::configuration first;
        wire::apply(first, change_to(1).changes[0].second, revision{1});
        for (std::size_t r = 0; r < root_count; ++r)
            apply_update(
                this->nodes[r].view,
                {revision{0}, revision{1}, {first}, {}},
                this->now);
    }

    std::size_t other_end(peer_link link, std::size_t self) const
    {
        const auto& [a, b] = this->links.at(link);
        return a == self ? b : a;
    }

    void close(peer_link link, std::size_t closer)
    {
        const auto found = this->links.find(link);
        if (found == this->links.end())
            return;
        const auto other = this->other_end(link, closer);
        this->links.erase(found);
        auto& n = this->nodes[other];
        if (n.alive)
            this->run(
                other,
                on_link_closed(n.tree, link, n.view, n.random, this->now));
    }

    void connect(std::size_t from, const wire::endpoint& to)
    {
        const peer_link link{this->next_link++};
        ++this->connects;
        auto& n = this->nodes[from];
        note_connecting(n.tree, link);
        if (!this->nodes[to.port].alive) {
            this->run(
                from,
                on_link_closed(n.tree, link, n.view, n.random, this->now));
            return;
        }
        this->links[link] = {from, to.port};
        this->queue.push_back({link, from, std::nullopt});
    }

    void run(std::size_t self, const tree_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* c = std::get_if<tree_connect>(&action))
                this->connect(self, c->to);
            else if (const auto* s = std::get_if<tree_send>(&action))
                this->send(self, *s);
            else
                this->close(std::get<tree_close>(action).link, self);
        }
    }

    void send(std::size_t self, const tree_send& s)
    {
        for (const auto link : s.to)
            if (this->links.contains(link))
                this->queue.push_back(
                    {link, this->other_end(link, self), s.content});
    }

    void count_losses(node& n, const std::vector<config_action>& outcome)
    {
        for (const auto& action : outcome)
            if (std::holds_alternative<lease_lost>(action))
                ++n.losses;
    }

    void deliver(const delivery& d)
    {
        auto& n = this->nodes[d.to];
        if (!n.alive || !this->links.contains(d.link))
            return;
        if (!d.content) {
            this->run(
                d.to,
                on_link_opened(n.tree, d.link, n.view, n.random, this->now));
        } else if (const auto* s = std::get_if<wire::subscribe>(&*d.content)) {
            this->run(
                d.to, on_subscribe(n.tree, d.link, *s, n.view, this->now));
        } else if (
            const auto* r =
                std::get_if<wire::subscribe_redirect>(&*d.content)) {
            this->run(
                d.to, on_redirect(n.tree, d.link, *r, n.random, this->now));
        } else if (is_parent(n.tree, d.link)) {
            this->deliver_from_parent(d.to, *d.content);
        }
    }

    void deliver_from_parent(std::size_t self, const wire::message& content)
    {
        auto& n = this->nodes[self];
        if (const auto* u = std::get_if<wire::config_update>(&content)) {
            ++(u->full.empty() ? n.deltas : n.fulls);
            const auto outcome = apply_update(n.view, *u, this->now);
            this->count_losses(n, outcome);
            this->run(
                self,
                after_update(n.tree, n.view, *u, outcome, n.random, this->now));
        } else if (
            const auto* c = std::get_if<wire::config_confirm>(&content)) {
            const auto outcome = apply_confirm(n.view, *c, this->now);
            this->count_losses(n, outcome);
            this->run(
                self,
                after_confirm(n.tree, n.view, outcome, n.random, this->now));
        }
    }

    // Advances time in steps of 100 ms; each node sends confirms once a second.
    void advance(base::duration time)
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += milliseconds(100);
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                auto& n = this->nodes[i];
                if (!n.alive)
                    continue;
                if (n.tree.options.is_root && this->quorum)
                    apply_confirm(
                        n.view, {revision{this->committed}, 0}, this->now);
                this->count_losses(n, tick(n.view, this->now));
                this->run(i, tick(n.tree, n.view, n.random, this->now));
                // Nodes confirm at different times within the second, so that
                // their ages differ.
                if ((this->now - start) / milliseconds(100) % 10 ==
                    std::int64_t(i % 10))
                    this->run(i, make_confirms(n.tree, n.view, this->now));
            }
            while (!this->queue.empty()) {
                const auto d = this->queue.front();
                this->queue.pop_front();
                this->deliver(d);
            }
        }
    }

    void commit()
    {
        const auto update = change_to(++this->committed);
        for (std::size_t r = 0; r < this->roots; ++r) {
            auto& n = this->nodes[r];
            apply_update(n.view, update, this->now);
            this->run(r, forward(n.tree, n.view, update));
        }
    }

    void kill(std::size_t i)
    {
        this->nodes[i].alive = false;
        std::vector<peer_link> ended;
        for (const auto& [link, ends] : this->links)
            if (ends.first == i || ends.second == i)
                ended.push_back(link);
        for (const auto link : ended)
            this->close(link, i);
    }

    // Number of links to the root; empty in a cycle or without a parent.
    std::optional<std::size_t> depth(std::size_t i) const
    {
        std::size_t steps = 0;
        while (i >= this->roots) {
            const auto& tree = this->nodes[i].tree;
            const auto link = this->links.find(tree.parent_link);
            if (tree.parent != parent_state::subscribed ||
                link == this->links.end() || ++steps > this->nodes.size())
                return std::nullopt;
            i = this->other_end(tree.parent_link, i);
        }
        return steps;
    }

    void expect_tree(std::size_t max_depth) const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            const auto& n = this->nodes[i];
            if (!n.alive)
                continue;
            EXPECT_LE(n.tree.children.size(), n.tree.options.fan_out);
            ASSERT_TRUE(this->depth(i)) << i;
            EXPECT_LE(*this->depth(i), max_depth) << i;
            EXPECT_EQ(revision_of(n.view), revision{this->committed}) << i;
            EXPECT_TRUE(is_confirmed(n.view, this->now)) << i;
        }
    }

    std::size_t total_losses() const
    {
        std::size_t total = 0;
        for (const auto& n : this->nodes)
            total += n.losses;
        return total;
    }
};

TEST(config_tree, design_size_forms_with_depth_three_and_one_full_for_each)
{
    network net(5, 5 + 330);
    net.advance(seconds(10));
    net.expect_tree(3);
    for (int i = 0; i < 20; ++i) {
        net.commit();
        net.advance(milliseconds(100));
    }
    net.expect_tree(3);
    for (std::size_t i = net.roots; i < net.nodes.size(); ++i) {
        EXPECT_EQ(net.nodes[i].fulls, 1u) << i;
        EXPECT_EQ(net.nodes[i].deltas, 20u) << i;
    }
    EXPECT_EQ(net.total_losses(), 0u);
}

// New requests must be served again within 2 s after a failure, so no
// descendant of a failed node may lose its lease or keep an old revision.
TEST(config_tree, loss_of_any_node_costs_no_lease)
{
    for (std::size_t dead : {0u, 5u, 6u, 20u}) {
        network net(3, 3 + 100);
        net.advance(seconds(6));
        net.expect_tree(4);
        net.kill(dead);
        net.commit();
        net.advance(seconds(3));
        net.commit();
        net.advance(seconds(3));
        net.expect_tree(5);
        EXPECT_EQ(net.total_losses(), 0u) << dead;
    }
}

// A parent that hangs keeps its link open and sends nothing.
TEST(config_tree, silent_parent_is_left)
{
    network net(2, 12);
    net.advance(seconds(6));
    const auto parent = net.other_end(net.nodes[11].tree.parent_link, 11);
    net.nodes[parent].alive = false;
    net.advance(seconds(12));
    net.expect_tree(3);
}

// All nodes of the cycle have a lease when they choose each other, so the lease
// alone does not prevent the cycle.
TEST(config_tree, cycles_of_any_length_are_cut)
{
    for (std::size_t length = 1; length <= 4; ++length) {
        network net(1, 20);
        net.advance(seconds(6));
        for (std::size_t i = 0; i < length; ++i) {
            auto& n = net.nodes[10 + i];
            if (n.tree.parent == parent_state::subscribed)
                net.close(n.tree.parent_link, 10 + i);
            n.tree.parent = parent_state::none;
            n.tree.next_try = net.now;
            n.tree.candidates = {at(10 + (i + 1) % length)};
        }
        net.advance(seconds(2));
        net.expect_tree(3);
        EXPECT_EQ(net.total_losses(), 0u) << length;
    }
}

TEST(config_tree, without_quorum_leases_end_and_roots_are_not_overrun)
{
    network net(5, 5 + 100);
    net.advance(seconds(10));
    net.quorum = false;
    net.advance(seconds(10));
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        EXPECT_FALSE(is_confirmed(net.nodes[i].view, net.now));
    net.connects = 0;
    net.advance(seconds(30));
    // Each node tries once in 1.5 to 3 s.
    EXPECT_LE(net.connects, 100u * 30 * 2 / 3);
    net.quorum = true;
    net.advance(seconds(12));
    net.expect_tree(4);
}

// A new cluster has revision 0, which `subscribe` also uses for "no
// configuration".
TEST(config_tree, revision_zero_reaches_all_nodes)
{
    network net(1, 12);
    net.committed = 0;
    net.nodes[0].view = {};
    apply_update(
        net.nodes[0].view, {{}, {}, {wire::configuration{}}, {}}, net.now);
    net.advance(seconds(6));
    net.expect_tree(3);
}

// The only node that the restarted one can reach is isolated and has an old
// revision.
TEST(config_tree, restart_beside_an_isolated_parent_does_not_serve)
{
    network net(1, 3);
    net.advance(seconds(4));
    net.kill(0);
    auto& restarted = net.nodes[2];
    restarted.view = {};
    net.kill(2);
    restarted.alive = true;
    restarted.tree.candidates = {at(1)};
    net.advance(seconds(30));
    EXPECT_FALSE(readiness(restarted.view, net.now).ready);
    EXPECT_FALSE(is_confirmed(restarted.view, net.now));
}

struct subscriber_case {
    const char* name;
    wire::subscribe request;
    bool accepted;
    bool full;
};

TEST(config_tree, each_kind_of_subscriber_is_accepted_or_redirected)
{
    const auto vm = [](const char* name) { return base::vm_id{name}; };
    const subscriber_case cases[] = {
        {"new", {revision{0}, vm("a"), at(7), {}}, true, true},
        {"up to date", {revision{1}, vm("a"), at(7), {}}, true, false},
        {"ahead of us", {revision{2}, vm("a"), at(7), {}}, false, false},
        {"ourselves", {revision{0}, vm("n0"), at(7), {}}, false, false},
        {"we are below it",
         {revision{0}, vm("a"), at(7), {vm("b"), vm("n0")}},
         false,
         false},
    };
    for (const auto& c : cases) {
        network net(1, 1);
        auto& n = net.nodes[0];
        apply_confirm(n.view, {revision{1}, 0}, start);
        const auto out =
            on_subscribe(n.tree, peer_link{9}, c.request, n.view, start);
        EXPECT_EQ(n.tree.children.size(), c.accepted ? 1u : 0u) << c.name;
        EXPECT_EQ(out.size(), c.full ? 2u : 1u) << c.name;
        // A node without a lease accepts no subscriber.
        network unconfirmed(1, 1);
        on_subscribe(
            unconfirmed.nodes[0].tree,
            peer_link{9},
            c.request,
            unconfirmed.nodes[0].view,
            start);
        EXPECT_TRUE(unconfirmed.nodes[0].tree.children.empty()) << c.name;
    }
}

TEST(config_tree, new_link_of_a_child_replaces_its_old_one)
{
    network net(1, 1);
    auto& n = net.nodes[0];
    apply_confirm(n.view, {revision{1}, 0}, start);
    const wire::subscribe request{revision{0}, base::vm_id{"a"}, at(7), {}};
    for (std::uint64_t link = 1; link <= 20; ++link)
        on_subscribe(n.tree, peer_link{link}, request, n.view, start);
    ASSERT_EQ(n.tree.children.size(), 1u);
    EXPECT_EQ(n.tree.children.begin()->first, peer_link{20});
}

// Delays double up to the limit and are random within the upper half of the
// step, so the children of a failed parent do not reconnect at the same time.
RC_GTEST_PROP(config_tree, back_off_is_jittered_and_bounded, ())
{
    network net(1, 2);
    auto& n = net.nodes[1];
    n.random = base::random_source(*rc::gen::arbitrary<std::uint64_t>());
    auto expected = n.tree.options.backoff_min;
    for (int i = 0; i < 10; ++i) {
        net.now = n.tree.next_try;
        tick(n.tree, n.view, n.random, net.now);
        note_connecting(n.tree, peer_link{1});
        on_link_closed(n.tree, peer_link{1}, n.view, n.random, net.now);
        const auto delay = n.tree.next_try - net.now;
        RC_ASSERT(delay >= expected / 2);
        RC_ASSERT(delay <= expected);
        expected = std::min(expected * 2, n.tree.options.backoff_max);
    }
}

} // namespace
} // namespace oleanderhinge::membership
