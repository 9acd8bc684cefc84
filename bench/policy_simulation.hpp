// Discrete event simulation of one fleet in virtual time, for policy-report.
//
// The decision code under test is the real one; only the engines, the links
// and the callers are modelled. An engine of stage s runs the units of all
// requests that are present as one batch: a step takes
// a * (0.8 + 0.2 * min(1, b / B)) * max(1, b / B) with b requests present, so
// that its capacity is B / a units a second. A generated token is one unit at
// each stage, a prompt token 0.01 units.
#pragma once

#include "oleanderhinge/admission/queue.hpp"
#include "oleanderhinge/retry/budget.hpp"
#include "oleanderhinge/routing/choose.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace oleanderhinge::bench
{

using base::duration;
using base::time_point;

constexpr double prompt_token_units = 0.01;
// Tokens that one event of the simulation stands for.
constexpr double tokens_per_visit = 4;
constexpr duration silence_limit = std::chrono::seconds(1);
constexpr duration reconnect_failure = std::chrono::milliseconds(50);
constexpr duration expire_interval = std::chrono::milliseconds(100);
constexpr duration announce_interval = std::chrono::seconds(1);
constexpr duration server_lease = std::chrono::seconds(3);
constexpr std::size_t entry_count = 3;
constexpr std::size_t cached_prefixes = 24;
constexpr double lost_cache_events = 0.1;

inline duration from_us(double us)
{
    return duration(std::int64_t(us));
}

// What decides: the code under test, or the baseline (round robin, first in
// first out, no limits, up to 3 immediate retries after any failure).
struct policy {
    bool baseline = false;
    admission::queue_options queue;
    routing::server_view_options view;
    retry::budget_options budget;
    // Whether load reports tell the queue by rank, which the wire format does
    // not do yet.
    bool rank_reports = true;
    bool pushback = true;
};

struct rank_profile {
    double prompt_tokens;
    double generated_tokens;
    duration first_token_target;
    // Zero: none.
    duration token_target;
};

// A stream of requests of one customer and rank.
struct source {
    std::size_t customer = 0;
    base::rank work_rank = base::rank::standard;
    // Offered units a second.
    double units = 0;
};

struct server_spec {
    std::string data_centre;
    base::layer_range layers;
    std::uint32_t speed_percent = 100;
};

struct scenario {
    std::vector<server_spec> servers;
    // Entry node i is in data centre i.
    std::vector<std::string> data_centres;
    std::uint32_t layer_count = 0;
    bool plain_service = false;
    double step_us = 6000;
    double batch = 8;
    std::vector<rank_profile> ranks;
    std::vector<source> sources;
    duration length = std::chrono::seconds(60);
    // Time from which on requests are counted.
    duration warm_up = std::chrono::seconds(15);
    duration drain = std::chrono::seconds(40);
    // Server that dies, with the time.
    int dies = -1;
    duration dies_at{0};
};

struct job {
    source from;
    std::size_t entry = 0;
    time_point arrival;
    std::size_t prefix = 0;
    double prompt = 0;
    double generated = 0;
    double delivered = 0;
    std::uint32_t attempt = 0;
    std::vector<std::size_t> stages;
    // Stages that hold a slot for this attempt.
    std::size_t granted = 0;
    std::vector<base::backend_server_id> avoid;
    double visit_units = 0;
    double visit_tokens = 0;
    time_point round_start;
    time_point first_token;
    time_point completed;
    bool has_first = false;
    bool done = false;
    std::uint32_t runs = 0;

    double units() const
    {
        return this->prompt * prompt_token_units + this->generated;
    }
};

struct engine {
    routing::server_info info;
    double step_us = 0;
    double batch = 0;
    double present = 0;
    bool dead = false;
    time_point died;
    admission::queue q;
    std::deque<std::size_t> prefixes;
    std::uint64_t cache_sequence = 0;
    std::vector<routing::cache_event> cache_events;
};

class simulation
{
public:
    simulation(const scenario& what, const policy& how, std::uint64_t seed)
        : spec(what)
        , rules(how)
        , random(seed)
    {
        for (std::size_t i = 0; i < what.servers.size(); ++i)
            this->add_engine(i, seed);
        for (std::size_t e = 0; e < entry_count; ++e) {
            this->views.emplace_back().options = how.view;
            this->budgets.push_back(
                retry::make_budget(how.budget, time_point{}));
            this->choosers.emplace_back(seed * 31 + e);
        }
        for (std::size_t i = 0; i < what.sources.size(); ++i)
            this->schedule_arrival(i);
        this->announce();
        if (!how.baseline)
            this->at(time_point{}, event_kind::expire, 0, 0);
        if (what.dies >= 0)
            this->at(time_point{what.dies_at}, event_kind::die, 0, 0);
    }

    // Runs to the end and returns all requests.
    const std::vector<job>& run()
    {
        const time_point end{this->spec.length + this->spec.drain};
        while (!this->events.empty() && this->events.top().when <= end) {
            const event e = this->events.top();
            this->events.pop();
            this->now = e.when;
            this->handle(e);
        }
        return this->jobs;
    }

private:
    enum class event_kind : std::uint8_t {
        arrive,
        begin_visit,
        end_visit,
        fail,
        attempt,
        announce,
        expire,
        die,
    };

    struct event {
        time_point when;
        std::uint64_t order = 0;
        event_kind kind = event_kind::arrive;
        std::size_t index = 0;
        std::size_t stage = 0;
        std::uint32_t attempt = 0;

        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.order) <
                   std::tie(this->when, this->order);
        }
    };

    void
    at(time_point when, event_kind kind, std::size_t index, std::size_t stage)
    {
        const auto attempt =
            index < this->jobs.size() ? this->jobs[index].attempt : 0;
        this->events.push({when, ++this->order, kind, index, stage, attempt});
    }

    void add_engine(std::size_t i, std::uint64_t seed)
    {
        const auto& from = this->spec.servers[i];
        engine s;
        s.info.id = base::backend_server_id{"s" + std::to_string(i)};
        s.info.agent_incarnation = base::incarnation{1};
        s.info.data_centre = base::data_centre_id{from.data_centre};
        s.info.region = base::region_id{"region"};
        s.info.state = wire::server_state::serving;
        s.info.kind = this->spec.plain_service ? base::route_kind::service
                                               : base::route_kind::model;
        s.info.service = "desk";
        s.info.model = base::model_id{"m"};
        s.info.layers = from.layers;
        s.info.layer_count = this->spec.layer_count;
        s.info.speed_percent = from.speed_percent;
        s.step_us = this->spec.step_us * 100 / from.speed_percent;
        s.batch = this->spec.batch;
        s.q = admission::make_queue(this->rules.queue, seed * 1000 + i);
        this->engines.push_back(std::move(s));
        this->by_id[this->engines.back().info.id] = i;
    }

    void handle(const event& e)
    {
        const bool current = e.index < this->jobs.size() &&
                             this->jobs[e.index].attempt == e.attempt;
        switch (e.kind) {
        case event_kind::arrive:
            this->arrive(e.index);
            break;
        case event_kind::attempt:
            this->open(e.index);
            break;
        case event_kind::begin_visit:
            this->begin_visit(e.index, e.stage);
            break;
        case event_kind::end_visit:
            this->end_visit(e.index, e.stage);
            break;
        case event_kind::fail:
            if (current)
                this->fail(e.index, e.stage);
            break;
        case event_kind::announce:
            this->announce();
            break;
        case event_kind::expire:
            this->expire_queues();
            break;
        case event_kind::die:
            this->die(std::size_t(this->spec.dies));
            break;
        }
    }

    // --- Callers ----------------------------------------------------------

    const rank_profile& profile(const source& from) const
    {
        return this->spec.ranks[std::size_t(from.work_rank)];
    }

    void schedule_arrival(std::size_t i)
    {
        const auto& from = this->spec.sources[i];
        const auto& p = this->profile(from);
        const double units =
            p.prompt_tokens * prompt_token_units + p.generated_tokens;
        if (from.units <= 0)
            return;
        const double seconds =
            -std::log(1 - this->random.unit()) * units / from.units;
        const auto when = this->now + from_us(seconds * 1e6);
        if (when < time_point{this->spec.length})
            this->at(when, event_kind::arrive, i, 0);
    }

    void arrive(std::size_t i)
    {
        job j;
        j.from = this->spec.sources[i];
        const auto& p = this->profile(j.from);
        j.entry = this->random.below(entry_count);
        j.arrival = this->now;
        j.prefix = j.from.customer * 4 + this->random.below(4);
        j.prompt = p.prompt_tokens * (0.5 + this->random.unit());
        j.generated = std::max(
            1.0,
            std::round(
                p.generated_tokens * (0.25 + 1.5 * this->random.unit())));
        this->jobs.push_back(std::move(j));
        this->schedule_arrival(i);
        this->open(this->jobs.size() - 1);
    }

    // --- Attempts ---------------------------------------------------------

    static std::vector<routing::prefix_hash> hashes(const job& j)
    {
        std::vector<routing::prefix_hash> result;
        const auto blocks = std::min<std::size_t>(
            std::size_t(j.prompt / 64), routing::max_prefix_blocks);
        for (std::size_t b = 0; b < blocks; ++b)
            result.push_back(1 + j.prefix * 1000 + b);
        return result;
    }

    std::vector<std::size_t> choose_round_robin(std::size_t entry)
    {
        // All ranges by first layer; the split is chosen in turn as well.
        std::map<std::uint32_t, std::vector<std::size_t>> stages;
        for (std::size_t i = 0; i < this->engines.size(); ++i)
            if (!this->engines[i].dead ||
                this->now < this->engines[i].died + server_lease)
                stages[this->engines[i].info.layers.first.value()].push_back(i);
        std::vector<std::size_t> chosen;
        std::uint32_t next = 0;
        do {
            const auto& all = stages[next];
            if (all.empty())
                return {};
            auto& turn = this->turns[{entry, next}];
            chosen.push_back(all[turn++ % all.size()]);
            next = this->engines[chosen.back()].info.layers.end.value();
        } while (next < this->spec.layer_count);
        return chosen;
    }

    std::vector<std::size_t> choose(const job& j)
    {
        if (this->rules.baseline)
            return this->choose_round_robin(j.entry);
        const auto& v = this->views[j.entry];
        const base::data_centre_id place{
            this->spec.data_centres[j.entry % this->spec.data_centres.size()]};
        auto& chooser = this->choosers[j.entry];
        return base::handle(
            [&]() -> base::result<std::vector<std::size_t>> {
                std::vector<std::size_t> chosen;
                if (this->spec.plain_service) {
                    BOOST_LEAF_AUTO(
                        one,
                        routing::choose_server(
                            v,
                            {"desk",
                             j.from.work_rank,
                             place,
                             base::region_id{"region"},
                             j.avoid},
                            chooser,
                            this->now));
                    chosen.push_back(this->by_id.at(one.server));
                    return chosen;
                }
                BOOST_LEAF_AUTO(
                    found,
                    routing::choose_chain(
                        v,
                        {base::model_id{"m"},
                         "",
                         "",
                         j.from.work_rank,
                         this->spec.layer_count,
                         place,
                         base::region_id{"region"},
                         j.avoid,
                         {},
                         hashes(j)},
                        chooser,
                        this->now));
                for (const auto& s : found.stages)
                    chosen.push_back(this->by_id.at(s.server));
                return chosen;
            },
            [](const base::error&) { return std::vector<std::size_t>{}; });
    }

    void open(std::size_t index)
    {
        auto& j = this->jobs[index];
        ++j.attempt;
        j.granted = 0;
        j.stages = this->choose(j);
        if (j.stages.empty()) {
            this->conclude(
                index,
                base::not_run(base::failure_code::no_server, "no server"));
            return;
        }
        if (!this->rules.baseline)
            for (const auto s : j.stages)
                note_sent(
                    this->views[j.entry], this->engines[s].info.id, this->now);
        if (this->is_lost(index, 0))
            return;
        if (this->rules.baseline) {
            this->start(index);
            return;
        }
        this->carry_out(submit(
            this->engines[j.stages[0]].q, this->work_of(index), this->now));
    }

    // Schedules the failure of the attempt if the server of the stage is dead.
    bool is_lost(std::size_t index, std::size_t stage)
    {
        const auto& s = this->engines[this->jobs[index].stages[stage]];
        if (!s.dead)
            return false;
        this->at(
            std::max(this->now + reconnect_failure, s.died + silence_limit),
            event_kind::fail,
            index,
            stage);
        return true;
    }

    admission::work work_of(std::size_t index) const
    {
        const auto& j = this->jobs[index];
        admission::work item;
        item.request = {base::incarnation{1}, index};
        item.customer =
            base::customer_id{"c" + std::to_string(j.from.customer)};
        item.work_rank = j.from.work_rank;
        item.prompt_tokens = std::uint64_t(j.prompt + j.delivered);
        item.max_tokens =
            std::uint64_t(2 * this->profile(j.from).generated_tokens);
        item.first_token_deadline = (j.has_first ? this->now : j.arrival) +
                                    this->profile(j.from).first_token_target;
        return item;
    }

    void carry_out(const admission::actions& list)
    {
        for (const auto& a : list) {
            if (const auto* g = std::get_if<admission::grant>(&a))
                this->on_grant(g->request.sequence);
            else
                this->on_refuse(std::get<admission::refuse>(a));
        }
    }

    void on_refuse(const admission::refuse& r)
    {
        const auto index = r.request.sequence;
        auto& j = this->jobs[index];
        const auto& id = this->engines[j.stages[j.granted]].info.id;
        j.avoid.push_back(id);
        if (this->rules.pushback)
            note_refused(
                this->views[j.entry],
                id,
                j.from.work_rank,
                r.reason.retry_after,
                this->now);
        this->report_load(index, j.granted);
        this->close(index, false);
        this->conclude(index, r.reason);
    }

    // The load that an answer carries.
    void report_load(std::size_t index, std::size_t stage)
    {
        const auto& j = this->jobs[index];
        const auto& s = this->engines[j.stages[stage]];
        update_load(
            this->views[j.entry],
            s.info.id,
            s.info.agent_incarnation,
            load(s.q),
            this->now);
    }

    void on_grant(std::size_t index)
    {
        auto& j = this->jobs[index];
        this->report_load(index, 0);
        for (j.granted = 1; j.granted < j.stages.size(); ++j.granted) {
            if (this->is_lost(index, j.granted))
                return;
            const auto answer = submit_now(
                this->engines[j.stages[j.granted]].q,
                this->work_of(index),
                this->now);
            if (const auto* r = std::get_if<admission::refuse>(&answer.at(0))) {
                this->on_refuse(*r);
                return;
            }
            this->report_load(index, j.granted);
        }
        this->start(index);
    }

    void start(std::size_t index)
    {
        auto& j = this->jobs[index];
        double warm = 1;
        for (const auto s : j.stages) {
            const auto& cached = this->engines[s].prefixes;
            if (std::find(cached.begin(), cached.end(), j.prefix) ==
                cached.end())
                warm = 0;
        }
        // 90% of a prompt is the shared prefix.
        const double prompt = j.prompt * (1 - 0.9 * warm) + j.delivered;
        j.visit_tokens = 1;
        j.visit_units = prompt * prompt_token_units + 1;
        j.round_start = this->now;
        ++j.runs;
        this->begin_visit(index, 0);
    }

    // --- Engines ----------------------------------------------------------

    void begin_visit(std::size_t index, std::size_t stage)
    {
        if (this->is_lost(index, stage))
            return;
        auto& j = this->jobs[index];
        auto& s = this->engines[j.stages[stage]];
        ++s.present;
        const double fill = s.present / s.batch;
        const double step =
            s.step_us * (0.8 + 0.2 * std::min(1.0, fill)) * std::max(1.0, fill);
        this->at(
            this->now + from_us(step * j.visit_units),
            event_kind::end_visit,
            index,
            stage);
    }

    void end_visit(std::size_t index, std::size_t stage)
    {
        auto& j = this->jobs[index];
        const auto server = j.stages[stage];
        auto& s = this->engines[server];
        --s.present;
        if (this->is_lost(index, stage))
            return;
        if (stage > 0 && !this->rules.baseline) {
            const double fill = (s.present + 1) / s.batch;
            const double step = s.step_us * (0.8 + 0.2 * std::min(1.0, fill)) *
                                std::max(1.0, fill);
            this->carry_out(observe_step(s.q, from_us(step), this->now));
        }
        if (stage + 1 < j.stages.size()) {
            this->begin_visit(index, stage + 1);
            return;
        }
        this->end_round(index);
    }

    void end_round(std::size_t index)
    {
        auto& j = this->jobs[index];
        auto& head = this->engines[j.stages[0]].q;
        const auto elapsed = this->now - j.round_start;
        j.delivered += j.visit_tokens;
        if (!j.has_first) {
            j.has_first = true;
            j.first_token = this->now;
        }
        admission::actions out;
        if (!this->rules.baseline) {
            if (j.visit_units > j.visit_tokens)
                observe_first_token(
                    head, {base::incarnation{1}, index}, elapsed);
            if (j.visit_units == j.visit_tokens || this->spec.plain_service)
                out = observe_step(
                    head,
                    from_us(double(elapsed.count()) / j.visit_units),
                    this->now);
        }
        if (j.delivered >= j.generated) {
            this->complete(index);
        } else {
            j.visit_tokens =
                std::min(tokens_per_visit, j.generated - j.delivered);
            j.visit_units = j.visit_tokens;
            j.round_start = this->now;
            this->begin_visit(index, 0);
        }
        this->carry_out(out);
    }

    void complete(std::size_t index)
    {
        auto& j = this->jobs[index];
        j.done = true;
        j.completed = this->now;
        for (const auto s : j.stages) {
            this->remember_prefix(this->engines[s], j);
            if (!this->rules.baseline)
                note_success(
                    this->views[j.entry], this->engines[s].info.id, this->now);
        }
        note_success(this->budgets[j.entry]);
        this->close(index, true);
    }

    // Frees the slots of the attempt.
    void close(std::size_t index, bool finished)
    {
        auto& j = this->jobs[index];
        if (this->rules.baseline)
            return;
        const auto stages = j.stages;
        const auto tokens =
            base::token_count{std::uint64_t(j.prompt + j.delivered)};
        std::vector<admission::actions> out;
        for (const auto s : stages) {
            auto& server = this->engines[s];
            note_ended(this->views[j.entry], server.info.id);
            if (server.dead)
                continue;
            const base::request_id id{base::incarnation{1}, index};
            out.push_back(
                finished || j.delivered > 0
                    ? finish(server.q, id, tokens, this->now)
                    : cancel(server.q, id, this->now));
        }
        for (std::size_t i = 0; i < stages.size(); ++i)
            if (!this->engines[stages[i]].dead)
                this->report_load(index, i);
        for (const auto& list : out)
            this->carry_out(list);
    }

    // --- Failures ---------------------------------------------------------

    void die(std::size_t server)
    {
        auto& s = this->engines[server];
        s.dead = true;
        s.died = this->now;
        // What waits there fails when the link is found silent.
        for (const auto& [request, place] : s.q.queued)
            this->at(
                this->now + silence_limit,
                event_kind::fail,
                request.sequence,
                0);
    }

    void fail(std::size_t index, std::size_t stage)
    {
        auto& j = this->jobs[index];
        const auto& s = this->engines[j.stages[stage]];
        // Nothing was sent on a link that was known to be closed.
        const bool sent =
            j.runs > 0 || j.granted > 0 || j.arrival < s.died + silence_limit;
        j.avoid.push_back(s.info.id);
        if (!this->rules.baseline)
            note_failure(this->views[j.entry], s.info.id, this->now);
        this->close(index, false);
        this->conclude(
            index,
            sent ? base::may_have_run(base::failure_code::link_lost, "")
                 : base::not_run(base::failure_code::link_lost, ""));
    }

    void conclude(std::size_t index, const base::verdict& failure)
    {
        auto& j = this->jobs[index];
        if (this->rules.baseline) {
            if (j.attempt <= 3)
                this->at(this->now, event_kind::attempt, index, 0);
            return;
        }
        const auto left = j.arrival + std::chrono::seconds(60) - this->now;
        const auto decision = may_retry(
            this->budgets[j.entry],
            failure,
            !this->spec.plain_service,
            base::attempt_number{j.attempt},
            left,
            this->random,
            this->now);
        if (decision.retry)
            this->at(this->now + decision.delay, event_kind::attempt, index, 0);
    }

    // --- Announcements and cache events -----------------------------------

    void remember_prefix(engine& s, const job& j)
    {
        routing::cache_event e{
            s.info.id, s.info.agent_incarnation, 0, false, hashes(j), {}};
        std::erase(s.prefixes, j.prefix);
        s.prefixes.push_back(j.prefix);
        if (s.prefixes.size() > cached_prefixes) {
            for (std::size_t b = 0; b < routing::max_prefix_blocks; ++b)
                e.evicted.push_back(1 + s.prefixes.front() * 1000 + b);
            s.prefixes.pop_front();
        }
        e.sequence = ++s.cache_sequence;
        s.cache_events.push_back(std::move(e));
    }

    // Load and cache events reach the entry nodes once a second; a share of
    // the cache events is lost.
    void announce()
    {
        if (this->rules.baseline)
            return;
        for (auto& s : this->engines) {
            if (s.dead)
                continue;
            s.info.load = load(s.q);
            if (!this->rules.rank_reports)
                s.info.load.queued_by_rank = {};
            s.info.expires = this->now + server_lease;
            for (auto& v : this->views) {
                put_server(v, s.info, this->now);
                for (const auto& e : s.cache_events)
                    if (this->random.unit() >= lost_cache_events)
                        apply_cache_event(v.prefixes, e);
            }
            s.cache_events.clear();
        }
        if (this->now < time_point{this->spec.length + this->spec.drain})
            this->at(this->now + announce_interval, event_kind::announce, 0, 0);
    }

    void expire_queues()
    {
        for (auto& s : this->engines)
            if (!s.dead)
                this->carry_out(admission::expire(s.q, this->now));
        if (this->now < time_point{this->spec.length + this->spec.drain})
            this->at(this->now + expire_interval, event_kind::expire, 0, 0);
    }

    const scenario& spec;
    const policy& rules;
    base::random_source random;
    time_point now{};
    std::uint64_t order = 0;
    std::priority_queue<event> events;
    std::vector<job> jobs;
    std::vector<engine> engines;
    std::map<base::backend_server_id, std::size_t> by_id;
    std::vector<routing::server_view> views;
    std::vector<retry::budget> budgets;
    std::vector<base::random_source> choosers;
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> turns;
};

} // namespace oleanderhinge::bench
