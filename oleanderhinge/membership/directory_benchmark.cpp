// Cost of the directory: announcements, snapshots, batches and memory.
//
//   build/directory_benchmark --benchmark_repetitions=5
//       --benchmark_report_aggregates_only=true
#include "oleanderhinge/membership/agent_view.hpp"
#include "oleanderhinge/membership/entry_peers.hpp"
#include "oleanderhinge/membership/model_totals.hpp"
#include "oleanderhinge/membership/registrar.hpp"
#include "oleanderhinge/membership/shared_directory.hpp"
#include "oleanderhinge/wire/frame.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>

namespace oleanderhinge::membership
{
namespace
{

using std::chrono::seconds;

const base::time_point start{seconds(1000)};
const std::string secret = "a cluster secret of 32 characters";

// The names are as long as those that the two present users have.
wire::announcement announce(std::int64_t i, std::uint64_t sequence)
{
    wire::announcement a;
    a.server =
        base::backend_server_id{"tartu-a-model-" + std::to_string(10000 + i)};
    a.agent_incarnation = base::incarnation{std::uint64_t(i) + 77};
    a.sequence = sequence;
    a.vm = base::vm_id{"tartu-a-vm-" + std::to_string(10000 + i)};
    a.region = base::region_id{"ee-south"};
    a.data_centre = base::data_centre_id{"tartu-a"};
    a.agent = {"10.20.130.140", 7401};
    a.state = wire::server_state::serving;
    a.model = base::model_id{"hinge-llm-" + std::to_string(i % 32)};
    a.version = "2026-11-3";
    a.adapters = {"rota", "press"};
    a.layers = {
        base::layer_index{std::uint32_t(i % 4) * 20},
        base::layer_index{std::uint32_t(i % 4) * 20 + 20}};
    a.layer_count = 80;
    a.accelerator = "a100-80";
    a.load.limit = 16;
    a.load.in_progress = std::uint32_t(sequence % 16);
    a.highest_config = base::revision{1000};
    return a;
}

wire::announcement_ack make_ack(std::size_t entry_nodes)
{
    wire::announcement_ack ack;
    ack.server = announce(1, 1).server;
    ack.entry = base::vm_id{"tartu-a-entry-11"};
    ack.entry_nodes.assign(entry_nodes, {"10.20.130.140", 7302});
    return ack;
}

double sealed_size(const wire::message& content)
{
    return double(wire::seal(secret, content, wire::stamp{1}).size());
}

double heap_in_use()
{
    const auto info = mallinfo2();
    return double(info.uordblks) + double(info.hblkhd);
}

void fill(shared_directory& servers, std::int64_t count)
{
    for (std::int64_t i = 0; i < count; ++i)
        servers.apply_announcement(announce(i, 1), start);
}

void announcement_receive(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    const auto bytes = wire::seal(secret, announce(1, 2), wire::stamp{1});
    std::uint64_t sequence = 2;
    for (auto _ : state) {
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::unseal(secret, bytes));
                auto& item = std::get<wire::announcement>(d.content);
                item.sequence = sequence++;
                benchmark::DoNotOptimize(
                    servers.apply_announcement(item, start));
                return {};
            },
            [](const base::error&) {});
        benchmark::DoNotOptimize(
            wire::seal(secret, make_ack(ack_endpoints), wire::stamp{1}));
    }
    state.counters["bytes"] = double(bytes.size());
    state.counters["ack_bytes_17_nodes"] = sealed_size(make_ack(17));
    state.counters["ack_bytes_3_nodes"] = sealed_size(make_ack(3));
}
BENCHMARK(announcement_receive)
    ->Arg(10)
    ->Arg(100)
    ->Arg(215)
    ->Arg(1000)
    ->Arg(4300);

// The agent's side: choose registrars, seal an announcement for each, and apply
// the acknowledgments.
void announcement_send(benchmark::State& state)
{
    agent_view view;
    view.options.server = announce(1, 1).server;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        view.options.seeds.push_back({"10.20.130." + std::to_string(i), 7302});
    const auto ack_bytes =
        wire::seal(secret, make_ack(ack_endpoints), wire::stamp{1});
    auto now = start;
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        now += seconds(1);
        for (const auto& to : choose_announcement_targets(view, now)) {
            benchmark::DoNotOptimize(
                wire::seal(secret, announce(1, ++sequence), wire::stamp{1}));
            base::handle(
                [&]() -> base::result<void> {
                    BOOST_LEAF_AUTO(d, wire::unseal(secret, ack_bytes));
                    apply_ack(
                        view,
                        std::get<wire::announcement_ack>(d.content),
                        to,
                        now);
                    return {};
                },
                [](const base::error&) {});
        }
    }
}
BENCHMARK(announcement_send)->Arg(3)->Arg(17);

void directory_memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state) {
        const auto before = heap_in_use();
        shared_directory servers(directory_options{}, 8);
        fill(servers, state.range(0));
        const auto view = servers.snapshot();
        bytes = heap_in_use() - before;
        benchmark::DoNotOptimize(view);
    }
    state.counters["heap_bytes"] = bytes;
    state.counters["bytes_per_server"] = bytes / double(state.range(0));
}
BENCHMARK(directory_memory)
    ->Arg(10)
    ->Arg(100)
    ->Arg(215)
    ->Arg(1000)
    ->Arg(4300)
    ->Iterations(3)
    ->Unit(benchmark::kMicrosecond);

// One server changed since the last snapshot.
void snapshot_refresh(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    std::uint64_t sequence = 2;
    std::int64_t i = 0;
    for (auto _ : state) {
        state.PauseTiming();
        servers.apply_announcement(
            announce(i++ % state.range(0), sequence++), start);
        state.ResumeTiming();
        benchmark::DoNotOptimize(servers.snapshot());
    }
}
BENCHMARK(snapshot_refresh)->Arg(10)->Arg(100)->Arg(215)->Arg(1000)->Arg(4300);

void snapshot_unchanged(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(servers.snapshot());
}
BENCHMARK(snapshot_unchanged)->Arg(4300)->Threads(1)->Threads(4);

void query_model(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    const auto view = servers.snapshot();
    const auto a = announce(1, 1);
    for (auto _ : state)
        benchmark::DoNotOptimize(
            servers_of_model(*view, a.model, a.version, start));
}
BENCHMARK(query_model)->Arg(100)->Arg(1000)->Arg(4300);

void expire_scan(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(servers.expire(start));
}
BENCHMARK(expire_scan)->Arg(10)->Arg(100)->Arg(215)->Arg(1000)->Arg(4300);

// One batch of a registrar that hears `range` servers, sealed in datagrams.
void batch_send(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, state.range(0));
    const auto view = servers.snapshot();
    registrar node;
    node.options.vm = base::vm_id{"tartu-a-entry-11"};
    make_batch(node, *view, start);
    double bytes = 0;
    double datagrams = 0;
    double rounds = 0;
    for (auto _ : state) {
        ++rounds;
        for (const auto& batch : make_batch(node, *view, start)) {
            bytes += sealed_size(batch);
            ++datagrams;
        }
    }
    state.counters["bytes_per_round"] = bytes / rounds;
    state.counters["datagrams_per_round"] = datagrams / rounds;
}
BENCHMARK(batch_send)->Arg(13)->Arg(26)->Arg(39)->Arg(215);

// One datagram of a registrar with `range` heartbeats: unseal and apply.
void batch_receive(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, 215);
    wire::directory_update batch{base::vm_id{"tartu-a-entry-11"}, {}, {}, {}};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const auto a = announce(i, 1);
        batch.alive.push_back(
            {heartbeat_key(a.server, a.agent_incarnation), 0, 3});
    }
    const auto bytes = wire::seal(secret, batch, wire::stamp{1});
    auto now = start;
    for (auto _ : state) {
        now += std::chrono::microseconds(1);
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::unseal(secret, bytes));
                benchmark::DoNotOptimize(servers.apply_update(
                    std::get<wire::directory_update>(d.content), now));
                return {};
            },
            [](const base::error&) {});
    }
    state.counters["bytes"] = double(bytes.size());
}
BENCHMARK(batch_receive)->Arg(1)->Arg(13)->Arg(26)->Arg(100);

void entry_heartbeat_receive(benchmark::State& state)
{
    const wire::entry_peer other{
        base::vm_id{"tartu-a-entry-12"}, {"10.20.130.141", 7302}};
    entry_peers peers;
    peers.options.data_centre = base::data_centre_id{"tartu-a"};
    const auto bytes = wire::seal(
        secret,
        wire::entry_heartbeat{
            .self = other,
            .sender_incarnation = base::incarnation{1},
            .data_centre = peers.options.data_centre,
            .known = {other, other}},
        wire::stamp{1});
    for (auto _ : state)
        base::handle(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(d, wire::unseal(secret, bytes));
                benchmark::DoNotOptimize(apply_heartbeat(
                    peers, std::get<wire::entry_heartbeat>(d.content), start));
                return {};
            },
            [](const base::error&) {});
    state.counters["bytes"] = double(bytes.size());
}
BENCHMARK(entry_heartbeat_receive);

// Summaries of `range` models of one data centre: totals, seal, unseal, apply.
void model_summaries(benchmark::State& state)
{
    shared_directory servers(directory_options{}, 8);
    fill(servers, 215);
    const auto view = servers.snapshot();
    summary_sender sender{
        base::data_centre_id{"tartu-a"}, base::incarnation{1}};
    remote_models remote;
    double bytes = 0;
    for (auto _ : state) {
        bytes = 0;
        for (const auto& s :
             make_summaries(sender, total_models(*view, start))) {
            const auto sealed = wire::seal(secret, s, wire::stamp{1});
            bytes += double(sealed.size());
            base::handle(
                [&]() -> base::result<void> {
                    BOOST_LEAF_AUTO(d, wire::unseal(secret, sealed));
                    apply_summary(
                        remote,
                        std::get<wire::model_summary>(d.content),
                        start);
                    return {};
                },
                [](const base::error&) {});
        }
    }
    state.counters["bytes_32_models"] = bytes;
}
BENCHMARK(model_summaries);

} // namespace
} // namespace oleanderhinge::membership

BENCHMARK_MAIN();
