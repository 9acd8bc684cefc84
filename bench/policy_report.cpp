// Prints what the decision code achieves under load and faults next to a
// baseline, and what each mechanism is worth. See docs/benchmarks.md.
//
// Example: policy-report --seeds 3
#include "bench/policy_simulation.hpp"

#include <CLI/CLI.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <numeric>

namespace oleanderhinge::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t customer_count = 10;
constexpr std::size_t large_count = 3;
// The default shares of the configuration.
constexpr std::array<double, base::rank_count> shares = {0.5, 0.2, 0.1};

struct workload {
    std::string name;
    std::vector<std::string> data_centres;
    // Layer boundaries; servers are dealt to the splits in turn.
    std::vector<std::vector<std::uint32_t>> splits;
    std::vector<std::uint32_t> speeds;
};

const std::vector<workload>& workloads()
{
    static const std::vector<workload> all = {
        {"flipside",
         {"glasgow", "edinburgh", "inverness"},
         {{0, 8, 16, 24, 32}},
         {60, 80, 100, 120, 140}},
        {"karvik",
         {"tartu-a", "voru-b", "polva-c"},
         {{0, 8, 16, 24, 32}, {0, 10, 18, 25, 32}},
         {50, 100, 150}}};
    return all;
}

std::vector<rank_profile> model_profiles()
{
    return {
        {300, 60, milliseconds(410), milliseconds(59)},
        {800, 120, seconds(2), milliseconds(118)},
        {2000, 250, seconds(30), duration(0)}};
}

scenario make_fleet(const workload& w)
{
    scenario s;
    s.layer_count = w.splits[0].back();
    s.data_centres = w.data_centres;
    s.ranks = model_profiles();
    constexpr std::size_t server_count = 40;
    for (std::size_t i = 0; i < server_count; ++i) {
        const auto chain = i / 4;
        const auto& split = w.splits[chain % w.splits.size()];
        s.servers.push_back(
            {w.data_centres[chain % w.data_centres.size()],
             {base::layer_index{split[i % 4]},
              base::layer_index{split[i % 4 + 1]}},
             w.speeds[chain % w.speeds.size()]});
    }
    return s;
}

scenario make_service(const workload& w)
{
    scenario s;
    s.plain_service = true;
    s.data_centres = w.data_centres;
    s.batch = 4;
    s.ranks.assign(base::rank_count, {300, 1, milliseconds(500), duration(0)});
    for (std::size_t i = 0; i < 3; ++i)
        s.servers.push_back({w.data_centres[i], {}, 100});
    return s;
}

// Units a second that the fleet can complete: for each split, what its
// narrowest stage can.
double bound(const scenario& s)
{
    std::map<base::layer_range, double> capacity;
    for (const auto& server : s.servers)
        capacity[server.layers] +=
            s.batch * 1e6 / (s.step_us * 100 / server.speed_percent);
    if (s.plain_service)
        return capacity.begin()->second;
    double total = 0;
    for (const auto& [range, units] : capacity) {
        if (range.first.value() != 0)
            continue;
        double least = units;
        auto next = range.end;
        while (next.value() < s.layer_count) {
            // With two splits of equal boundaries up to here this would count
            // a stage twice; the workloads have none.
            const auto it = capacity.lower_bound({next, {}});
            least = std::min(least, it->second);
            next = it->first.end;
        }
        total += least;
    }
    return total;
}

// Adds sources that offer `units` a second at a rank; the large customers
// have a quarter of it each, the small ones share the rest.
void offer(scenario& s, base::rank work_rank, double units)
{
    for (std::size_t c = 0; c < customer_count; ++c)
        s.sources.push_back(
            {c,
             work_rank,
             c < large_count
                 ? units / 4
                 : units / 4 / double(customer_count - large_count)});
}

void offer_mix(scenario& s, double units, std::array<double, 3> mix)
{
    for (std::size_t r = 0; r < base::rank_count; ++r)
        offer(s, base::rank(r), units * mix[r]);
}

constexpr std::array<double, 3> normal_mix = {0.2, 0.5, 0.3};
constexpr std::array<double, 3> overload_mix = {0.2, 0.4, 0.4};
constexpr double overload_factor = 3;

// --- Metrics ----------------------------------------------------------------

bool attained(const job& j, const rank_profile& p)
{
    if (!j.done || j.first_token - j.arrival > p.first_token_target)
        return false;
    const double tokens = std::max(1.0, j.generated - 1);
    const double interval = double((j.completed - j.first_token).count());
    return p.token_target.count() == 0 ||
           interval / tokens <= double(p.token_target.count());
}

struct outcome {
    std::array<double, base::rank_count> attainment{};
    // Units a second of requests that completed.
    std::array<double, base::rank_count> served{};
    std::array<double, customer_count> by_customer{};
    double total = 0;
    double first_token_p95_ms = 0;
    double run_twice = 0;
    double recovery_s = 0;
};

// Time from the fault to the last half second in which fewer than 95% of the
// new requests got their first token within 2 s.
double recovery(const scenario& s, const std::vector<job>& jobs)
{
    constexpr duration bucket = milliseconds(500);
    std::map<std::int64_t, std::pair<double, double>> buckets;
    const time_point fault{s.dies_at};
    for (const auto& j : jobs) {
        if (j.arrival < fault)
            continue;
        auto& [ok, all] = buckets[(j.arrival - fault) / bucket];
        ++all;
        ok += j.has_first && j.first_token - j.arrival <= seconds(2);
    }
    double last = 0;
    for (const auto& [number, counts] : buckets)
        if (counts.first < 0.95 * counts.second)
            last = double(number + 1) * 0.5;
    return last;
}

outcome measure(const scenario& s, const std::vector<job>& jobs)
{
    outcome o;
    std::array<double, base::rank_count> submitted{};
    std::vector<double> first;
    const time_point from{s.warm_up};
    const time_point to{s.length};
    const double window = double((to - from).count()) / 1e6;
    for (const auto& j : jobs) {
        const auto r = std::size_t(j.from.work_rank);
        if (j.done && j.completed >= from && j.completed < to) {
            o.served[r] += j.units() / window;
            o.by_customer[j.from.customer] += j.units() / window;
            o.total += j.units() / window;
        }
        if (s.plain_service)
            o.run_twice += j.runs > 1;
        if (j.arrival < from)
            continue;
        ++submitted[r];
        o.attainment[r] += attained(j, s.ranks[r]);
        if (j.has_first)
            first.push_back(double((j.first_token - j.arrival).count()) / 1e3);
    }
    for (std::size_t r = 0; r < base::rank_count; ++r)
        o.attainment[r] /= std::max(1.0, submitted[r]);
    std::sort(first.begin(), first.end());
    if (!first.empty())
        o.first_token_p95_ms = first[first.size() * 95 / 100];
    if (s.dies >= 0)
        o.recovery_s = recovery(s, jobs);
    return o;
}

outcome run(const scenario& s, const policy& p, std::uint64_t seed)
{
    simulation sim(s, p, seed);
    return measure(s, sim.run());
}

// --- Experiments ------------------------------------------------------------

enum class goal : std::uint8_t { at_least, at_most, none };

struct figure {
    std::string metric;
    double value = 0;
    double target = 0;
    goal direction = goal::at_least;
};

using figures = std::vector<figure>;

void measure_load(
    const workload& w, const policy& p, std::uint64_t seed, figures& out)
{
    auto full = make_fleet(w);
    const double units = bound(full);
    auto calm = full;
    auto over = full;
    offer_mix(full, units, normal_mix);
    out.push_back(
        {"throughput / bound at 1.0x", run(full, p, seed).total / units, 0.95});
    offer_mix(calm, 0.8 * units, normal_mix);
    const auto quiet = run(calm, p, seed);
    out.push_back({"urgent attainment at 0.8x", quiet.attainment[0], 0.95});
    out.push_back(
        {"first token p95 (ms) at 0.8x",
         quiet.first_token_p95_ms,
         0,
         goal::none});
    offer_mix(over, overload_factor * units, overload_mix);
    const auto loaded = run(over, p, seed);
    out.push_back({"urgent attainment at 3x", loaded.attainment[0], 0.99});
    out.push_back(
        {"standard attainment at 3x", loaded.attainment[1], 0, goal::none});
    out.push_back(
        {"deferrable attainment at 3x", loaded.attainment[2], 0, goal::none});
    out.push_back(
        {"throughput / bound at 3x", loaded.total / units, 0, goal::none});
}

void measure_floods(
    const workload& w, const policy& p, std::uint64_t seed, figures& out)
{
    for (std::size_t flood = 0; flood < base::rank_count; ++flood) {
        auto s = make_fleet(w);
        const double units = bound(s);
        for (std::size_t r = 0; r < base::rank_count; ++r)
            offer(
                s,
                base::rank(r),
                r == flood ? overload_factor * units : 1.5 * shares[r] * units);
        const auto o = run(s, p, seed);
        double kept = 1e9;
        for (std::size_t r = 0; r < base::rank_count; ++r)
            if (r != flood)
                kept = std::min(kept, o.served[r] / (shares[r] * units));
        out.push_back(
            {std::string("least kept share, flood of ") +
                 to_string(base::rank(flood)),
             kept,
             1});
    }
}

// Large customers offer the whole bound each, small ones 90% of a fair share.
void measure_fairness(
    const workload& w, const policy& p, std::uint64_t seed, figures& out)
{
    auto s = make_fleet(w);
    const double units = bound(s);
    const double fair = units / double(customer_count);
    for (std::size_t c = 0; c < customer_count; ++c)
        s.sources.push_back(
            {c, base::rank::standard, c < large_count ? units : 0.9 * fair});
    const auto o = run(s, p, seed);
    const double small = 0.9 * fair;
    const double large =
        (units - small * double(customer_count - large_count)) /
        double(large_count);
    double worst = 1e9;
    double sum = 0;
    double squares = 0;
    for (std::size_t c = 0; c < customer_count; ++c) {
        const double x = o.by_customer[c] / (c < large_count ? large : small);
        sum += x;
        squares += x * x;
        if (c >= large_count)
            worst = std::min(worst, x);
    }
    out.push_back({"worst small customer / fair share", worst, 0.95});
    out.push_back(
        {"Jain index of customers",
         sum * sum / (double(customer_count) * squares),
         0,
         goal::none});
}

void measure_faults(
    const workload& w, const policy& p, std::uint64_t seed, figures& out)
{
    const struct {
        const char* name;
        int server;
    } faults[] = {{"head", 0}, {"middle stage", 2}};
    for (const auto& fault : faults) {
        auto s = make_fleet(w);
        offer_mix(s, 0.7 * bound(s), normal_mix);
        s.dies = fault.server;
        s.dies_at = seconds(30);
        out.push_back(
            {std::string("recovery (s) after loss of a ") + fault.name,
             run(s, p, seed).recovery_s,
             2,
             goal::at_most});
    }
    auto s = make_service(w);
    offer_mix(s, 0.5 * bound(s), normal_mix);
    s.dies = 1;
    s.dies_at = seconds(30);
    const auto o = run(s, p, seed);
    out.push_back(
        {"recovery (s) after loss of a plain server",
         o.recovery_s,
         2,
         goal::at_most});
    out.push_back(
        {"calls run twice through retries", o.run_twice, 0, goal::at_most});
}

figures
measure_all(const workload& w, const policy& p, std::uint64_t seed, bool faults)
{
    figures out;
    measure_load(w, p, seed, out);
    measure_floods(w, p, seed, out);
    measure_fairness(w, p, seed, out);
    if (faults)
        measure_faults(w, p, seed, out);
    return out;
}

std::string target_text(const figure& f)
{
    if (f.direction == goal::none)
        return "-";
    const bool met = f.direction == goal::at_least ? f.value >= f.target
                                                   : f.value <= f.target;
    std::array<char, 48> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%s %.2f %s",
        f.direction == goal::at_least ? ">=" : "<=",
        f.target,
        met ? "met" : "MISSED");
    return text.data();
}

void print_comparison(std::uint64_t seed_count)
{
    std::printf(
        "%-9s %4s  %-42s %10s %10s  %s\n",
        "workload",
        "seed",
        "metric",
        "baseline",
        "this",
        "target");
    policy baseline;
    baseline.baseline = true;
    for (const auto& w : workloads())
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            const auto before = measure_all(w, baseline, seed, true);
            const auto after = measure_all(w, policy{}, seed, true);
            for (std::size_t i = 0; i < after.size(); ++i)
                std::printf(
                    "%-9s %4llu  %-42s %10.3f %10.3f  %s\n",
                    w.name.c_str(),
                    static_cast<unsigned long long>(seed),
                    after[i].metric.c_str(),
                    before[i].value,
                    after[i].value,
                    target_text(after[i]).c_str());
            std::fflush(stdout);
        }
}

struct variant {
    const char* name;
    std::function<void(policy&)> change;
};

std::vector<variant> variants()
{
    return {
        {"all on", [](policy&) {}},
        {"no shares", [](policy& p) { p.queue.rank_shares = false; }},
        {"no fairness", [](policy& p) { p.queue.fair_customers = false; }},
        {"no refusal", [](policy& p) { p.queue.early_refusal = false; }},
        {"limit 24",
         [](policy& p) {
             p.queue.limit.adaptive = false;
             p.queue.limit.initial = 24;
         }},
        {"limit 64",
         [](policy& p) {
             p.queue.limit.adaptive = false;
             p.queue.limit.initial = 64;
         }},
        {"no headroom", [](policy& p) { p.queue.urgent_headroom = 0; }},
        {"no correct.", [](policy& p) { p.view.load_correction = false; }},
        {"no pushback", [](policy& p) { p.pushback = false; }},
        {"reserve", [](policy& p) { p.queue.urgent_reserve = true; }},
        {"no queue by rank", [](policy& p) { p.rank_reports = false; }},
        {"no prefix", [](policy& p) { p.view.prefix_affinity = false; }},
    };
}

// Means over the seeds; one column for each mechanism that is switched off.
void print_ablation(std::uint64_t seed_count)
{
    const auto all = variants();
    for (const auto& w : workloads()) {
        std::vector<figures> sums(all.size());
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
            for (std::size_t i = 0; i < all.size(); ++i) {
                policy p;
                all[i].change(p);
                const auto f = measure_all(w, p, seed, false);
                if (sums[i].empty())
                    sums[i] = f;
                else
                    for (std::size_t k = 0; k < f.size(); ++k)
                        sums[i][k].value += f[k].value;
            }
        std::printf("\n%-36s", w.name.c_str());
        for (const auto& v : all)
            std::printf(" %11s", v.name);
        std::printf("\n");
        for (std::size_t k = 0; k < sums[0].size(); ++k) {
            std::printf("%-36s", sums[0][k].metric.c_str());
            for (const auto& f : sums)
                std::printf(" %11.3f", f[k].value / double(seed_count));
            std::printf("\n");
        }
        std::fflush(stdout);
    }
}

} // namespace
} // namespace oleanderhinge::bench

int main(int argc, char** argv)
{
    CLI::App app{"Decision code under load and faults, against a baseline"};
    std::uint64_t seeds = 3;
    bool comparison = true;
    bool ablation = true;
    app.add_option("--seeds", seeds, "Seeds, from 1")
        ->check(CLI::PositiveNumber);
    app.add_flag(
        "--comparison,!--no-comparison",
        comparison,
        "Compare with the baseline");
    app.add_flag(
        "--ablation,!--no-ablation",
        ablation,
        "Switch off each mechanism in turn");
    CLI11_PARSE(app, argc, argv);
    if (comparison)
        oleanderhinge::bench::print_comparison(seeds);
    if (ablation)
        oleanderhinge::bench::print_ablation(seeds);
    return 0;
}
