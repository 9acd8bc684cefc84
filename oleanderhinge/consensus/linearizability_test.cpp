// Guards against answers that are not linearizable: stale reads, and writes
// that are lost or applied twice, while processes are killed or paused, links
// are blocked and leadership is transferred.
#include "oleanderhinge/consensus/fake_cluster_test.hpp"

namespace oleanderhinge::consensus
{
namespace
{

enum class kind { read, write, compare_and_set };

struct operation {
    consensus::kind kind = kind::read;
    // Write: the value. Compare-and-set: the expected and the new value.
    int argument = 0;
    int new_value = 0;
    base::time_point invoked;
    // Empty if the outcome is unknown; the operation may take effect at
    // any time.
    std::optional<base::time_point> returned;
    // Read: the value. Compare-and-set: 1 if the value was set.
    int result = 0;
};

using history = std::vector<operation>;

// Searches for an order of the operations that respects real time and that a
// register with the initial value 0 could have executed. The algorithm is that
// of Wing and Gong, with a set of visited states.
class checker
{
public:
    explicit checker(const history& operations_in)
        : operations(operations_in)
    {
    }

    // True if the operations that are not in `finished`, a bit for each index,
    // can follow when the register holds `value`.
    bool search(std::uint64_t finished, int value)
    {
        if (!this->visited.emplace(finished, value).second)
            return false;
        auto first_return = base::time_point::max();
        bool complete = true;
        for (std::size_t i = 0; i < this->operations.size(); ++i) {
            const auto& o = this->operations[i];
            if ((finished >> i & 1) != 0 || !o.returned)
                continue;
            complete = false;
            first_return = std::min(first_return, *o.returned);
        }
        if (complete)
            return true;
        for (std::size_t i = 0; i < this->operations.size(); ++i) {
            const auto& o = this->operations[i];
            if ((finished >> i & 1) != 0 || o.invoked > first_return)
                continue;
            const auto next = apply(o, value);
            if (next && this->search(finished | std::uint64_t(1) << i, *next))
                return true;
        }
        return false;
    }

private:
    // The register's value afterwards; empty if the recorded result is
    // impossible.
    static std::optional<int> apply(const operation& o, int value)
    {
        if (o.kind == kind::read)
            return o.result == value ? std::optional(value) : std::nullopt;
        if (o.kind == kind::write)
            return o.argument;
        const bool sets = value == o.argument;
        if (o.returned && sets != (o.result == 1))
            return std::nullopt;
        return sets ? o.new_value : value;
    }

    const history& operations;
    std::set<std::pair<std::uint64_t, int>> visited;
};

bool is_linearizable(history h)
{
    // A read without a result constrains nothing.
    std::erase_if(h, [](const operation& o) {
        return o.kind == kind::read && !o.returned;
    });
    EXPECT_LE(h.size(), 64u);
    return checker(h).search(0, 0);
}

operation make_operation(
    kind k, int argument, int result, std::int64_t from, std::int64_t to)
{
    const base::time_point zero;
    return {
        k,
        argument,
        2,
        zero + base::duration(from),
        zero + base::duration(to),
        result};
}

TEST(linearizability, the_checker_tells_good_histories_from_bad_ones)
{
    const auto write = make_operation(kind::write, 1, 0, 0, 10);
    EXPECT_TRUE(
        is_linearizable({write, make_operation(kind::read, 0, 0, 5, 20)}));
    EXPECT_TRUE(
        is_linearizable({write, make_operation(kind::read, 0, 1, 5, 20)}));
    // A stale read.
    EXPECT_FALSE(
        is_linearizable({write, make_operation(kind::read, 0, 0, 11, 20)}));
    // Two reads that return the values in the wrong order.
    EXPECT_FALSE(is_linearizable(
        {write,
         make_operation(kind::read, 0, 1, 2, 4),
         make_operation(kind::read, 0, 0, 5, 8)}));
    // Two compare-and-sets that both succeed from one value.
    EXPECT_FALSE(is_linearizable(
        {make_operation(kind::compare_and_set, 0, 1, 0, 10),
         make_operation(kind::compare_and_set, 0, 1, 0, 10)}));
    // A write with unknown outcome may take effect late, but only once.
    auto unknown = write;
    unknown.returned.reset();
    EXPECT_TRUE(is_linearizable(
        {unknown,
         make_operation(kind::read, 0, 0, 20, 30),
         make_operation(kind::read, 0, 1, 40, 50)}));
    EXPECT_FALSE(is_linearizable(
        {unknown,
         make_operation(kind::read, 0, 1, 20, 30),
         make_operation(kind::read, 0, 0, 40, 50)}));
}

// A client with at most one operation in progress.
class client
{
public:
    client(fake_cluster& c, history& h)
        : cluster(c)
        , recorded(h)
    {
    }

    // Sends a random operation if none is in progress.
    void send_random_operation()
    {
        if (this->in_progress || this->recorded.size() >= 64)
            return;
        auto& random = this->cluster.random;
        const auto index = this->recorded.size();
        operation o{
            consensus::kind(random.below(3)),
            int(random.below(4)),
            int(random.below(4)),
            this->cluster.now,
            {},
            0};
        // Also sent to other members, since a deposed leader must not answer.
        int target = this->cluster.leader();
        if (target == 0 || random.below(3) == 0)
            target = 1 + int(random.below(3));
        this->recorded.push_back(o);
        this->in_progress = true;
        const auto answered = [this, index](
                                  outcome result, const std::string& reply) {
            this->in_progress = false;
            auto& asked = this->recorded[index];
            if (result == outcome::applied) {
                asked.returned = this->cluster.now;
                asked.result = asked.kind == kind::read ? std::stoi(reply)
                                                        : int(reply == "ok");
            } else if (result == outcome::rejected) {
                // Has no effect, like a read without a result.
                asked.kind = kind::read;
            }
        };
        if (o.kind == kind::read)
            this->cluster.read(target, answered);
        else if (o.kind == kind::write)
            this->cluster.propose(
                target, "w " + std::to_string(o.argument), answered);
        else
            this->cluster.propose(
                target,
                "c " + std::to_string(o.argument) + " " +
                    std::to_string(o.new_value),
                answered);
    }

private:
    fake_cluster& cluster;
    history& recorded;
    bool in_progress = false;
};

void add_fault(fake_cluster& c)
{
    const auto random_member = [&] { return 1 + int(c.random.below(3)); };
    switch (c.random.below(8)) {
    case 0:
        c.stop(random_member());
        break;
    case 1:
        for (const int a = random_member(); const int b : {1, 2, 3})
            c.blocked_links.insert({{a, b}, {b, a}});
        break;
    case 2:
        c.blocked_links.insert({random_member(), random_member()});
        break;
    case 3:
        c.pause(
            random_member(), std::chrono::milliseconds(c.random.below(3000)));
        break;
    case 4:
        if (c.leader() != 0)
            c.feed(c.leader(), transfer_requested{});
        break;
    default:
        c.blocked_links.clear();
    }
    for (auto& [i, h] : c.hosts) {
        if (!h.state && c.random.below(2) == 0)
            c.start(i);
    }
}

TEST(linearizability, concurrent_clients_see_one_register)
{
    std::size_t answered = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        fake_cluster c(3, seed, {5, 10, 30, 20});
        ASSERT_TRUE(c.run_until([&] { return c.leader() != 0; }));
        history h;
        std::vector<client> clients(4, client(c, h));
        for (int round = 0; round < 200; ++round) {
            if (c.random.below(10) == 0)
                add_fault(c);
            for (auto& one : clients)
                one.send_random_operation();
            c.run(std::chrono::milliseconds(c.random.below(200)));
        }
        for (const auto& o : h)
            answered += o.returned ? 1 : 0;
        ASSERT_TRUE(is_linearizable(h)) << "seed " << seed;
    }
    EXPECT_GT(answered, 400u * 15);
}

} // namespace
} // namespace oleanderhinge::consensus
