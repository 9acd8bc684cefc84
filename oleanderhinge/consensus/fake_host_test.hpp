// One member with its disk and its state machine, for tests only.
#pragma once

#include "oleanderhinge/consensus/queries.hpp"

#include <cstdio>
#include <functional>

namespace oleanderhinge::consensus
{

using namespace std::chrono_literals;

enum class answer { applied, unknown, rejected };
using done = std::function<void(answer, const std::string& reply)>;

inline vm_id name_of(int i)
{
    return vm_id{std::to_string(i)};
}

// The state machine is a register: "w 5" writes, "c 3 5" compares and sets.
inline std::string apply_command(int& value, const std::string& command)
{
    int first = 0;
    int second = 0;
    if (std::sscanf(command.c_str(), "w %d", &first) == 1) {
        value = first;
    } else if (std::sscanf(command.c_str(), "c %d %d", &first, &second) == 2) {
        if (value != first)
            return "no";
        value = second;
    }
    return "ok";
}

struct fake_host {
    std::optional<node_state> state;
    // On the disk, and the writes under way.
    incarnation disk;
    vote_record vote;
    std::optional<snapshot_content> snapshot;
    std::vector<entry> entries;
    std::deque<std::function<void()>> writes;
    // Of the process.
    int life = 0;
    base::time_point paused_until;
    std::vector<event> deferred;
    int value = 0;
    int since_snapshot = 0;
    std::uint64_t next_tag = 0;
    std::map<std::uint64_t, done> asked;
    std::map<log_index, std::pair<term, done>> in_log;

    void start(
        vm_id self, membership first, std::uint64_t seed, base::time_point now)
    {
        this->since_snapshot = 0;
        this->value = this->snapshot ? std::stoi(*this->snapshot->data) : 0;
        setup from{std::move(self), this->disk, {}, {}, seed};
        // Small, so that a short run reaches every limit.
        from.bounds.chunk_bytes = 2;
        from.bounds.trailing_entries = 5;
        from.bounds.append_entries = 3;
        from.bounds.in_flight_entries = 9;
        from.initial = std::move(first);
        from.vote = this->vote;
        from.snapshot = this->snapshot;
        from.entries = this->entries;
        this->state = make_state(std::move(from), now);
        ++this->life;
    }

    // Of the writes under way, a random part reaches the disk.
    void stop(base::random_source& random)
    {
        ++this->life;
        this->state.reset();
        this->deferred.clear();
        this->paused_until = {};
        while (!this->writes.empty() && random.below(2) == 0)
            this->finish_write();
        this->writes.clear();
        this->forget();
        for (auto& [tag, d] : std::exchange(this->asked, {}))
            d(answer::unknown, "");
    }

    void finish_write()
    {
        this->writes.front()();
        this->writes.pop_front();
    }

    void forget()
    {
        for (auto& [index, w] : std::exchange(this->in_log, {}))
            w.second(answer::unknown, "");
    }

    std::uint64_t ask(done d)
    {
        this->asked[++this->next_tag] = std::move(d);
        return this->next_tag;
    }

    void reply(std::uint64_t tag, answer a, const std::string& text)
    {
        if (auto d = this->asked.extract(tag))
            d.mapped()(a, text);
    }

    void apply_entry(const entry& e)
    {
        ++this->since_snapshot;
        std::string text;
        if (e.kind == entry_kind::command)
            text = apply_command(this->value, e.payload);
        auto w = this->in_log.extract(e.index);
        if (w.empty())
            return;
        const bool same = w.mapped().first == e.entry_term;
        w.mapped().second(same ? answer::applied : answer::unknown, text);
    }

    void write(persist p)
    {
        this->writes.push_back([this, p = std::move(p)] {
            if (p.vote)
                this->vote = *p.vote;
            std::erase_if(this->entries, [&](const entry& e) {
                return p.truncate_from && e.index >= *p.truncate_from;
            });
            this->entries.insert(
                this->entries.end(), p.entries.begin(), p.entries.end());
        });
    }

    // With `install`, the snapshot replaces the whole log.
    void write(snapshot_content content, bool install)
    {
        this->writes.push_back([this, install, c = std::move(content)] {
            if (this->snapshot && this->snapshot->last >= c.last)
                return;
            this->snapshot = c;
            std::erase_if(this->entries, [&](const entry& e) {
                return install || e.index <= c.last;
            });
        });
    }
};

struct network_faults {
    int drop_percent = 0;
    int duplicate_percent = 0;
    // Delays are uniform from 0, so messages overtake each other.
    int delay_ms = 2;
    int disk_ms = 4;
};

// Calls in the order of their times.
class simulated_time
{
public:
    explicit simulated_time(std::uint64_t seed)
        : random(seed)
    {
    }

    void run(base::duration length)
    {
        const auto end = this->now + length;
        while (!this->queue.empty() && this->queue.begin()->first <= end) {
            auto next = this->queue.extract(this->queue.begin());
            this->now = std::max(this->now, next.key());
            next.mapped()();
        }
        this->now = end;
    }

    template <class Condition>
    bool run_until(Condition&& condition, base::duration limit = 20s)
    {
        const auto end = this->now + limit;
        while (!condition() && this->now < end)
            this->run(10ms);
        return condition();
    }

    base::time_point now{100s};
    base::random_source random;

protected:
    void at(base::time_point when, std::function<void()> what)
    {
        this->queue.emplace(when, std::move(what));
    }

    base::duration up_to(int ms)
    {
        return base::duration(this->random.below(std::uint64_t(ms) * 1000 + 1));
    }

private:
    std::multimap<base::time_point, std::function<void()>> queue;
};

} // namespace oleanderhinge::consensus
