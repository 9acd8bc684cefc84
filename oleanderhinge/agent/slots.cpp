#include "oleanderhinge/agent/slots.hpp"

#include <algorithm>

namespace oleanderhinge::agent
{

namespace
{

// Weight of a new value in the smoothed step time.
constexpr double smoothing = 0.1;
constexpr std::chrono::milliseconds retry_after{200};

slot_outcomes grant_waiting(slot_pool& pool)
{
    slot_outcomes out;
    while (!pool.waiting.empty() && pool.held.size() < pool.options.limit) {
        pool.held.insert(pool.waiting.front().key);
        out.push_back({pool.waiting.front().key, {}});
        pool.waiting.pop_front();
    }
    return out;
}

} // namespace

slot_pool make_slot_pool(const slot_options& options)
{
    slot_pool pool;
    pool.options = options;
    return pool;
}

slot_outcomes ask(slot_pool& pool, const slot_request& wanted, base::time_point)
{
    if (pool.held.size() < pool.options.limit) {
        pool.held.insert(wanted.key);
        return {{wanted.key, {}}};
    }
    if (wanted.may_wait && pool.waiting.size() < pool.options.max_queued) {
        pool.waiting.push_back(wanted);
        return {};
    }
    return {
        {wanted.key,
         base::not_run(
             base::failure_code::overloaded,
             "all slots of the server are in use",
             retry_after)}};
}

slot_outcomes give_back(
    slot_pool& pool, const slot_key& key, base::token_count, base::time_point)
{
    pool.held.erase(key);
    std::erase_if(pool.waiting, [&](const auto& w) { return w.key == key; });
    return grant_waiting(pool);
}

slot_outcomes expire(slot_pool& pool, base::time_point now)
{
    slot_outcomes out;
    std::erase_if(pool.waiting, [&](const auto& w) {
        if (w.deadline > now)
            return false;
        out.push_back(
            {w.key,
             base::not_run(
                 base::failure_code::deadline_exceeded,
                 "no slot became free in time")});
        return true;
    });
    return out;
}

slot_outcomes observe(slot_pool& pool, base::duration latency, base::time_point)
{
    const auto us = double(latency.count());
    pool.step_us =
        pool.step_us == 0 ? us : pool.step_us + smoothing * (us - pool.step_us);
    return {};
}

wire::load_report load(const slot_pool& pool)
{
    wire::load_report report;
    report.in_progress = std::uint32_t(pool.held.size());
    report.limit = pool.options.limit;
    report.queued = std::uint32_t(pool.waiting.size());
    report.step_us = std::uint32_t(pool.step_us);
    return report;
}

} // namespace oleanderhinge::agent
