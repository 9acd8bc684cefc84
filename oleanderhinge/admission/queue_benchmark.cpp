// Time of a submit, and of a finish for every second one, at a queue that is
// always full, by the number of customers.
#include "oleanderhinge/admission/queue.hpp"

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

namespace
{

using namespace oleanderhinge;

void full_queue(benchmark::State& state)
{
    admission::queue_options options;
    options.limit = {.initial = 64, .adaptive = false};
    auto q = admission::make_queue(options, 1);
    std::vector<base::customer_id> customers;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        customers.emplace_back("customer-" + std::to_string(i));
    base::random_source random{1};
    base::time_point now{std::chrono::seconds(100)};
    std::deque<base::request_id> running;
    std::uint64_t next = 0;
    const auto carry_out = [&](const admission::actions& list) {
        for (const auto& a : list)
            if (const auto* granted = std::get_if<admission::grant>(&a))
                running.push_back(granted->request);
    };
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        carry_out(submit(
            q,
            {.request = {base::incarnation{1}, ++next},
             .customer = customers[random.below(customers.size())],
             .work_rank = base::rank(random.below(base::rank_count)),
             .prompt_tokens = random.below(1000),
             .max_tokens = 200},
            now));
        // Twice as many arrive as are served.
        if (next % 2 == 0 && !running.empty()) {
            const auto done = running.front();
            running.pop_front();
            carry_out(finish(q, done, base::token_count{600}, now));
        }
    }
    state.counters["customers_held"] = double(customer_count(q));
}
BENCHMARK(full_queue)->RangeMultiplier(10)->Range(10, 10000);

} // namespace

BENCHMARK_MAIN();
