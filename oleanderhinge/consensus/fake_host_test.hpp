// A simulated host with one Raft member, its disk and its state machine, and a
// simulated clock. For tests only.
//
// Example:
//   fake_host host;
//   host.start(name_of(1), members, true, seed, now);
#pragma once

#include "oleanderhinge/consensus/queries.hpp"

#include <cstdio>
#include <functional>

namespace oleanderhinge::consensus
{

using namespace std::chrono_literals;

// `unknown`: the command may be applied later or never.
enum class outcome { applied, unknown, rejected };
using callback = std::function<void(outcome, const std::string& reply)>;

inline vm_id name_of(int i)
{
    return vm_id{std::to_string(i)};
}

// The state machine is a register: "w 5" writes 5, "c 3 5" writes 5 if the
// value is 3.
inline std::string apply_command(int& value, const std::string& command)
{
    int argument = 0;
    int new_value = 0;
    if (std::sscanf(command.c_str(), "w %d", &argument) == 1) {
        value = argument;
    } else if (
        std::sscanf(command.c_str(), "c %d %d", &argument, &new_value) == 2) {
        if (value != argument)
            return "no";
        value = new_value;
    }
    return "ok";
}

struct fake_host {
    std::optional<node_state> state;
    // Contents of the disk, and the writes in progress. They survive `stop`,
    // except for writes that had not finished.
    incarnation disk;
    vote_record vote;
    std::optional<snapshot_content> snapshot;
    std::vector<entry> entries;
    // The folder records that this disk took part in a first start.
    bool first_start_recorded = false;
    std::deque<std::function<void()>> writes;
    // State of the process. `generation` changes at each start and stop, so
    // that scheduled calls for an earlier process are ignored.
    int generation = 0;
    base::time_point paused_until;
    std::vector<event> deferred;
    int value = 0;
    int entries_since_snapshot = 0;
    std::uint64_t next_tag = 0;
    std::map<std::uint64_t, callback> pending_requests;
    std::map<log_index, std::pair<term, callback>> appended_requests;

    void start(
        vm_id self,
        membership initial,
        bool first_start,
        std::uint64_t seed,
        base::time_point now)
    {
        this->first_start_recorded |= first_start;
        this->entries_since_snapshot = 0;
        this->value = this->snapshot ? std::stoi(*this->snapshot->data) : 0;
        setup options{std::move(self), this->disk, {}, {}, seed};
        // Small limits, so that a short run reaches each of them.
        options.bounds.max_chunk_bytes = 2;
        options.bounds.trailing_entries = 5;
        options.bounds.max_append_entries = 3;
        options.bounds.max_in_flight_entries = 9;
        options.initial = std::move(initial);
        options.waits_for_invitation = !this->first_start_recorded;
        options.vote = this->vote;
        options.snapshot = this->snapshot;
        options.entries = this->entries;
        this->state = make_state(std::move(options), now);
        ++this->generation;
    }

    // Kills the process. A random number of the writes in progress, oldest
    // first, still reach the disk.
    void stop(base::random_source& random)
    {
        ++this->generation;
        this->state.reset();
        this->deferred.clear();
        this->paused_until = {};
        while (!this->writes.empty() && random.below(2) == 0)
            this->finish_write();
        this->writes.clear();
        this->finish_appended_as_unknown();
        for (auto& [tag, done] : std::exchange(this->pending_requests, {}))
            done(outcome::unknown, "");
    }

    void finish_write()
    {
        this->writes.front()();
        this->writes.pop_front();
    }

    void finish_appended_as_unknown()
    {
        for (auto& [index, request] :
             std::exchange(this->appended_requests, {}))
            request.second(outcome::unknown, "");
    }

    // Returns the tag of the new request.
    std::uint64_t add_request(callback done)
    {
        this->pending_requests[++this->next_tag] = std::move(done);
        return this->next_tag;
    }

    void reply(std::uint64_t tag, outcome result, const std::string& text)
    {
        if (auto request = this->pending_requests.extract(tag))
            request.mapped()(result, text);
    }

    void apply_entry(const entry& e)
    {
        ++this->entries_since_snapshot;
        std::string reply_text;
        if (e.kind == entry_kind::command)
            reply_text = apply_command(this->value, e.payload);
        auto request = this->appended_requests.extract(e.index);
        if (request.empty())
            return;
        const bool same_entry = request.mapped().first == e.entry_term;
        request.mapped().second(
            same_entry ? outcome::applied : outcome::unknown, reply_text);
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

    // With `install`, the snapshot replaces the whole log; else the entries up
    // to it.
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
    // Largest delays. The delay of each message and each write is uniform from
    // 0, so messages are reordered.
    int delay_ms = 2;
    int disk_ms = 4;
};

// Runs scheduled calls in the order of their times, without waiting.
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

    // Runs until `condition` holds, at most for `limit` of simulated time.
    // Returns whether it holds.
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
    void schedule(base::time_point when, std::function<void()> call)
    {
        this->queue.emplace(when, std::move(call));
    }

    base::duration random_delay(int ms)
    {
        return base::duration(this->random.below(std::uint64_t(ms) * 1000 + 1));
    }

private:
    std::multimap<base::time_point, std::function<void()>> queue;
};

} // namespace oleanderhinge::consensus
