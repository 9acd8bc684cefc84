#include "oleanderhinge/gateway/hedging.hpp"

#include "oleanderhinge/base/decay.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oleanderhinge::gateway
{

namespace
{

// Times up to one millisecond share the first bucket; the last one holds those
// above ten minutes.
constexpr double first_bucket_ms = 1;
constexpr double bucket_factor = 1.15;
// Quantile of routes whose operator allows a number of hedges but no share.
constexpr double default_quantile = 0.95;
// An operator who allows any share has at most half of the requests hedged.
constexpr double least_quantile = 0.5;
// More cannot be told from `least_answers` and the decay.
constexpr double greatest_quantile = 0.99;
// Part of the target after which a request is hedged whose usual time is not
// known.
constexpr int target_parts = 2;

std::size_t bucket_of(const answer_times& times, base::duration took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    if (ms <= first_bucket_ms)
        return 0;
    const double index =
        std::ceil(std::log(ms / first_bucket_ms) / std::log(bucket_factor));
    return std::min(std::size_t(index), times.counts.size() - 1);
}

base::duration bucket_limit(std::size_t index)
{
    const std::chrono::duration<double, std::milli> limit(
        first_bucket_ms * std::pow(bucket_factor, double(index)));
    return std::chrono::duration_cast<base::duration>(limit);
}

void forget_start(
    answer_times& times,
    const base::data_centre_id& data_centre,
    base::time_point started)
{
    const auto found = times.running.find(data_centre);
    if (found == times.running.end())
        return;
    if (const auto start = found->second.find(started);
        start != found->second.end())
        found->second.erase(start);
    if (found->second.empty())
        times.running.erase(found);
}

bool is_ejected(const server_health& health, base::time_point now)
{
    return now < health.ejected_until ||
           health.failure_rate *
                   base::decay_factor(now - health.updated, health_half_life) >=
               max_hedge_failure_rate;
}

} // namespace

void note_attempt_started(
    answer_times& times,
    const base::data_centre_id& data_centre,
    base::time_point started)
{
    times.running[data_centre].insert(started);
}

void note_attempt_ended(
    answer_times& times,
    const hedge_terms& terms,
    const base::data_centre_id& data_centre,
    base::time_point started,
    base::time_point ended)
{
    forget_start(times, data_centre, started);
    const auto took = ended - started;
    const auto slow_from = hedge_delay(times, terms, ended);
    auto& present = times.present[data_centre];
    const auto present_factor =
        base::decay_factor(ended - present.updated, present_half_life);
    const bool is_slow = slow_from && took > *slow_from;
    present.slow = present.slow * present_factor + (is_slow ? 1 : 0);
    present.all = present.all * present_factor + 1;
    present.updated = ended;
    const auto factor =
        base::decay_factor(ended - times.updated, usual_half_life);
    for (auto& count : times.counts)
        count *= factor;
    times.counts[bucket_of(times, took)] += 1;
    times.updated = ended;
}

void note_attempt_failed(
    answer_times& times,
    const base::data_centre_id& data_centre,
    base::time_point started)
{
    forget_start(times, data_centre, started);
}

std::optional<base::duration>
answer_time(const answer_times& times, double quantile, base::time_point now)
{
    const double total =
        std::accumulate(times.counts.begin(), times.counts.end(), 0.0);
    if (total * base::decay_factor(now - times.updated, usual_half_life) <
        least_answers)
        return std::nullopt;
    double below = 0;
    for (std::size_t index = 0; index < times.counts.size(); ++index) {
        below += times.counts[index];
        if (below >= quantile * total)
            return bucket_limit(index);
    }
    return bucket_limit(times.counts.size() - 1);
}

std::optional<base::duration> hedge_delay(
    const answer_times& times, const hedge_terms& terms, base::time_point now)
{
    const bool has_target = terms.target.count() > 0;
    const auto slowest = answer_time(times, terms.quantile, now);
    if (!slowest)
        return has_target ? std::optional(terms.target / target_parts)
                          : std::nullopt;
    const auto usual = *answer_time(times, least_quantile, now);
    // The last start of a hedge that is usually answered in time. A service
    // whose usual answers take most of the target has none.
    const auto last_start = terms.target - usual;
    return has_target && last_start > usual ? std::min(*slowest, last_start)
                                            : *slowest;
}

std::set<base::data_centre_id> slow_data_centres(
    const answer_times& times, const hedge_terms& terms, base::time_point now)
{
    std::set<base::data_centre_id> found;
    const auto slow_from = hedge_delay(times, terms, now);
    if (!slow_from)
        return found;
    auto present = times.present;
    for (auto& [data_centre, attempts] : present) {
        const auto factor =
            base::decay_factor(now - attempts.updated, present_half_life);
        attempts.slow *= factor;
        attempts.all *= factor;
    }
    // Attempts in progress count once they are slow: servers that stopped
    // responding answer none.
    for (const auto& [data_centre, starts] : times.running) {
        const auto slow = std::count_if(
            starts.begin(), starts.end(), [&](base::time_point started) {
                return now - started >= *slow_from;
            });
        present[data_centre].slow += double(slow);
        present[data_centre].all += double(slow);
    }
    for (const auto& [data_centre, attempts] : present)
        if (attempts.all >= least_present_attempts &&
            attempts.slow > attempts.all / 2)
            found.insert(data_centre);
    return found;
}

const char* to_string(hedge_refusal value)
{
    switch (value) {
    case hedge_refusal::none:
        return "none";
    case hedge_refusal::attempts:
        return "attempts";
    case hedge_refusal::not_allowed:
        return "not_allowed";
    case hedge_refusal::no_time:
        return "no_time";
    case hedge_refusal::no_server:
        return "no_server";
    case hedge_refusal::slow_together:
        return "slow_together";
    case hedge_refusal::limit:
        return "limit";
    case hedge_refusal::reserve:
        return "reserve";
    }
    return "unknown";
}

hedge_target choose_hedge_server(
    const server_selector& selector,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    const std::set<base::data_centre_id>& slow,
    base::random_source& random,
    base::time_point now)
{
    auto excluded = tried;
    bool any_in_slow = false;
    const auto exclude = [&](const wire::server_record& record) {
        const auto address = fleet::address_of(record);
        const auto health = selector.health.find(address);
        if (health != selector.health.end() && is_ejected(health->second, now))
            excluded.insert(address);
        if (!slow.contains(record.data_centre) || excluded.contains(address))
            return;
        excluded.insert(address);
        any_in_slow = true;
    };
    fleet::visit_usable(selector.servers, service, exclude);
    const auto server = choose_server(selector, service, excluded, random, now);
    if (server)
        return {server, hedge_refusal::none};
    return {
        {},
        any_in_slow ? hedge_refusal::slow_together : hedge_refusal::no_server};
}

hedge_refusal take_hedge(
    retry::shared_budget& limit,
    retry::shared_budget& retries,
    base::time_point now)
{
    if (!retry::has_spare(retries, retry_reserve, now))
        return hedge_refusal::reserve;
    if (!retry::take_retry(limit, now))
        return hedge_refusal::limit;
    retry::take_retry(retries, now);
    return hedge_refusal::none;
}

double hedge_quantile(const retry::shared_budget_options& limit)
{
    if (limit.request_share <= 0)
        return default_quantile;
    return std::clamp(
        1 - limit.request_share, least_quantile, greatest_quantile);
}

} // namespace oleanderhinge::gateway
