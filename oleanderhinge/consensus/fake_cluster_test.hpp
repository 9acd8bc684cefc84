// Members that exchange messages over a network with seeded faults, in
// simulated time, with checks after each step. For tests only.
#pragma once

#include "oleanderhinge/consensus/fake_host_test.hpp"

#include <gtest/gtest.h>

namespace oleanderhinge::consensus
{

class fake_cluster : public simulated_time
{
public:
    fake_cluster(int size, std::uint64_t seed, network_faults faults_in = {})
        : simulated_time(seed)
        , faults(faults_in)
    {
        for (int i = 1; i <= size; ++i)
            this->initial.push_back({name_of(i), {}, {}, {}, true, false});
        for (int i = 1; i <= size; ++i)
            this->start(i);
    }

    // A new process; an empty disk gets a new incarnation.
    void start(int i)
    {
        auto& h = this->hosts[i];
        if (h.disk == incarnation{})
            h.disk = incarnation{++this->last_disk};
        h.start(name_of(i), this->initial, this->random.next(), this->now);
        this->tick_later(i, h.life);
    }

    void stop(int i) { this->hosts[i].stop(this->random); }

    void wipe(int i)
    {
        this->stop(i);
        const int life = this->hosts[i].life;
        this->hosts[i] = {};
        this->hosts[i].life = life;
    }

    void pause(int i, base::duration length)
    {
        this->hosts[i].paused_until = this->now + length;
        this->at(this->now + length, [this, i] {
            for (auto& e : std::exchange(this->hosts[i].deferred, {}))
                this->feed(i, std::move(e));
        });
    }

    void feed(int i, event e)
    {
        auto& h = this->hosts[i];
        if (!h.state)
            return;
        if (this->now < h.paused_until) {
            if (!std::holds_alternative<tick>(e))
                h.deferred.push_back(std::move(e));
            return;
        }
        for (auto& a : step(*h.state, std::move(e), this->now))
            std::visit([&](auto& item) { this->carry_out(i, item); }, a);
        this->check_leases();
    }

    void propose(int i, std::string command, done d)
    {
        const auto tag = this->hosts[i].ask(std::move(d));
        this->feed(i, proposals{{{tag, std::move(command)}}});
    }

    void read(int i, done d)
    {
        this->feed(i, read_requested{this->hosts[i].ask(std::move(d))});
    }

    // The running leader that holds its lease, or 0.
    int leader()
    {
        for (auto& [i, h] : this->hosts) {
            if (h.state && this->now >= h.paused_until &&
                holds_lease(*h.state, this->now))
                return i;
        }
        return 0;
    }

    // True once a new write through the leader is applied.
    bool commits()
    {
        bool applied = false;
        return this->run_until([&] {
            if (const int l = this->leader(); l != 0 && !applied)
                this->propose(l, "w 1", [&applied](answer a, const auto&) {
                    applied = applied || a == answer::applied;
                });
            this->run(50ms);
            return applied;
        });
    }

    std::map<int, fake_host> hosts;
    // Messages from the first to the second are dropped.
    std::set<std::pair<int, int>> cuts;
    network_faults faults;
    membership initial;
    // What any member applied, and who led which term.
    std::map<log_index, entry> committed;
    std::map<term, int> leaders;

private:
    void tick_later(int i, int life)
    {
        this->at(this->now + 20ms + this->up_to(20), [this, i, life] {
            if (this->hosts[i].life != life)
                return;
            this->feed(i, tick{});
            this->tick_later(i, life);
        });
    }

    // Writes finish in order; each timer finishes the oldest one.
    void finish_write_later(int i, event report)
    {
        auto& free = this->disk_free[i];
        free = std::max(free, this->now) + this->up_to(this->faults.disk_ms);
        const int life = this->hosts[i].life;
        this->at(free, [this, i, life, report] {
            if (this->hosts[i].life != life)
                return;
            this->hosts[i].finish_write();
            this->feed(i, report);
        });
    }

    void deliver(int from, int to, const wire::consensus_message& bytes)
    {
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(m, decode(bytes));
                this->feed(to, message_received{name_of(from), std::move(m)});
                return {};
            },
            [](const base::error& e) { ADD_FAILURE() << e.detail; });
    }

    bool happens(int percent) { return int(this->random.below(100)) < percent; }

    void carry_out(int i, send& a)
    {
        const int to = std::stoi(a.to.value());
        const int copies =
            this->happens(this->faults.duplicate_percent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (this->cuts.contains({i, to}) ||
                this->happens(this->faults.drop_percent))
                continue;
            this->at(
                this->now + this->up_to(this->faults.delay_ms),
                [this, i, to, bytes = encode(0, a.content)] {
                    this->deliver(i, to, bytes);
                });
        }
    }

    void carry_out(int i, persist& a)
    {
        const auto ticket = a.ticket;
        this->hosts[i].write(std::move(a));
        this->finish_write_later(i, persisted{ticket});
    }

    void carry_out(int i, install_snapshot& a)
    {
        this->hosts[i].value = std::stoi(*a.snapshot.data);
        this->hosts[i].write(a.snapshot, true);
        this->finish_write_later(i, persisted{a.ticket});
    }

    void carry_out(int i, apply& a)
    {
        auto& h = this->hosts[i];
        for (const auto& e : a.entries) {
            EXPECT_EQ(this->committed.emplace(e.index, e).first->second, e)
                << "two entries at " << e.index;
            h.apply_entry(e);
        }
        if (h.since_snapshot < 20)
            return;
        h.since_snapshot = 0;
        const auto last = a.entries.back().index;
        const auto data =
            std::make_shared<const std::string>(std::to_string(h.value));
        const auto& log = h.state->log;
        h.write(
            {last, *term_at(log, last), membership_at(log, last), data}, false);
        this->finish_write_later(i, snapshot_taken{last, data});
    }

    void carry_out(int i, accepted& a)
    {
        auto& h = this->hosts[i];
        if (auto d = h.asked.extract(a.tag))
            h.in_log[a.index] = {a.entry_term, std::move(d.mapped())};
    }

    void carry_out(int i, rejected& a)
    {
        this->hosts[i].reply(a.tag, answer::rejected, "");
    }

    void carry_out(int i, read_ready& a)
    {
        auto& h = this->hosts[i];
        EXPECT_EQ(h.state->applied, a.after);
        h.reply(a.tag, answer::applied, std::to_string(h.value));
    }

    void carry_out(int i, role_changed& a)
    {
        if (a.now != role::leader) {
            this->hosts[i].forget();
            return;
        }
        const auto first = this->leaders.emplace(a.current, i).first->second;
        EXPECT_EQ(first, i) << "two leaders in term " << a.current;
    }

    void check_leases()
    {
        int holders = 0;
        for (auto& [i, h] : this->hosts)
            holders += h.state && holds_lease(*h.state, this->now) ? 1 : 0;
        EXPECT_LE(holders, 1) << "two leases";
    }

    std::map<int, base::time_point> disk_free;
    std::uint64_t last_disk = 0;
};

} // namespace oleanderhinge::consensus
