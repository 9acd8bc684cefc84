// Records per second of the log store on real files, against the number of
// records that share one sync. The folder is OLEANDERHINGE_BENCH_FOLDER or the
// temporary folder.
#include "oleanderhinge/storage/log_store.hpp"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>

#include <unistd.h>

namespace oleanderhinge::storage
{
namespace
{

std::filesystem::path bench_folder()
{
    const char* set = std::getenv("OLEANDERHINGE_BENCH_FOLDER");
    const auto parent = set == nullptr ? std::filesystem::temp_directory_path()
                                       : std::filesystem::path(set);
    return parent / ("log_store_benchmark_" + std::to_string(::getpid()));
}

void append_and_sync(benchmark::State& state)
{
    const auto folder = bench_folder();
    std::filesystem::create_directories(folder);
    const auto files = make_posix_file_system(folder.string());
    const auto batch = std::uint64_t(state.range(0));
    const std::string payload(std::size_t(state.range(1)), 'x');
    std::uint64_t index = 0;
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                opened, log_store::open(*files, {}, base::incarnation{1}));
            for (auto _ : state) {
                for (std::uint64_t i = 0; i < batch; ++i)
                    opened.store->append(
                        {base::log_index{++index}, base::term{1}, 0, payload});
                BOOST_LEAF_CHECK(opened.store->sync());
            }
            state.counters["syncs"] = double(opened.store->counters().syncs);
            return {};
        },
        [&](const base::error& e) { state.SkipWithError(e.detail.c_str()); });
    state.SetItemsProcessed(std::int64_t(index));
    state.SetBytesProcessed(std::int64_t(index * payload.size()));
    std::filesystem::remove_all(folder);
}

BENCHMARK(append_and_sync)
    ->ArgNames({"records_per_sync", "bytes"})
    ->ArgsProduct({{1, 4, 16, 64, 256, 1024}, {100}})
    ->Args({64, 1000})
    ->UseRealTime();

void recover(benchmark::State& state)
{
    const auto folder = bench_folder();
    std::filesystem::create_directories(folder);
    const auto files = make_posix_file_system(folder.string());
    const auto records = std::uint64_t(state.range(0));
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                opened, log_store::open(*files, {}, base::incarnation{1}));
            for (std::uint64_t i = 1; i <= records; ++i) {
                opened.store->append(
                    {base::log_index{i},
                     base::term{1},
                     0,
                     std::string(100, 'x')});
                if (i % 256 == 0)
                    BOOST_LEAF_CHECK(opened.store->sync());
            }
            BOOST_LEAF_CHECK(opened.store->sync());
            for (auto _ : state)
                BOOST_LEAF_CHECK(
                    log_store::open(*files, {}, base::incarnation{1}));
            return {};
        },
        [&](const base::error& e) { state.SkipWithError(e.detail.c_str()); });
    std::filesystem::remove_all(folder);
}

BENCHMARK(recover)->Arg(100000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace oleanderhinge::storage

BENCHMARK_MAIN();
