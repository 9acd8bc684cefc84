// Cost of the configuration in an entry node: changes, confirms and memory.
//
//   build/config_view_benchmark --benchmark_repetitions=5
//       --benchmark_report_aggregates_only=true
#include "oleanderhinge/membership/config_tree.hpp"
#include "oleanderhinge/membership/config_view.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>
#include <utility>

namespace oleanderhinge::membership
{
namespace
{

using base::revision;
using std::chrono::seconds;

const base::time_point start{seconds(1000)};

wire::customer make_customer(std::int64_t i)
{
    wire::customer c;
    c.id = base::customer_id{"customer-" + std::to_string(10000 + i)};
    c.credential_sha256 = std::string(64, 'a');
    c.routes = {base::route_id{"diagnose"}, base::route_id{"rota-notes"}};
    return c;
}

// Customers, 64 routes and the given number of orders.
wire::configuration make_config(std::int64_t customers, int orders = 0)
{
    wire::configuration config;
    for (std::int64_t i = 0; i < customers; ++i)
        wire::apply(config, wire::put_customer{make_customer(i)}, revision{1});
    for (int i = 0; i < 64; ++i) {
        wire::route r;
        r.id = base::route_id{"route-" + std::to_string(i)};
        r.model = base::model_id{"hinge-llm-" + std::to_string(i / 2)};
        r.version = "2026-11-3";
        wire::apply(config, wire::put_route{r}, revision{1});
    }
    for (int i = 0; i < orders; ++i) {
        wire::server_order o;
        o.server = base::backend_server_id{
            "tartu-a-model-" + std::to_string(10000 + i)};
        o.model = base::model_id{"hinge-llm-" + std::to_string(i % 32)};
        o.version = "2026-11-3";
        wire::apply(config, wire::put_order{o}, revision{1});
    }
    return config;
}

config_view make_view(std::int64_t customers)
{
    config_view view;
    apply_update(
        view, {revision{0}, revision{1}, {make_config(customers)}, {}}, start);
    apply_confirm(view, {revision{1}, 0}, start);
    return view;
}

wire::config_update make_change(std::uint64_t from, std::int64_t customer)
{
    return {
        revision{from},
        revision{from + 1},
        {},
        {{revision{from + 1}, wire::put_customer{make_customer(customer)}}}};
}

double heap_in_use()
{
    const auto info = mallinfo2();
    return double(info.uordblks) + double(info.hblkhd);
}

// One change: decode, apply, encode for the children.
void config_change(benchmark::State& state)
{
    auto view = make_view(state.range(0));
    config_tree tree;
    std::uint64_t at = 1;
    double bytes = 0;
    for (std::uint64_t i = 1; i <= 8; ++i)
        on_subscribe(
            tree,
            peer_link{i},
            {revision{1}, base::vm_id{"e" + std::to_string(i)}, {}, {}},
            view,
            start);
    for (auto _ : state) {
        state.PauseTiming();
        const auto frame = wire::encode(
            make_change(at, std::int64_t(at) % state.range(0)), wire::stamp{1});
        bytes = double(frame.size());
        ++at;
        state.ResumeTiming();
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::decode(frame));
                const auto& update = std::get<wire::config_update>(d.content);
                benchmark::DoNotOptimize(apply_update(view, update, start));
                for (const auto& action : forward(tree, view, update))
                    for (std::size_t i = 0; i < 8; ++i)
                        benchmark::DoNotOptimize(wire::encode(
                            std::get<tree_send>(action).content,
                            wire::stamp{1}));
                return {};
            },
            [](const base::error&) {});
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(config_change)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMicrosecond);

// A whole configuration: decode, apply.
void config_full(benchmark::State& state)
{
    const auto frame = wire::encode(
        wire::config_update{
            revision{0}, revision{1}, {make_config(state.range(0))}, {}},
        wire::stamp{1});
    for (auto _ : state) {
        config_view view;
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::decode(frame));
                apply_update(
                    view,
                    std::move(std::get<wire::config_update>(d.content)),
                    start);
                return {};
            },
            [](const base::error&) {});
        benchmark::DoNotOptimize(view);
    }
    state.counters["bytes"] = double(frame.size());
}
BENCHMARK(config_full)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMicrosecond);

// Heap use of one view, and its peak while a change is applied, when the old
// and the new configuration are both held.
void config_memory(benchmark::State& state)
{
    double held = 0;
    double with_old = 0;
    for (auto _ : state) {
        const auto before = heap_in_use();
        auto view = make_view(state.range(0));
        held = heap_in_use() - before;
        const auto reader = view.config;
        apply_update(view, make_change(1, 0), start);
        with_old = heap_in_use() - before;
        benchmark::DoNotOptimize(reader);
    }
    state.counters["heap_bytes"] = held;
    state.counters["heap_bytes_during_change"] = with_old;
}
BENCHMARK(config_memory)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Iterations(3)
    ->Unit(benchmark::kMicrosecond);

// Design size: 10,000 customers and an order for each of 4,300 servers. Heap
// use with the configuration, and its peak when a new one was just decoded and
// the frame, the decoded message and the old configuration are all held.
void config_design_size(benchmark::State& state)
{
    const auto frame = wire::encode(
        wire::config_update{
            revision{0}, revision{1}, {make_config(10000, 4300)}, {}},
        wire::stamp{1});
    double held = 0;
    double peak = 0;
    for (auto _ : state) {
        const auto before = heap_in_use();
        config_view view;
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(first, wire::decode(frame));
                apply_update(
                    view,
                    std::move(std::get<wire::config_update>(first.content)),
                    start);
                held = heap_in_use() - before;
                const std::string received = frame;
                BOOST_LEAF_AUTO(second, wire::decode(received));
                peak = heap_in_use() - before;
                benchmark::DoNotOptimize(second);
                return {};
            },
            [](const base::error&) {});
    }
    state.counters["bytes"] = double(frame.size());
    state.counters["heap_bytes"] = held;
    state.counters["heap_bytes_peak"] = peak;
}
BENCHMARK(config_design_size)->Iterations(3)->Unit(benchmark::kMicrosecond);

// One hop: decode, apply, make and encode confirms for 8 children.
void confirm_hop(benchmark::State& state)
{
    auto view = make_view(10);
    config_tree tree;
    for (std::uint64_t i = 1; i <= 8; ++i)
        on_subscribe(
            tree,
            peer_link{i},
            {revision{1}, base::vm_id{"e" + std::to_string(i)}, {}, {}},
            view,
            start);
    const auto frame =
        wire::encode(wire::config_confirm{revision{1}, 100}, wire::stamp{1});
    auto now = start;
    for (auto _ : state) {
        now += seconds(1);
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::decode(frame));
                apply_confirm(
                    view, std::get<wire::config_confirm>(d.content), now);
                for (const auto& action : make_confirms(tree, view, now))
                    for (std::size_t i = 0; i < 8; ++i)
                        benchmark::DoNotOptimize(wire::encode(
                            std::get<tree_send>(action).content,
                            wire::stamp{1}));
                return {};
            },
            [](const base::error&) {});
    }
    state.counters["bytes"] = double(frame.size());
}
BENCHMARK(confirm_hop);

void may_serve_decision(benchmark::State& state)
{
    const auto view = make_view(10);
    const wire::route r;
    for (auto _ : state)
        benchmark::DoNotOptimize(may_serve(view, r, start));
}
BENCHMARK(may_serve_decision);

} // namespace
} // namespace oleanderhinge::membership

BENCHMARK_MAIN();
