// Guards against answers that no single register could have given: stale
// reads, lost or repeated writes, under kills and cuts.
#include "oleanderhinge/consensus/fake_cluster_test.hpp"

namespace oleanderhinge::consensus
{
namespace
{

enum class kind { read, write, compare_and_set };

struct operation {
    consensus::kind kind = kind::read;
    int first = 0;
    int second = 0;
    base::time_point invoked;
    // Not set: the outcome is unknown, and it may take effect at any time.
    std::optional<base::time_point> returned;
    // Read: the value. Compare-and-set: 1 if it was set.
    int result = 0;
};

using history = std::vector<operation>;

// Searches for an order of the operations that respects real time and that a
// register with the initial value 0 could have executed (Wing and Gong, with
// visited states remembered).
class checker
{
public:
    explicit checker(const history& operations_in)
        : operations(operations_in)
    {
    }

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
    // The value afterwards; empty if the result is impossible.
    static std::optional<int> apply(const operation& o, int value)
    {
        if (o.kind == kind::read)
            return o.result == value ? std::optional(value) : std::nullopt;
        if (o.kind == kind::write)
            return o.first;
        const bool sets = value == o.first;
        if (o.returned && sets != (o.result == 1))
            return std::nullopt;
        return sets ? o.second : value;
    }

    const history& operations;
    std::set<std::pair<std::uint64_t, int>> visited;
};

bool is_linearizable(history h)
{
    // A read without an answer says nothing.
    std::erase_if(h, [](const operation& o) {
        return o.kind == kind::read && !o.returned;
    });
    EXPECT_LE(h.size(), 64u);
    return checker(h).search(0, 0);
}

operation
made(kind k, int first, int result, std::int64_t from, std::int64_t to)
{
    const base::time_point zero;
    return {
        k,
        first,
        2,
        zero + base::duration(from),
        zero + base::duration(to),
        result};
}

TEST(linearizability, the_checker_tells_good_histories_from_bad_ones)
{
    const auto write = made(kind::write, 1, 0, 0, 10);
    EXPECT_TRUE(is_linearizable({write, made(kind::read, 0, 0, 5, 20)}));
    EXPECT_TRUE(is_linearizable({write, made(kind::read, 0, 1, 5, 20)}));
    // A stale read.
    EXPECT_FALSE(is_linearizable({write, made(kind::read, 0, 0, 11, 20)}));
    // Two reads that see the values in the wrong order.
    EXPECT_FALSE(is_linearizable(
        {write, made(kind::read, 0, 1, 2, 4), made(kind::read, 0, 0, 5, 8)}));
    // Two successes from one value.
    EXPECT_FALSE(is_linearizable(
        {made(kind::compare_and_set, 0, 1, 0, 10),
         made(kind::compare_and_set, 0, 1, 0, 10)}));
    // An unknown write may take effect late, but not twice.
    auto unknown = write;
    unknown.returned.reset();
    EXPECT_TRUE(is_linearizable(
        {unknown,
         made(kind::read, 0, 0, 20, 30),
         made(kind::read, 0, 1, 40, 50)}));
    EXPECT_FALSE(is_linearizable(
        {unknown,
         made(kind::read, 0, 1, 20, 30),
         made(kind::read, 0, 0, 40, 50)}));
}

// One client: asks a member and waits for the answer.
class client
{
public:
    client(fake_cluster& c, history& h)
        : cluster(c)
        , record(h)
    {
    }

    void ask()
    {
        if (this->waits || this->record.size() >= 64)
            return;
        auto& random = this->cluster.random;
        const auto at = this->record.size();
        operation o{
            consensus::kind(random.below(3)),
            int(random.below(4)),
            int(random.below(4)),
            this->cluster.now,
            {},
            0};
        // Not always the leader: an old one must not answer.
        int to = this->cluster.leader();
        if (to == 0 || random.below(3) == 0)
            to = 1 + int(random.below(3));
        this->record.push_back(o);
        this->waits = true;
        const auto answered = [this, at](answer a, const std::string& reply) {
            this->waits = false;
            auto& asked = this->record[at];
            if (a == answer::applied) {
                asked.returned = this->cluster.now;
                asked.result = asked.kind == kind::read ? std::stoi(reply)
                                                        : int(reply == "ok");
            } else if (a == answer::rejected) {
                // It has no effect, as an unanswered read.
                asked.kind = kind::read;
            }
        };
        if (o.kind == kind::read)
            this->cluster.read(to, answered);
        else if (o.kind == kind::write)
            this->cluster.propose(to, "w " + std::to_string(o.first), answered);
        else
            this->cluster.propose(
                to,
                "c " + std::to_string(o.first) + " " + std::to_string(o.second),
                answered);
    }

private:
    fake_cluster& cluster;
    history& record;
    bool waits = false;
};

void add_fault(fake_cluster& c)
{
    const auto any = [&] { return 1 + int(c.random.below(3)); };
    switch (c.random.below(8)) {
    case 0:
        c.stop(any());
        break;
    case 1:
        for (const int a = any(); const int b : {1, 2, 3})
            c.cuts.insert({{a, b}, {b, a}});
        break;
    case 2:
        c.cuts.insert({any(), any()});
        break;
    case 3:
        c.pause(any(), std::chrono::milliseconds(c.random.below(3000)));
        break;
    case 4:
        if (c.leader() != 0)
            c.feed(c.leader(), transfer_requested{});
        break;
    default:
        c.cuts.clear();
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
                one.ask();
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
