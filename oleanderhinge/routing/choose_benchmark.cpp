// Time of one selection by the number of servers: chains of 4 stages with two
// splits of the layers, in up to 20 data centres and 8 regions.
#include "oleanderhinge/routing/choose.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace
{

using namespace oleanderhinge;

constexpr base::time_point now{std::chrono::seconds(100)};
constexpr std::uint32_t layer_count = 64;
constexpr std::uint32_t splits[2][5] = {
    {0, 16, 32, 48, 64}, {0, 20, 32, 50, 64}};

routing::server_info
make_server(std::int64_t i, std::int64_t count, base::random_source& random)
{
    routing::server_info info;
    info.id = base::backend_server_id{"server-" + std::to_string(i)};
    info.agent_incarnation = base::incarnation{1};
    // At least 40 servers in each data centre, as in present deployments.
    const auto data_centre =
        std::uint64_t(i / 8) % std::uint64_t(std::max<std::int64_t>(
                                   1, std::min<std::int64_t>(20, count / 40)));
    info.data_centre =
        base::data_centre_id{"dc-" + std::to_string(data_centre)};
    info.region = base::region_id{"region-" + std::to_string(data_centre % 8)};
    info.state = wire::server_state::serving;
    info.model = base::model_id{"m"};
    info.version = "1";
    info.layer_count = layer_count;
    const auto& split = splits[i / 4 % 2];
    info.layers = {
        base::layer_index{split[i % 4]}, base::layer_index{split[i % 4 + 1]}};
    info.speed_percent = std::uint32_t(50 + random.below(150));
    info.load.in_progress = std::uint32_t(random.below(32));
    info.load.limit = 32;
    info.load.step_us = std::uint32_t(8000 + random.below(8000));
    return info;
}

void choose_chain(benchmark::State& state)
{
    routing::server_view v;
    base::random_source random{1};
    for (std::int64_t i = 0; i < state.range(0); ++i)
        put_server(v, make_server(i, state.range(0), random), now);
    routing::chain_query query{
        .model = base::model_id{"m"},
        .version = "1",
        .layer_count = layer_count,
        .data_centre = base::data_centre_id{"dc-0"},
        .region = base::region_id{"region-0"}};
    if (state.range(1) != 0) {
        query.prefixes = routing::prefix_hashes(std::string(8192, 'p'));
        for (std::int64_t i = 0; i < std::min<std::int64_t>(state.range(0), 16);
             ++i)
            note_prompt(
                v.prefixes,
                base::backend_server_id{"server-" + std::to_string(i)},
                query.prefixes);
    }
    std::uint64_t failures = 0;
    for (auto _ : state) {
        const bool found = base::handle(
            [&]() -> base::result<bool> {
                BOOST_LEAF_AUTO(
                    chosen, routing::choose_chain(v, query, random, now));
                benchmark::DoNotOptimize(chosen);
                return true;
            },
            [](const base::error&) { return false; });
        failures += found ? 0 : 1;
    }
    state.counters["failures"] = double(failures);
}
BENCHMARK(choose_chain)
    ->ArgNames({"servers", "prefix"})
    ->ArgsProduct({{10, 100, 1000, 4300}, {0, 1}});

void choose_server(benchmark::State& state)
{
    routing::server_view v;
    base::random_source random{1};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        auto info = make_server(i, state.range(0), random);
        info.kind = base::route_kind::service;
        info.service = "desk";
        info.layer_count = 0;
        put_server(v, info, now);
    }
    const routing::service_query query{
        .service = "desk",
        .data_centre = base::data_centre_id{"dc-0"},
        .region = base::region_id{"region-0"}};
    for (auto _ : state)
        benchmark::DoNotOptimize(base::handle(
            [&]() -> base::result<double> {
                BOOST_LEAF_AUTO(
                    chosen, routing::choose_server(v, query, random, now));
                return chosen.cost_us;
            },
            [](const base::error&) { return 0.0; }));
}
BENCHMARK(choose_server)->Arg(3)->Arg(10)->Arg(100)->Arg(1000)->Arg(4300);

// One announcement that changes only the load, and one sent request.
void update_view(benchmark::State& state)
{
    routing::server_view v;
    base::random_source random{1};
    std::vector<routing::server_info> infos;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        infos.push_back(make_server(i, state.range(0), random));
        put_server(v, infos.back(), now);
    }
    for (auto _ : state) {
        const auto& info = infos[random.below(infos.size())];
        put_server(v, info, now);
        note_sent(v, info.id, now);
    }
}
BENCHMARK(update_view)->Arg(10)->Arg(100)->Arg(1000)->Arg(4300);

} // namespace

BENCHMARK_MAIN();
