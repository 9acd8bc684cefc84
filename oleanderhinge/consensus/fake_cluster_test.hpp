// A cluster of members in simulated time, with a network that drops, delays,
// duplicates and reorders messages at random from a seed. Fails the test if two
// members commit different entries at an index, lead in the same term, or hold
// a lease at the same time. For tests only.
//
// Example:
//   fake_cluster c(3, seed, {.drop_percent = 25});
//   ASSERT_TRUE(c.can_commit());
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

    // Starts a process. An empty disk gets a new incarnation.
    void start(int i)
    {
        auto& h = this->hosts[i];
        if (h.disk == incarnation{})
            h.disk = incarnation{++this->last_disk};
        h.start(
            name_of(i),
            this->initial,
            this->first_start,
            this->random.next(),
            this->now);
        this->schedule_tick(i, h.generation);
    }

    void stop(int i) { this->hosts[i].stop(this->random); }

    // Stops the process and erases its disk.
    void wipe(int i)
    {
        this->stop(i);
        const int generation = this->hosts[i].generation;
        this->hosts[i] = {};
        this->hosts[i].generation = generation;
    }

    // Holds back all events except ticks, which are dropped; delivers them at
    // the end of the pause.
    void pause(int i, base::duration length)
    {
        this->hosts[i].paused_until = this->now + length;
        this->schedule(this->now + length, [this, i] {
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

    void propose(int i, std::string command, callback done)
    {
        const auto tag = this->hosts[i].add_request(std::move(done));
        this->feed(i, proposals{{{tag, std::move(command)}}});
    }

    void read(int i, callback done)
    {
        this->feed(
            i, read_requested{this->hosts[i].add_request(std::move(done))});
    }

    // Number of the running leader that holds its lease, or 0.
    int leader()
    {
        for (auto& [i, h] : this->hosts) {
            if (h.state && this->now >= h.paused_until &&
                holds_lease(*h.state, this->now))
                return i;
        }
        return 0;
    }

    // Writes through the leader until one write is applied; false if that takes
    // longer than 20 s.
    bool can_commit()
    {
        bool applied = false;
        return this->run_until([&] {
            if (const int l = this->leader(); l != 0 && !applied)
                this->propose(
                    l, "w 1", [&applied](outcome result, const auto&) {
                        applied = applied || result == outcome::applied;
                    });
            this->run(50ms);
            return applied;
        });
    }

    std::map<int, fake_host> hosts;
    // Messages from the first to the second member are dropped.
    std::set<std::pair<int, int>> blocked_links;
    network_faults faults;
    membership initial;
    // Processes that start find settings of a first start.
    bool first_start = true;
    // Entries applied by any member, and the leader of each term.
    std::map<log_index, entry> committed;
    std::map<term, int> leaders;

private:
    void schedule_tick(int i, int generation)
    {
        this->schedule(
            this->now + 20ms + this->random_delay(20), [this, i, generation] {
                if (this->hosts[i].generation != generation)
                    return;
                this->feed(i, tick{});
                this->schedule_tick(i, generation);
            });
    }

    // Writes of a host finish in order: each call finishes the oldest one, then
    // feeds `report` to the member.
    void schedule_write_end(int i, event report)
    {
        auto& idle_at = this->disk_idle_at[i];
        idle_at = std::max(idle_at, this->now) +
                  this->random_delay(this->faults.disk_ms);
        const int generation = this->hosts[i].generation;
        this->schedule(idle_at, [this, i, generation, report] {
            if (this->hosts[i].generation != generation)
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
            if (this->blocked_links.contains({i, to}) ||
                this->happens(this->faults.drop_percent))
                continue;
            this->schedule(
                this->now + this->random_delay(this->faults.delay_ms),
                [this, i, to, bytes = encode(0, a.content)] {
                    this->deliver(i, to, bytes);
                });
        }
    }

    void carry_out(int i, persist& a)
    {
        const auto write_sequence = a.write_sequence;
        this->hosts[i].write(std::move(a));
        this->schedule_write_end(i, persisted{write_sequence});
    }

    void carry_out(int i, install_snapshot& a)
    {
        this->hosts[i].value = std::stoi(*a.snapshot.data);
        this->hosts[i].write(a.snapshot, true);
        this->schedule_write_end(i, persisted{a.write_sequence});
    }

    void carry_out(int i, apply& a)
    {
        auto& h = this->hosts[i];
        for (const auto& e : a.entries) {
            EXPECT_EQ(this->committed.emplace(e.index, e).first->second, e)
                << "different entries committed at index " << e.index;
            h.apply_entry(e);
        }
        if (h.entries_since_snapshot < 20)
            return;
        h.entries_since_snapshot = 0;
        const auto last = a.entries.back().index;
        const auto data =
            std::make_shared<const std::string>(std::to_string(h.value));
        const auto& log = h.state->log;
        h.write(
            {last, *term_at(log, last), membership_at(log, last), data}, false);
        this->schedule_write_end(i, snapshot_taken{last, data});
    }

    void carry_out(int i, accepted& a)
    {
        auto& h = this->hosts[i];
        if (auto request = h.pending_requests.extract(a.tag))
            h.appended_requests[a.index] = {
                a.entry_term, std::move(request.mapped())};
    }

    void carry_out(int i, rejected& a)
    {
        this->hosts[i].reply(a.tag, outcome::rejected, "");
    }

    void carry_out(int i, read_ready& a)
    {
        auto& h = this->hosts[i];
        EXPECT_EQ(h.state->applied, a.after);
        h.reply(a.tag, outcome::applied, std::to_string(h.value));
    }

    void carry_out(int i, role_changed& a)
    {
        if (a.now != role::leader) {
            this->hosts[i].finish_appended_as_unknown();
            return;
        }
        const auto first_leader =
            this->leaders.emplace(a.current_term, i).first->second;
        EXPECT_EQ(first_leader, i) << "two leaders in term " << a.current_term;
    }

    void check_leases()
    {
        int lease_holders = 0;
        for (auto& [i, h] : this->hosts)
            lease_holders +=
                h.state && holds_lease(*h.state, this->now) ? 1 : 0;
        EXPECT_LE(lease_holders, 1) << "two members hold a lease";
    }

    std::map<int, base::time_point> disk_idle_at;
    std::uint64_t last_disk = 0;
};

} // namespace oleanderhinge::consensus
