// Throughput of the replicated log on real files, by the number of concurrent
// proposals, for one member and for three members in one process. The files are
// below OLEANDERHINGE_BENCH_FOLDER, or below the system's temporary folder if
// that is not set.
#include "oleanderhinge/replica/node.hpp"

#include <benchmark/benchmark.h>

#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace oleanderhinge::replica
{
namespace
{

std::filesystem::path bench_folder()
{
    const char* set = std::getenv("OLEANDERHINGE_BENCH_FOLDER");
    const auto parent = set == nullptr ? std::filesystem::temp_directory_path()
                                       : std::filesystem::path(set);
    return parent / ("node_benchmark_" + std::to_string(::getpid()));
}

base::vm_id vm(int i)
{
    return base::vm_id{std::to_string(i)};
}

class cluster
{
public:
    explicit cluster(int size)
    {
        std::vector<member> initial;
        for (int i = 1; i <= size; ++i)
            initial.push_back({vm(i), {}, {}, true});
        for (int i = 1; i <= size; ++i) {
            const auto path = bench_folder() / std::to_string(i);
            std::filesystem::create_directories(path);
            this->files[vm(i)] = storage::make_posix_file_system(path.string());
            node_setup setup;
            setup.self = vm(i);
            setup.initial = initial;
            setup.network =
                [this, i](const base::vm_id& to, wire::consensus_message m) {
                    const std::lock_guard lock(this->mutex);
                    const auto found = this->nodes.find(to);
                    if (found != this->nodes.end())
                        found->second->receive(vm(i), std::move(m));
                };
            state_machine machine;
            machine.apply = [](base::log_index, const std::string&) {
                return std::string();
            };
            machine.take_snapshot = [] { return std::string(); };
            machine.restore = [](base::log_index, const std::string&) {};
            base::handle(
                [&]() -> base::result<void> {
                    BOOST_LEAF_AUTO(
                        n, node::open(setup, *this->files[vm(i)], machine));
                    const std::lock_guard lock(this->mutex);
                    this->nodes[vm(i)] = std::move(n);
                    return {};
                },
                [](const base::error&) {});
        }
    }

    ~cluster()
    {
        for (auto& [id, n] : this->nodes)
            n->stop();
        this->nodes.clear();
        std::filesystem::remove_all(bench_folder());
    }

    node* leader()
    {
        for (;;) {
            for (auto& [id, n] : this->nodes) {
                const auto s = n->status();
                if (s.role == member_role::leader && s.has_quorum)
                    return n.get();
            }
            std::this_thread::yield();
        }
    }

private:
    std::mutex mutex;
    std::map<base::vm_id, std::unique_ptr<storage::file_system>> files;
    std::map<base::vm_id, std::unique_ptr<node>> nodes;
};

// Each iteration proposes `concurrent` commands of 100 bytes at once and waits
// for all of them.
void propose(benchmark::State& state)
{
    cluster c(int(state.range(0)));
    auto* leader = c.leader();
    const auto concurrent = std::uint64_t(state.range(1));
    const auto before = leader->counters();
    std::mutex mutex;
    std::condition_variable all_answered;
    std::uint64_t unanswered = 0;
    std::uint64_t applied = 0;
    for (auto _ : state) {
        std::unique_lock lock(mutex);
        unanswered = concurrent;
        lock.unlock();
        for (std::uint64_t i = 0; i < concurrent; ++i)
            leader->propose(std::string(100, 'x'), [&](propose_result r) {
                const std::lock_guard inner(mutex);
                applied += r.state == propose_state::applied ? 1 : 0;
                if (--unanswered == 0)
                    all_answered.notify_one();
            });
        lock.lock();
        all_answered.wait(lock, [&] { return unanswered == 0; });
    }
    const auto after = leader->counters();
    state.SetItemsProcessed(std::int64_t(applied));
    state.counters["applied_per_sync"] =
        double(applied) / double(after.syncs - before.syncs);
}

BENCHMARK(propose)
    ->ArgNames({"members", "waiting"})
    ->ArgsProduct({{1, 3}, {1, 4, 16, 64, 256, 1024, 4096}})
    ->UseRealTime();

} // namespace
} // namespace oleanderhinge::replica

BENCHMARK_MAIN();
